// Package audit tells which front acted on which version, when, and what it did meanwhile. It is a core: no I/O, no clock, no
// goroutine; files are kept by fleet/disk.
//
// A Recorder belongs to a front's core and hears of each request: it counts them in spans, in each of which the front acted on one
// version of the operator's rules and of the list. A Chain makes lines of what happened, each bound to the one before by a
// hash. Lines are read back by Read, weighed by Verify and asked by the queries.
package audit

import (
	"sync/atomic"
	"time"

	"dapplerouter/front"
)

const (
	// MaxIntervalDuration is how long a span lasts at the most, while requests come: a front that dies loses what it counted in the one in hand.
	MaxIntervalDuration = 30 * time.Second
	mostIDs             = 32 << 10 // requests of a span
	mostSpans           = 64       // that wait for their last requests; behind it a list's changes widen the span in hand
)

// Interval is a time in which a front acted on one version, with what it did. Times are the core's clock.
type Interval struct {
	Number               uint32
	Start, End           time.Duration
	Version              uint64
	EndpointListVersions [2]int64                    // the list's versions, first and last
	Standby              bool                        // the front had no right to act, and took nothing
	ConfigLeaseExpiry    time.Duration               // until when it might act, as of the span's end; 0 where it needs none
	Outcomes             [][front.StatusCount]uint32 // by request type
	IDs                  []uint64                    // of the requests taken, as Hash gives them, in the order in which they came
	open                 int
	closed               bool
}

// Recorder counts requests. Its calls are those of front.Auditor, from the core's goroutine; Sums may be called from anywhere.
type Recorder struct {
	types int
	sink  func(Interval)
	spans []*Interval // the last is the one in hand; the others wait for their requests
	sums  []sum
	first Interval // how the first one begins
}

type sum struct{ ended, served atomic.Uint64 }

// NewRecorder makes a Recorder for so many request types; sink takes spans whose requests have all ended and must not block, nil for none.
// A front that needs a right stands by until it has one; version is what it begins with.
func NewRecorder(types int, rights bool, version uint64, sink func(Interval)) *Recorder {
	return &Recorder{types: types, sink: sink, sums: make([]sum, types), first: Interval{Standby: rights, Version: version}}
}

// HashID is how a request's id is kept: FNV-1a of 64 bits, of which the index holds 40.
func HashID(id []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range id {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

func (b *Recorder) now(at time.Duration) *Interval {
	if n := len(b.spans); n > 0 {
		return b.spans[n-1]
	}
	return b.turn(at)
}

// turn closes the span in hand and opens the next.
func (b *Recorder) turn(at time.Duration) *Interval {
	next := &Interval{Start: at, Number: 1, Standby: b.first.Standby, Version: b.first.Version, Outcomes: make([][front.StatusCount]uint32, b.types)}
	if n := len(b.spans); n > 0 {
		old := b.spans[n-1]
		old.End, old.closed = at, true
		next.Number, next.Version, next.EndpointListVersions = old.Number+1, old.Version, [2]int64{old.EndpointListVersions[1], old.EndpointListVersions[1]}
		next.Standby, next.ConfigLeaseExpiry = old.Standby, old.ConfigLeaseExpiry
		if b.sink != nil {
			next.IDs = make([]uint64, 0, min(max(len(old.IDs), 256), mostIDs))
		}
	}
	b.spans = append(b.spans, next)
	b.done()
	return next
}

// done hands on spans that are closed and whose requests have all ended, in their order.
func (b *Recorder) done() {
	for len(b.spans) > 1 && b.spans[0].open == 0 {
		if b.sink != nil {
			b.sink(*b.spans[0])
		}
		b.spans[0] = nil
		b.spans = b.spans[1:]
	}
}

// RequestAccepted notes a request that was taken, and gives its span.
func (b *Recorder) RequestAccepted(at time.Duration, id []byte, _ int) uint32 {
	s := b.now(at)
	if b.sink != nil {
		if len(s.IDs) >= mostIDs || at-s.Start > MaxIntervalDuration {
			s = b.turn(at)
		}
		s.IDs = append(s.IDs, HashID(id))
	}
	s.open++
	return s.Number
}

// RequestFinished notes a request's end.
func (b *Recorder) RequestFinished(_ time.Duration, span uint32, typ int, w front.Status) {
	if typ < len(b.sums) {
		b.sums[typ].ended.Add(1)
		if w == front.StatusSucceeded {
			b.sums[typ].served.Add(1)
		}
	}
	i := int(span) - int(b.spans[0].Number)
	if i < 0 || i >= len(b.spans) {
		return
	}
	s := b.spans[i]
	if typ < len(s.Outcomes) { // types that classing adds count with none
		s.Outcomes[typ][w]++
	}
	if s.open--; s.open == 0 && s.closed {
		b.done()
	}
}

// EndpointsChanged notes that the list has another version.
func (b *Recorder) EndpointsChanged(at time.Duration, index int64) {
	s := b.now(at)
	if s.EndpointListVersions[1] == index {
		return
	}
	if s.EndpointListVersions == [2]int64{} || len(s.IDs) == 0 && s.open == 0 || len(b.spans) >= mostSpans {
		if s.EndpointListVersions == [2]int64{} || len(s.IDs) == 0 && s.open == 0 {
			s.EndpointListVersions[0] = index
		}
		s.EndpointListVersions[1] = index
		return
	}
	b.turn(at).EndpointListVersions = [2]int64{index, index}
}

// ConfigAdopted notes that other rules are in force.
func (b *Recorder) ConfigAdopted(at time.Duration, version uint64) {
	if s := b.now(at); s.Version != version {
		b.turn(at).Version = version
	}
	for i := range b.sums { // they are told by version
		b.sums[i].ended.Store(0)
		b.sums[i].served.Store(0)
	}
}

// LeaseChanged notes until when the front may act, or that it may no more: then it did until its right's end, whenever it finds out.
func (b *Recorder) LeaseChanged(at, until time.Duration, standby bool) {
	s := b.now(at)
	switch {
	case standby && !s.Standby:
		s.ConfigLeaseExpiry = until
		s = b.turn(min(max(until, s.Start), at))
	case !standby && s.Standby:
		s = b.turn(at)
	}
	s.Standby, s.ConfigLeaseExpiry = standby, until
}

// Tick closes a span that has lasted long enough, though nothing comes.
func (b *Recorder) Tick(at time.Duration) {
	if s := b.now(at); b.sink != nil && at-s.Start > MaxIntervalDuration && len(s.IDs) > 0 {
		b.turn(at)
	}
}

// Close closes the span in hand, with what its requests have come to.
func (b *Recorder) Close(at time.Duration) {
	b.turn(at)
	for _, s := range b.spans[:len(b.spans)-1] {
		s.open = 0
	}
	b.done()
}

// Totals are how many requests of each type ended, and how many of them were committed, since the version was adopted.
func (b *Recorder) Totals(each func(typ int, ended, served uint64)) {
	for i := range b.sums {
		served := b.sums[i].served.Load() // first: it is never more than ended
		each(i, b.sums[i].ended.Load(), served)
	}
}
