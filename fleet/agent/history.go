package agent

import (
	"encoding/json"
	"log/slog"
	"os"
	"sync"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/mesh"
	"dapplerouter/fleet/rollout"
)

// history writes a line of JSON for each event; a nil history writes nothing.
type history struct {
	file        *os.File
	front       string
	incarnation uint64
	mu          sync.Mutex
	failing     bool
}

func openHistory(path, who string, incarnation uint64) (*history, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return &history{file: f, front: who, incarnation: incarnation}, nil
}

// noteVersion and noteTurn record what became of versions.
func (h *history) noteVersion(m *mesh.Mesh, what string, version uint64) {
	h.note(m, m.Now(), fleet.EventFields{Kind: what, Number: version})
}

func (h *history) noteTurn(m *mesh.Mesh, s rollout.State, index uint64) {
	h.note(m, m.Now(), fleet.EventFields{Kind: "turned", Number: s.Base, Term: s.Next, Name: s.Phase.String(), Index: index, Reason: s.Reason})
}

func (h *history) note(m *mesh.Mesh, at time.Duration, e fleet.EventFields) {
	if h == nil {
		return
	}
	x := fleet.HistoryEntry{At: m.WallTime(at).UnixMicro(), Front: h.front, Incarnation: h.incarnation, Kind: e.Kind, Lease: e.Lease, Term: e.Term, Name: e.Name,
		Number: e.Number, Index: e.Index, Reason: e.Reason}
	if e.Until != 0 {
		x.Until = m.WallTime(e.Until).UnixMicro()
	}
	if e.Since != 0 {
		x.Since = m.WallTime(e.Since).UnixMicro()
	}
	b, err := json.Marshal(x)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, err := h.file.Write(append(b, '\n')); (err != nil) != h.failing {
		h.failing = err != nil
		if h.failing {
			slog.Warn("fleet: the history can't be written", "why", err)
		}
	}
}

func (h *history) close() {
	if h != nil {
		h.file.Close()
	}
}
