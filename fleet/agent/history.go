package agent

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/disk"
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
	calls       disk.CreateCalls
	path        string
	front       string
	incarnation uint64

	mu      sync.Mutex // held while a line is written
	file    *os.File   // nil until it is open
	failing bool       // the last write failed
	closed  bool       // close was called: no further line is written
}

// openHistory opens the history file for appending. It returns nil if path is empty. A file on a disk that is full or failing is opened
// when a line is written.
func openHistory(calls disk.CreateCalls, path, front string, incarnation uint64) (*history, error) {
	if path == "" {
		return nil, nil
	}
	h := &history{calls: calls, path: path, front: front, incarnation: incarnation}
	if err := h.open(); err != nil {
		if !disk.IsTransient(err) {
			return nil, fmt.Errorf("history: %w", err)
		}
		h.logWrite(err)
	}
	return h, nil
}

// open opens the file.
func (h *history) open() (err error) {
	h.file, err = h.calls.OpenFile(h.path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	return err
}

// recordVersion writes a change in the use of a configuration version that happens now; change is one of the kinds above.
func (h *history) recordVersion(m *mesh.Mesh, change string, version uint64) {
	h.recordVersionAt(m, m.Now(), change, version)
}

// recordVersionAt is recordVersion for a change at a time of the mesh's clock.
func (h *history) recordVersionAt(m *mesh.Mesh, at time.Duration, change string, version uint64) {
	h.record(m, at, fleet.EventFields{Kind: change, Number: version})
}

// recordRollout writes a change of the state of the rollout at a time of the mesh's clock; index is that of the replicated state.
func (h *history) recordRollout(m *mesh.Mesh, at time.Duration, s rollout.State, index uint64) {
	h.record(m, at, fleet.EventFields{Kind: rolloutChanged, Number: s.Base, Term: s.Next, Name: s.Phase.String(), Index: index, Reason: s.Reason})
}

// record writes an event that happened at a time of the mesh's clock. Failures are logged. The mesh's lock must not be held, since the disk
// may block.
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
	if !h.closed {
		h.logWrite(h.write(append(b, '\n')))
	}
}

// write writes a line, and opens the file first if it is not open; h.mu must be held.
func (h *history) write(line []byte) error {
	if h.file == nil {
		if err := h.open(); err != nil {
			return err
		}
	}
	_, err := h.file.Write(line)
	return err
}

// logWrite logs the first of successive failures to write; h.mu must be held.
func (h *history) logWrite(err error) {
	if err != nil && !h.failing {
		slog.Warn("fleet: history not written", "err", err)
	}
	h.failing = err != nil
}

// close closes the file. Events that are recorded later are ignored.
func (h *history) close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.file != nil {
		_ = h.file.Close() // an error is ignored: lines are not buffered
	}
}
