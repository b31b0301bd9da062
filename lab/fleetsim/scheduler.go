package fleetsim

import (
	"container/heap"
	"fmt"
	"time"
)

// event is a call that is due at a moment of virtual time.
type event struct {
	at   time.Duration
	seq  int
	call func()
}

// events is a heap by time; events of one moment keep the order in which they were scheduled, so that a seed replays.
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

// Scheduler is virtual time: a clock and the calls that are due later. Calls run one at a time, on the goroutine of Run.
type Scheduler struct {
	Now   time.Duration // since the simulation began
	queue events
	seq   int
}

// After schedules a call. A negative delay is a programming error and panics.
func (s *Scheduler) After(d time.Duration, call func()) {
	if d < 0 {
		panic(fmt.Sprintf("fleetsim: scheduled %v in the past", -d))
	}
	s.seq++
	heap.Push(&s.queue, event{s.Now + d, s.seq, call})
}

// runUntil runs what is due up to end, until stopped reports true, and sets the clock to end.
func (s *Scheduler) runUntil(end time.Duration, stopped func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && !stopped() {
		e := heap.Pop(&s.queue).(event)
		s.Now = e.at
		e.call()
	}
	s.Now = end
}
