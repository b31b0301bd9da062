package rollout

import (
	"bytes"
	"time"

	"dapplerouter/fleet"
)

// valueWrite is a value that is to be stored in the replicated state. An empty value deletes the key.
type valueWrite struct {
	key   string
	value []byte
}

// stateWrite returns the write that stores the state, with a new reason unless it is "".
func stateWrite(s State, reason string) valueWrite {
	s.Format = format
	if reason != "" {
		s.Reason = reason
	}
	return valueWrite{stateKey, encode(&s)}
}

// allowedWrite returns the write that restricts the fleet to two versions, or to one if both are equal.
func allowedWrite(lowest, highest uint64) valueWrite {
	return valueWrite{fleet.AllowedVersionsKey, fleet.AllowedVersions{Min: lowest, Max: highest}.Encode()}
}

// valueWriter stores the values of one change of state, one at a time and in order. The order is such that a controller which takes over
// between two writes finds a state from which it can continue.
type valueWriter struct {
	queue   []valueWrite
	pending uint64 // id of the request for the write in progress, 0 for none
}

// idle reports whether no write is queued or in progress.
func (w *valueWriter) idle() bool { return w.pending == 0 && len(w.queue) == 0 }

// replaceQueued replaces the queued writes. A write in progress is not affected.
func (w *valueWriter) replaceQueued(writes ...valueWrite) { w.queue = writes }

// requestDone handles the result of a write. If it failed, the queued writes are dropped and the controller plans anew: another
// controller has written the key meanwhile, or there is no leader.
func (w *valueWriter) requestDone(succeeded bool) {
	w.pending = 0
	if !succeeded {
		w.queue = nil
	}
}

// writeNext requests the next write. Values that are stored already are skipped.
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
