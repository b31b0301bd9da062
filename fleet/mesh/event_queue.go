package mesh

import (
	"sync"
	"time"

	"dapplerouter/fleet"
)

// maxQueuedEvents is how many events wait for OnEvent before those are dropped that may be.
const maxQueuedEvents = 1 << 14

// timedEvent is an event that waits for Options.OnEvent.
type timedEvent struct {
	at    time.Duration
	event fleet.Event
}

// eventQueue holds events in their order. A disk that hangs holds OnEvent up for as long, and the node goes on: so what comes often
// is dropped beyond a bound, and what happens once is kept.
type eventQueue struct {
	wake chan struct{} // holds one value while events may wait

	mu      sync.Mutex // guards the fields below
	waiting []timedEvent
	dropped uint64 // since the start
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// add adds an event, or drops it.
func (q *eventQueue) add(e timedEvent) {
	q.mu.Lock()
	if len(q.waiting) >= maxQueuedEvents && mayBeDropped(e.event) {
		q.dropped++
	} else {
		q.waiting = append(q.waiting, e)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the events that wait, and how many were dropped since the start.
func (q *eventQueue) take() (events []timedEvent, dropped uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	events, q.waiting = q.waiting, nil
	return events, q.dropped
}

// mayBeDropped reports whether whoever handles events catches up with one that never came: broadcasts are followed by others of their
// lease, datagrams are unreliable, the rest of these is recorded only. A lease that was acquired or has ended, or a request's end, is told
// once.
func mayBeDropped(e fleet.Event) bool {
	switch e.(type) {
	case fleet.BroadcastReceived, fleet.BroadcastRejected, fleet.DatagramReceived, fleet.LeaseRenewed, fleet.LeaseGranted,
		fleet.ConfigLeaseRenewed, fleet.FrontJoined, fleet.FrontLeft, fleet.LinkClosed:
		return true
	}
	return false
}
