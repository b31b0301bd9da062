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

// storedVersion is the content of version.json: the configuration version that a front uses, kept across restarts.
type storedVersion struct {
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
	Tried   uint64 `json:"tried,omitempty"` // a version whose adoption was not confirmed when this was written; 0 for none
}

// versionPath returns the path of the version file.
func (h *rolloutHost) versionPath() string { return filepath.Join(h.config.Dir, "version.json") }

// loadVersion reads the version file: the configuration version that this front used last, to start with. The result is zero if there is
// none. A file that can't be read or parsed is logged and otherwise ignored; it is renamed, unless its disk is failing. loadVersion also
// creates the directory of the file. The error names a directory that can't be created, other than on a disk that is full or failing.
func (h *rolloutHost) loadVersion() (stored storedVersion, err error) {
	if err := h.createDir(); disk.IsTransient(err) {
		slog.Warn("fleet: directory of configuration versions can't be created; retrying with the next version", "err", err)
	} else if err != nil {
		return stored, err
	}
	b, err := os.ReadFile(h.versionPath())
	if errors.Is(err, os.ErrNotExist) {
		return storedVersion{}, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &stored)
	}
	if err == nil && stored.Version != 0 {
		_, err = deployment.ParseRules(h.versionPath(), []byte(stored.Text))
	}
	if err != nil {
		slog.Warn("fleet: stored configuration version unreadable; starting with the operator's file", "file", h.versionPath(), "err", err)
		if !disk.IsTransient(err) {
			_ = os.Rename(h.versionPath(), h.versionPath()+".unreadable") // an error is ignored: the next version replaces the file
		}
		return storedVersion{}, nil
	}
	return stored, nil
}

// createDir creates the directory of the version file, if necessary.
func (h *rolloutHost) createDir() error {
	if err := h.calls.MkdirAll(h.config.Dir, 0o700); err != nil {
		return fmt.Errorf("directory of configuration versions: %w", err)
	}
	return nil
}

// saveVersion writes the version file; h.mu must be held. A failure affects no request and is only logged.
func (h *rolloutHost) saveVersion(stored storedVersion) {
	b, err := json.Marshal(stored)
	if err == nil {
		err = h.createDir()
	}
	if err == nil {
		err = disk.ReplaceFile(h.versionPath(), b)
	}
	if err != nil {
		slog.Warn("fleet: configuration version not stored; after a restart this front starts with an older one", "err", err)
	}
}

// confirmVersion stores a version as the one to start with after a restart. It is called after the version has been in use for a while,
// or when the front shuts down in an orderly way. Until then a restarted process starts with the previous version and does not try this
// one again.
func (h *rolloutHost) confirmVersion(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Version != version {
		return
	}
	if h.trying == version {
		h.trying = 0
	}
	h.saveVersion(storedVersion{Version: version, Text: h.current.Text, Tried: h.trying})
}
