package rollout

import (
	"bytes"
	"time"

	"dapplerouter/fleet"
)

// valueWrite is a value to be stored in the replicated state; an empty one deletes its key.
type valueWrite struct {
	key   string
	value []byte
}

func stateWrite(s State, reason string) valueWrite {
	s.Format = format
	if reason != "" {
		s.Reason = reason
	}
	return valueWrite{stateKey, encode(&s)}
}

func allowedWrite(lowest, highest uint64) valueWrite {
	return valueWrite{fleet.AllowedVersionsKey, fleet.AllowedVersions{Min: lowest, Max: highest}.Encode()}
}

// valueWriter stores the values of one change of state, one at a time and in order: a controller that takes over in between finds a
// state from which it can go on.
type valueWriter struct {
	queue   []valueWrite
	pending uint64 // id of the request for the write that is under way, 0 for none
}

// idle reports whether all writes are done.
func (w *valueWriter) idle() bool { return w.pending == 0 && len(w.queue) == 0 }

// set replaces the writes that are not under way.
func (w *valueWriter) set(writes ...valueWrite) { w.queue = writes }

// requestDone handles the end of a write. One that failed drops the writes after it: another controller wrote meanwhile, or there is
// no leader, and the controller plans anew.
func (w *valueWriter) requestDone(succeeded bool) {
	w.pending = 0
	if !succeeded {
		w.queue = nil
	}
}

// writeNext requests the next write whose value is not stored already.
func (w *valueWriter) writeNext(now time.Duration, n *fleet.Node) {
	for len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		stored := n.State().Values[next.key]
		if stored == nil && len(next.value) == 0 || stored != nil && bytes.Equal(stored.Value, next.value) {
			continue
		}
		previous := uint64(0)
		if stored != nil {
			previous = stored.Index
		}
		if id, ok := n.PutValue(now, Lease, next.key, previous, next.value); ok {
			w.pending = id
			n.ReportProgress(Lease)
		} else {
			w.queue = nil
		}
		return
	}
}
