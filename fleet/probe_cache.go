package fleet

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ProbeLease returns the name of the lease whose holder, the prober, probes a group's servers for all fronts.
func ProbeLease(group int64) string { return "scout/" + strconv.FormatInt(group, 10) }

// ClaimedRole is the role that a server reported to a prober.
type ClaimedRole uint8

// Roles that a server may report. A result from a program older than this field has ClaimedUnknown.
const (
	ClaimedUnknown ClaimedRole = iota
	ClaimedReplica
	ClaimedPrimary
)

// ProbeResult is the result of a probe of a server. It never has a log position. It may cause another front to try a server earlier or
// later. It is no proof that the server's data is fresh, and it never makes a server the primary.
type ProbeResult struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Server         string
	Healthy        bool
	Code           string // the SQLSTATE with which the server refused the probe, "" for none
	ConnectionLost bool   // the connection was lost after the probe was sent; false where a server refused the connection or did not answer
	Pending        bool   // the probe was sent and is not answered yet; its result follows
	Role           ClaimedRole
}

// ReplacesProbe reports whether another front can use the result in place of a probe of its own: it can use a failure, and the health of a
// replica. Each front itself probes a server that may be the primary, since only the server's own answer makes it the primary there.
func (result *ProbeResult) ReplacesProbe() bool {
	return !result.Healthy || result.Role == ClaimedReplica
}

// Encode encodes the result for a broadcast.
func (result ProbeResult) Encode() []byte {
	b, err := msgpack.Marshal(&result)
	if err != nil {
		panic("encode a probe result: " + err.Error()) // the type is always encodable
	}
	return b
}

// DecodeProbeResult decodes the data of a prober's broadcast. ok is false where it is invalid.
func DecodeProbeResult(data []byte) (result ProbeResult, ok bool) {
	err := msgpack.Unmarshal(data, &result)
	return result, err == nil && result.Server != "" && len(result.Server) <= maxNameBytes && len(result.Code) <= 5
}

// ProbeCache caches the prober's results, so that a front can use them in place of its own probes. A probe of this front waits a
// limited time for a result of the prober, and is sent where none arrives. Q is the type of a probe.
type ProbeCache[Q any] struct {
	FreshFor time.Duration // how long a failure is used; a replica's health is used for LongestWait, since it may become primary
	MaxWait  time.Duration // how long a probe waits for a result; it waits for LongestWait while the prober's own probe is pending

	results       map[string]cachedResult      // by server
	pending       map[string]time.Duration     // by server: when the prober reported that its probe is pending
	waiting       map[string][]waitingProbe[Q] // by server
	requests      map[string]time.Duration     // by server: when AcceptRequest last returned true
	ProbesAvoided int                          // the number of probes of this front that a result replaced
}

// cachedResult is the latest result for a server, with the term of the lease under which it was broadcast.
type cachedResult struct {
	ProbeResult
	term       uint64
	receivedAt time.Duration
}

// waitingProbe is a probe of this front that waits for a result of the prober.
type waitingProbe[Q any] struct {
	probe         Q
	until, latest time.Duration // when the wait ends, and when it ends while the prober's own probe is pending
}

// NewProbeCache returns an empty cache. fresh is how long the failure of a server is used, and maxWait is how long a probe waits for a
// result; see FreshFor and MaxWait.
func NewProbeCache[Q any](fresh, maxWait time.Duration) *ProbeCache[Q] {
	return &ProbeCache[Q]{
		FreshFor: fresh,
		MaxWait:  maxWait,
		results:  map[string]cachedResult{},
		pending:  map[string]time.Duration{},
		waiting:  map[string][]waitingProbe[Q]{},
		requests: map[string]time.Duration{},
	}
}

// LongestWait returns how long a probe waits while the prober's own probe is pending. After that time nothing that is known of a probe or
// of a healthy server counts any more.
func (s *ProbeCache[Q]) LongestWait() time.Duration { return 2 * s.MaxWait }

