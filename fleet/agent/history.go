package agent

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/mesh"
	"dapplerouter/fleet/rollout"
)

// Names of the agent's own entries in the history, beside the events of package fleet. Operators' tools and the checkers of
// lab/processtest read them: they change only with a format version.
const (
	versionAdopted = "adopted"
	versionInForce = "acts" // all requests in flight are of this version
	standbyBegan   = "stands by"
	standbyEnded   = "acts again"
	rolloutChanged = "turned"
)

// history writes a line of JSON for each event; a nil history writes nothing.
type history struct {
	file        *os.File
	front       string
	incarnation uint64

	mu      sync.Mutex // held while a line is written
	failing bool       // the last write failed
}

// openHistory opens the history's file to be appended to; it is nil for no path.
func openHistory(path, front string, incarnation uint64) (*history, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	return &history{file: f, front: front, incarnation: incarnation}, nil
}

// recordVersion writes what became of a configuration version.
func (h *history) recordVersion(m *mesh.Mesh, change string, version uint64) {
	h.record(m, m.Now(), fleet.EventFields{Kind: change, Number: version})
}

// recordRollout writes a change of the rollout's state.
func (h *history) recordRollout(m *mesh.Mesh, s rollout.State, index uint64) {
	h.record(m, m.Now(), fleet.EventFields{Kind: rolloutChanged, Number: s.Base, Term: s.Next, Name: s.Phase.String(), Index: index, Reason: s.Reason})
}

// record writes an event that happened at a time of the mesh's clock.
func (h *history) record(m *mesh.Mesh, at time.Duration, e fleet.EventFields) {
	if h == nil {
		return
	}
	entry := fleet.HistoryEntry{
		At:          m.WallTime(at).UnixMicro(),
		Front:       h.front,
		Incarnation: h.incarnation,
		Kind:        e.Kind,
		Lease:       e.Lease,
		Term:        e.Term,
		Name:        e.Name,
		Number:      e.Number,
		Index:       e.Index,
		Reason:      e.Reason,
	}
	if e.Until != 0 {
		entry.Until = m.WallTime(e.Until).UnixMicro()
	}
	if e.Since != 0 {
		entry.Since = m.WallTime(e.Since).UnixMicro()
	}
	b, err := json.Marshal(entry)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, err := h.file.Write(append(b, '\n')); (err != nil) != h.failing {
		h.failing = err != nil
		if h.failing {
			slog.Warn("fleet: history not written", "err", err)
		}
	}
}

func (h *history) close() {
	if h != nil {
		_ = h.file.Close() // each line is written at once
	}
}
