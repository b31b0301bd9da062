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

// Kinds of the history entries that the agent itself writes, in addition to the events of package fleet. Operators' tools and the
// checkers of lab/processtest read them, so they may change only with a new format version.
const (
	versionAdopted = "adopted"
	versionInForce = "acts" // all requests in flight use this version
	standbyBegan   = "stands by"
	standbyEnded   = "acts again"
	rolloutChanged = "turned"
)

// history appends one line of JSON, a fleet.HistoryEntry, for each event to a file. The events are those of package fleet at this front,
// and the changes of the configuration version and of the rollout that the agent adds. A nil history writes nothing.
type history struct {
	file        *os.File
	front       string
	incarnation uint64

	mu      sync.Mutex // held while a line is written
	failing bool       // the last write failed
}

// openHistory opens the history file for appending. It returns nil if path is empty.
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

// recordVersion writes a change in the use of a configuration version; change is one of the kinds above.
func (h *history) recordVersion(m *mesh.Mesh, change string, version uint64) {
	h.record(m, m.Now(), fleet.EventFields{Kind: change, Number: version})
}

// recordRollout writes a change of the state of the rollout; index is that of the replicated state.
func (h *history) recordRollout(m *mesh.Mesh, s rollout.State, index uint64) {
	h.record(m, m.Now(), fleet.EventFields{Kind: rolloutChanged, Number: s.Base, Term: s.Next, Name: s.Phase.String(), Index: index, Reason: s.Reason})
}

// record writes an event that happened at a time of the mesh's clock. Failures are logged.
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

// close closes the file.
func (h *history) close() {
	if h != nil {
		_ = h.file.Close() // an error is ignored: lines are not buffered
	}
}
