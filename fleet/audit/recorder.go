package audit

import (
	"sync/atomic"
	"time"

	"dapplerouter/front"
)

const (
	// MaxIntervalDuration is the longest interval while requests come: a front that crashes loses the counts of the open one.
	MaxIntervalDuration = 30 * time.Second
	maxIntervalRequests = 32 << 10
	minIDsCapacity      = 256
	// maxIntervals is the most intervals that wait for their last requests; with more, a change of the endpoint list extends the open one.
	maxIntervals = 64
)

// Interval is a time in which a front used one version, with what it did. Times are the core's clock.
type Interval struct {
	Number               uint32
	Start, End           time.Duration
	Version              uint64
	EndpointListVersions [2]int64                    // first and last
	Standby              bool                        // the front had no configuration lease, and accepted no request
	ConfigLeaseExpiry    time.Duration               // as of the interval's end; 0 where the front needs no lease
	Outcomes             [][front.StatusCount]uint32 // by request type
	IDs                  []uint64                    // of the accepted requests, by HashID, in the order in which they came

	inFlight int
	closed   bool
}

// empty reports whether the interval has no request.
func (s *Interval) empty() bool { return len(s.IDs) == 0 && s.inFlight == 0 }

// Recorder counts requests. Its calls are those of front.Auditor, from the core's goroutine; Totals is safe for concurrent use.
type Recorder struct {
	types     int
	sink      func(Interval)
	intervals []*Interval // the last is the open one; the others wait for their requests
	totals    []totals    // by request type, on the version in use
	first     Interval    // template of the first
}

// totals are a request type's counts.
type totals struct{ finished, succeeded atomic.Uint64 }

// NewRecorder makes a Recorder for so many request types; sink takes intervals whose requests have all finished and must not block, nil
// for none. A front that needs a configuration lease is in standby until it has one; version is the one that it starts with.
func NewRecorder(types int, needsLease bool, version uint64, sink func(Interval)) *Recorder {
	return &Recorder{types: types, sink: sink, totals: make([]totals, types), first: Interval{Standby: needsLease, Version: version}}
}

// current returns the open interval.
func (r *Recorder) current(at time.Duration) *Interval {
	if n := len(r.intervals); n > 0 {
		return r.intervals[n-1]
	}
	return r.openNext(at)
}

// openNext closes the open interval and opens the next.
func (r *Recorder) openNext(at time.Duration) *Interval {
	next := &Interval{Start: at, Number: 1, Standby: r.first.Standby, Version: r.first.Version, Outcomes: make([][front.StatusCount]uint32, r.types)}
	if n := len(r.intervals); n > 0 {
		last := r.intervals[n-1]
		last.End, last.closed = at, true
		next.Number, next.Version, next.EndpointListVersions = last.Number+1, last.Version, [2]int64{last.EndpointListVersions[1], last.EndpointListVersions[1]}
		next.Standby, next.ConfigLeaseExpiry = last.Standby, last.ConfigLeaseExpiry
		if r.sink != nil {
			next.IDs = make([]uint64, 0, min(max(len(last.IDs), minIDsCapacity), maxIntervalRequests))
		}
	}
	r.intervals = append(r.intervals, next)
	r.flush()
	return next
}

// flush passes on intervals that are closed and whose requests have all finished, in their order.
func (r *Recorder) flush() {
	for len(r.intervals) > 1 && r.intervals[0].inFlight == 0 {
		if r.sink != nil {
			r.sink(*r.intervals[0])
		}
		r.intervals[0] = nil
		r.intervals = r.intervals[1:]
	}
}

// RequestAccepted counts an accepted request, and returns the number of its interval.
func (r *Recorder) RequestAccepted(at time.Duration, id []byte, _ int) uint32 {
	s := r.current(at)
	if r.sink != nil {
		if len(s.IDs) >= maxIntervalRequests || at-s.Start > MaxIntervalDuration {
			s = r.openNext(at)
		}
		s.IDs = append(s.IDs, HashID(id))
	}
	s.inFlight++
	return s.Number
}

// RequestFinished counts a request's outcome in the interval in which it was accepted.
func (r *Recorder) RequestFinished(_ time.Duration, interval uint32, typ int, status front.Status) {
	if typ < len(r.totals) {
		r.totals[typ].finished.Add(1)
		if status == front.StatusSucceeded {
			r.totals[typ].succeeded.Add(1)
		}
	}
	i := int(interval) - int(r.intervals[0].Number)
	if i < 0 || i >= len(r.intervals) {
		return
	}
	s := r.intervals[i]
	if typ < len(s.Outcomes) { // types that classification adds are not counted by type
		s.Outcomes[typ][status]++
	}
	if s.inFlight--; s.inFlight == 0 && s.closed {
		r.flush()
	}
}

// EndpointsChanged notes another version of the endpoint list.
func (r *Recorder) EndpointsChanged(at time.Duration, index int64) {
	s := r.current(at)
	if s.EndpointListVersions[1] == index {
		return
	}
	restarted := s.EndpointListVersions == [2]int64{} || s.empty()
	switch {
	case restarted:
		s.EndpointListVersions = [2]int64{index, index}
	case len(r.intervals) >= maxIntervals:
		s.EndpointListVersions[1] = index
	default:
		r.openNext(at).EndpointListVersions = [2]int64{index, index}
	}
}

// ConfigAdopted notes that another version is in use.
func (r *Recorder) ConfigAdopted(at time.Duration, version uint64) {
	if s := r.current(at); s.Version != version {
		r.openNext(at).Version = version
	}
	for i := range r.totals {
		r.totals[i].finished.Store(0)
		r.totals[i].succeeded.Store(0)
	}
}

// LeaseChanged notes until when the front may serve, or that it is in standby: it then served until its lease's expiry, also where it
// finds that out later.
func (r *Recorder) LeaseChanged(at, until time.Duration, standby bool) {
	s := r.current(at)
	switch {
	case standby && !s.Standby:
		s.ConfigLeaseExpiry = until
		s = r.openNext(min(max(until, s.Start), at))
	case !standby && s.Standby:
		s = r.openNext(at)
	}
	s.Standby, s.ConfigLeaseExpiry = standby, until
}

// Tick closes an interval that has lasted long enough, though no request comes.
func (r *Recorder) Tick(at time.Duration) {
	if s := r.current(at); r.sink != nil && at-s.Start > MaxIntervalDuration && len(s.IDs) > 0 {
		r.openNext(at)
	}
}

// Close closes the open interval and passes on all, with the outcomes that are known.
func (r *Recorder) Close(at time.Duration) {
	r.openNext(at)
	for _, s := range r.intervals[:len(r.intervals)-1] {
		s.inFlight = 0
	}
	r.flush()
}

// Totals calls each with the counts of each request type since the version was adopted: requests that finished, and those of them
// that succeeded.
func (r *Recorder) Totals(each func(typ int, finished, succeeded uint64)) {
	for i := range r.totals {
		succeeded := r.totals[i].succeeded.Load() // first: it is never more than finished
		each(i, r.totals[i].finished.Load(), succeeded)
	}
}
