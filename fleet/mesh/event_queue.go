package mesh

import (
	"sync"
	"time"

	"dapplerouter/fleet"
)

// Limits of the events that wait for OnEvent. Beyond them, events that may be dropped are dropped.
const (
	maxQueuedEvents     = 1 << 14
	maxQueuedEventBytes = 64 << 20 // bytes of their data
)

// timedEvent is an event that waits for Options.OnEvent, with its time on this front's clock.
type timedEvent struct {
	at    time.Duration
	event fleet.Event
}

// eventQueue holds events for OnEvent in order. OnEvent may block, for example while a disk hangs, but the node continues to run.
// Therefore frequent events are dropped beyond the limits, while events that are reported only once are always kept.
type eventQueue struct {
	wake chan struct{} // receives a value when events are added

	mu           sync.Mutex // guards the fields below
	waiting      []timedEvent
	waitingBytes int    // of the data of the waiting events
	dropped      uint64 // since the start
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// add queues an event, or drops it if the queue is full and the event may be dropped.
func (q *eventQueue) add(e timedEvent) {
	size := dataSize(e.event)
	q.mu.Lock()
	full := len(q.waiting) >= maxQueuedEvents || q.waitingBytes+size > maxQueuedEventBytes
	if full && mayBeDropped(e.event) {
		q.dropped++
	} else {
		q.waiting = append(q.waiting, e)
		q.waitingBytes += size
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the waiting events, and returns how many were dropped since the start.
func (q *eventQueue) take() (events []timedEvent, dropped uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	events, q.waiting, q.waitingBytes = q.waiting, nil, 0
	return events, q.dropped
}

// dataSize returns the size of an event's data in bytes.
func dataSize(e fleet.Event) int {
	switch e := e.(type) {
	case fleet.BroadcastReceived:
		return len(e.Data)
	case fleet.DatagramReceived:
		return len(e.Data)
	}
	return 0
}

// mayBeDropped reports whether the handlers of events recover from the loss of an event. A broadcast is followed by others under the same
// lease, datagrams are unreliable, and the other kinds listed here are only recorded. The grant, the acquisition or the end of a lease
// and the end of a request are reported only once and must not be dropped.
func mayBeDropped(e fleet.Event) bool {
	switch e.(type) {
	case fleet.BroadcastReceived, fleet.BroadcastRejected, fleet.DatagramReceived, fleet.LeaseRenewed, fleet.ConfigLeaseRenewed,
		fleet.FrontJoined, fleet.FrontLeft, fleet.LinkClosed:
		return true
	}
	return false
}
