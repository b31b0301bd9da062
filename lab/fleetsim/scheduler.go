package fleetsim

import (
	"container/heap"
	"fmt"
	"time"
)

// event is a call that is scheduled for a moment of virtual time.
type event struct {
	at   time.Duration
	seq  int
	call func()
}

// events is a heap of events, ordered by time. Events of the same moment keep the order in which they were scheduled, so that a seed
// always gives the same run.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// Scheduler is the virtual clock and the queue of scheduled calls. Calls run one at a time, on the goroutine that calls Run.
type Scheduler struct {
	Now   time.Duration // virtual time since the simulation began
	queue events
	seq   int
}

// After schedules a call after d of virtual time. It panics if d is negative, which is a programming error.
func (s *Scheduler) After(d time.Duration, call func()) {
	if d < 0 {
		panic(fmt.Sprintf("fleetsim: scheduled %v in the past", -d))
	}
	s.seq++
	heap.Push(&s.queue, event{s.Now + d, s.seq, call})
}

// runUntil runs the calls that are due up to the time end, and stops early once stopped reports true. In either case it then sets the
// clock to end.
func (s *Scheduler) runUntil(end time.Duration, stopped func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && !stopped() {
		e := heap.Pop(&s.queue).(event)
		s.Now = e.at
		e.call()
	}
	s.Now = end
}
