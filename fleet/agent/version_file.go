package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"dapplerouter/deployment"
	"dapplerouter/fleet/disk"
)

// storedVersion is what a front stores of configuration versions over its restarts, as JSON.
type storedVersion struct {
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
	Tried   uint64 `json:"tried,omitempty"` // a version that was being adopted when this was written, and was not confirmed yet
}

func (h *rolloutHost) path() string { return filepath.Join(h.config.Dir, "version.json") }

// load reads the stored version. A file that can't be read is logged, moved aside and skipped.
func (h *rolloutHost) load() (stored storedVersion, err error) {
	if err := os.MkdirAll(h.config.Dir, 0o700); err != nil {
		return stored, fmt.Errorf("folder of versions: %w", err)
	}
	b, err := os.ReadFile(h.path())
	if errors.Is(err, os.ErrNotExist) {
		return storedVersion{}, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &stored)
	}
	if err == nil && stored.Version != 0 {
		_, err = deployment.ParseRules(h.path(), []byte(stored.Text))
	}
	if err != nil {
		slog.Warn("fleet: stored configuration version unreadable; starting with the operator's file", "file", h.path(), "err", err)
		_ = os.Rename(h.path(), h.path()+".unreadable") // the next version replaces the file in any case
		return storedVersion{}, nil
	}
	return stored, nil
}

// save stores a version; h.mu must be held. A failure costs no request: it is logged only.
func (h *rolloutHost) save(stored storedVersion) {
	b, err := json.Marshal(stored)
	if err == nil {
		err = disk.ReplaceFile(h.path(), b)
	}
	if err != nil {
		slog.Warn("fleet: configuration version not stored; after a restart this front starts with an older one", "err", err)
	}
}

// confirm stores a version over restarts: it was in use for a while, or the front shuts down in order. Until then a new process starts
// with the version before, and does not try this one.
func (h *rolloutHost) confirm(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Version != version {
		return
	}
	if h.trying == version {
		h.trying = 0
	}
	h.save(storedVersion{Version: version, Text: h.current.Text, Tried: h.trying})
}
