package audit

import (
	"sync/atomic"
	"time"

	"dapplerouter/front"
)

const (
	// MaxIntervalDuration is the maximum length of an interval while requests arrive. It bounds what is lost in a crash: the counts of the
	// open interval.
	MaxIntervalDuration = 30 * time.Second
	maxIntervalRequests = 32 << 10 // in an interval; the next request starts another one
	minIDsCapacity      = 256      // capacity of Interval.IDs to begin with
	// maxIntervals is the maximum number of intervals that wait for their last requests. Beyond it, a change of the endpoint list extends
	// the open interval instead of starting another one.
	maxIntervals = 64
)

// Interval is a time during which a front used one version, with the outcomes of the requests that it accepted then. Times are on the
// core's clock.
type Interval struct {
	Number               uint32
	Start, End           time.Duration
	Version              uint64
	EndpointListVersions [2]int64                    // first and last of the interval
	Standby              bool                        // the front had no configuration lease, and accepted no request
	ConfigLeaseExpiry    time.Duration               // at the interval's end; 0 if the front needs no lease
	Outcomes             [][front.StatusCount]uint32 // by request type
	IDs                  []uint64                    // HashID of each accepted request, in the order in which they arrived

	inFlight int // accepted requests that have not finished
	closed   bool
}

// empty reports whether the interval has no request.
func (s *Interval) empty() bool { return len(s.IDs) == 0 && s.inFlight == 0 }

// Recorder counts the requests of a front in intervals. Its methods implement front.Auditor and are called from the core's goroutine;
// Totals is safe for concurrent use.
type Recorder struct {
	types     int
	sink      func(Interval) // takes intervals whose requests have all finished; nil for none
	intervals []*Interval    // the last one is open; the others wait for their requests to finish
	totals    []totals       // by request type, on the version in use
	initial   Interval       // template of the first interval
}

// totals are the counts of a request type.
type totals struct{ finished, succeeded atomic.Uint64 }

// NewRecorder makes a Recorder. types is the number of request types. sink takes the intervals whose requests have all finished; it must
// not block, and nil means that intervals are not passed on. A front that needs a configuration lease is in standby until it has one.
// version is the version with which the front starts.
func NewRecorder(types int, needsLease bool, version uint64, sink func(Interval)) *Recorder {
	return &Recorder{types: types, sink: sink, totals: make([]totals, types), initial: Interval{Standby: needsLease, Version: version}}
}

// current returns the open interval, and opens the first one if there is none yet.
func (r *Recorder) current(at time.Duration) *Interval {
	if n := len(r.intervals); n > 0 {
		return r.intervals[n-1]
	}
	return r.startNextInterval(at)
}

// startNextInterval closes the open interval and opens the next one.
func (r *Recorder) startNextInterval(at time.Duration) *Interval {
	next := &Interval{Start: at, Number: 1, Standby: r.initial.Standby, Version: r.initial.Version, Outcomes: make([][front.StatusCount]uint32, r.types)}
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
	r.deliverFinished()
	return next
}

// deliverFinished passes on closed intervals in their order, up to the first one with unfinished requests.
func (r *Recorder) deliverFinished() {
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
			s = r.startNextInterval(at)
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
	if typ < len(s.Outcomes) { // request types that classification adds later are not counted by type
		s.Outcomes[typ][status]++
	}
	if s.inFlight--; s.inFlight == 0 && s.closed {
		r.deliverFinished()
	}
}

// EndpointsChanged records that the front uses another version of the endpoint list.
func (r *Recorder) EndpointsChanged(at time.Duration, index int64) {
	s := r.current(at)
	if s.EndpointListVersions[1] == index {
		return
	}
	replaceVersions := s.EndpointListVersions == [2]int64{} || s.empty()
	switch {
	case replaceVersions:
		s.EndpointListVersions = [2]int64{index, index}
	case len(r.intervals) >= maxIntervals:
		s.EndpointListVersions[1] = index
	default:
		r.startNextInterval(at).EndpointListVersions = [2]int64{index, index}
	}
}

// ConfigAdopted records that the front uses another configuration version, and resets the totals.
func (r *Recorder) ConfigAdopted(at time.Duration, version uint64) {
	if s := r.current(at); s.Version != version {
		r.startNextInterval(at).Version = version
	}
	for i := range r.totals {
		r.totals[i].finished.Store(0)
		r.totals[i].succeeded.Store(0)
	}
}

// LeaseChanged records until when the front may serve, or that it is in standby. A front that enters standby has served until its lease
// expired, even if it learns of the expiry later.
func (r *Recorder) LeaseChanged(at, until time.Duration, standby bool) {
	s := r.current(at)
	switch {
	case standby && !s.Standby:
		s.ConfigLeaseExpiry = until
		s = r.startNextInterval(min(max(until, s.Start), at))
	case !standby && s.Standby:
		s = r.startNextInterval(at)
	}
	s.Standby, s.ConfigLeaseExpiry = standby, until
}

// Tick closes an interval that has lasted long enough, also when no request arrives.
func (r *Recorder) Tick(at time.Duration) {
	if s := r.current(at); r.sink != nil && at-s.Start > MaxIntervalDuration && len(s.IDs) > 0 {
		r.startNextInterval(at)
	}
}

// Close closes the open interval and passes on all intervals, with the outcomes known so far.
func (r *Recorder) Close(at time.Duration) {
	r.startNextInterval(at)
	for _, s := range r.intervals[:len(r.intervals)-1] {
		s.inFlight = 0
	}
	r.deliverFinished()
}

// Totals calls each for every request type with its counts since the version was adopted: the requests that finished, and those of them
// that succeeded.
func (r *Recorder) Totals(each func(typ int, finished, succeeded uint64)) {
	for i := range r.totals {
		succeeded := r.totals[i].succeeded.Load() // read before finished, so that it is never the larger of the two
		each(i, r.totals[i].finished.Load(), succeeded)
	}
}