// ProbeDecision says how a front should proceed with a probe.
type ProbeDecision int

// Results of ProbeCache.Decide.
const (
	ProbeNow    ProbeDecision = iota // send the probe
	UseResult                        // use the returned result in place of the probe
	AwaitResult                      // the cache holds the probe until AddResult or Expired returns it
)

// Decide decides how to proceed with a probe of a server. result is set for UseResult only. mayWait is false at the prober itself, and
// at an isolated front.
func (s *ProbeCache[Q]) Decide(now time.Duration, server string, probe Q, mayWait bool) (decision ProbeDecision, result ProbeResult) {
	if !mayWait {
		return ProbeNow, result
	}
	if cached, ok := s.results[server]; ok && now-cached.receivedAt < s.lifetime(&cached.ProbeResult) {
		if !cached.ReplacesProbe() {
			return ProbeNow, result
		}
		s.ProbesAvoided++
		return UseResult, cached.ProbeResult
	}
	if len(s.waiting) >= maxKnownFronts {
		return ProbeNow, result
	}
	waiting := waitingProbe[Q]{probe, now + s.MaxWait, now + s.LongestWait()}
	if s.probePending(now, server) {
		waiting.until = waiting.latest
	}
	s.waiting[server] = append(s.waiting[server], waiting)
	return AwaitResult, result
}

// lifetime returns how long a result is used. After that, probes wait for a new result of the prober.
func (s *ProbeCache[Q]) lifetime(result *ProbeResult) time.Duration {
	if result.Healthy {
		return s.LongestWait()
	}
	return s.FreshFor
}

// probePending reports whether the prober's own probe of a server is pending, according to its reports.
func (s *ProbeCache[Q]) probePending(now time.Duration, server string) bool {
	at, ok := s.pending[server]
	return ok && now-at < s.LongestWait()
}

// AddResult adds a prober's result, which was broadcast in a term of its lease, and returns the probes that waited for it. The caller
// must send them unless result.ReplacesProbe. AddResult ignores a result of an older term than the last one of the same server.
func (s *ProbeCache[Q]) AddResult(now time.Duration, term uint64, result ProbeResult) (waited []Q) {
	previous, ok := s.results[result.Server]
	if ok && term < previous.term || !ok && len(s.results) >= maxKnownFronts {
		return nil
	}
	if result.Pending { // waiting probes continue to wait
		s.pending[result.Server] = now
		for i := range s.waiting[result.Server] {
			waiting := &s.waiting[result.Server][i]
			waiting.until = waiting.latest
		}
		return nil
	}
	delete(s.pending, result.Server)
	s.results[result.Server] = cachedResult{result, term, now}
	for _, waiting := range s.waiting[result.Server] {
		waited = append(waited, waiting.probe)
	}
	if result.ReplacesProbe() {
		s.ProbesAvoided += len(waited)
	}
	delete(s.waiting, result.Server)
	return waited
}

// AcceptRequest reports whether the prober should serve another front's request to probe a server. It returns false where it accepted
// a request for that server within LongestWait.
func (s *ProbeCache[Q]) AcceptRequest(now time.Duration, server string) bool {
	if at, ok := s.requests[server]; ok && now-at < s.LongestWait() || !ok && len(s.requests) >= maxKnownFronts {
		return false
	}
	s.requests[server] = now
	return true
}

// Expired removes and returns the probes whose wait has ended, in no particular order.
func (s *ProbeCache[Q]) Expired(now time.Duration) (expired []Q) {
	for server, all := range s.waiting {
		remaining := all[:0]
		for _, waiting := range all {
			if now >= waiting.until {
				expired = append(expired, waiting.probe)
			} else {
				remaining = append(remaining, waiting)
			}
		}
		if s.waiting[server] = remaining; len(remaining) == 0 {
			delete(s.waiting, server)
		}
	}
	return expired
}
