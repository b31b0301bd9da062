package front

import (
	"container/heap"
	"time"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerRouter         timerKind = iota // the router asked for it
	timerAttemptTimeout                  // the attempt is given up
	timerSendDeadline                    // the attempt is given up if nothing of it was sent
	timerLeaseExpiry                     // a configuration lease may have expired
)

// timer falls due at a moment of the core's clock. Timers are not cancelled: one that is not needed any more does nothing.
type timer struct {
	at      time.Duration
	attempt *Attempt // nil unless the timer is an attempt's
	kind    timerKind
}

// timers are all that has not fallen due.
type timers struct{ heap timerHeap }

func (t *timers) add(x timer) { heap.Push(&t.heap, x) }

// next returns when the first timer falls due.
func (t *timers) next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// popDue removes the first timer, if it has fallen due.
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
	old[len(old)-1] = timer{} // releases the attempt
	*h = old[:len(old)-1]
	return x
}
