package front

import (
	"container/heap"
	"time"
)

// timerKind determines the action of a timer.
type timerKind uint8

const (
	timerRouter         timerKind = iota // calls the router, which set the timer
	timerAttemptTimeout                  // times the attempt out
	timerSendDeadline                    // ends the attempt if nothing of it was sent
	timerLeaseExpiry                     // checks the configuration leases, one of which may have expired
)

// timer is due at a time of the core's clock. Timers are not cancelled: a timer that is no longer needed has no effect.
type timer struct {
	at      time.Duration
	attempt *Attempt // for timerAttemptTimeout and timerSendDeadline
	kind    timerKind
}

// timers holds the timers that have not fired, ordered by due time.
type timers struct{ heap timerHeap }

func (t *timers) add(x timer) { heap.Push(&t.heap, x) }

// next returns when the first timer is due; it reports false if there is none.
func (t *timers) next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// popDue removes and returns the first timer if it is due.
func (t *timers) popDue(now time.Duration) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	return heap.Pop(&t.heap).(timer), true
}

// timerHeap implements heap.Interface, ordered by due time.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timer{} // lets the attempt be garbage-collected
	*h = old[:len(old)-1]
	return x
}
