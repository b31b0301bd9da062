package fleet

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ProbeLease is the lease of the front that probes a group's servers for all.
func ProbeLease(group int64) string { return "scout/" + strconv.FormatInt(group, 10) }

// ClaimedRole is the role that a server claimed to a prober.
type ClaimedRole uint8

// The roles. A result of a program that knew none has ClaimedUnknown.
const (
	ClaimedUnknown ClaimedRole = iota
	ClaimedReplica
	ClaimedPrimary
)

// ProbeResult is how a probe of a server ended; never a log position. It may make another front try a server earlier or later; it
// proves no freshness and makes no primary.
type ProbeResult struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Server         string
	Healthy        bool
	Code           string // of the server's refusal, "" for none
	ConnectionLost bool   // after the probe was sent; else an unhealthy server refused the connection or did not answer
	Pending        bool   // the probe was sent and is not answered yet: its result follows
	Role           ClaimedRole
}

// Answers reports whether a result can stand for a probe of another front: a failure can, and the health of a replica. A server that may
// be the primary is probed by each front itself, since only the server's own answer makes it the primary there.
func (result *ProbeResult) Answers() bool { return !result.Healthy || result.Role == ClaimedReplica }

// Encode encodes a result for a broadcast.
func (result ProbeResult) Encode() []byte {
	b, err := msgpack.Marshal(&result)
	if err != nil {
		panic("encode a probe result: " + err.Error()) // our own types always encode
	}
	return b
}

// DecodeProbeResult decodes a prober's broadcast; ok is false where it is invalid.
func DecodeProbeResult(data []byte) (result ProbeResult, ok bool) {
	err := msgpack.Unmarshal(data, &result)
	return result, err == nil && result.Server != "" && len(result.Server) <= maxNameBytes && len(result.Code) <= 5
}

// ProbeCache lets a front use the prober's results: its own probes of a server wait a while for a result that may come, and are
// sent where none does. Q is a probe that waits.
type ProbeCache[Q any] struct {
	FreshFor time.Duration // a failure is used for so long; a replica's health for 2*MaxWait, since it may become primary
	MaxWait  time.Duration // a probe waits so long for a result; twice as long while the prober's own is pending

	results       map[string]cachedResult
	pending       map[string]time.Duration // by server: when the prober reported that a probe is pending
	waiting       map[string][]waitingQuery[Q]
	requests      map[string]time.Duration
	ProbesAvoided int // probes that a result made needless
}

// cachedResult is a server's latest result.
type cachedResult struct {
	ProbeResult
	term       uint64
	receivedAt time.Duration
}

// waitingQuery is a probe that waits for a result.
type waitingQuery[Q any] struct {
	query         Q
	until, latest time.Duration // until when it waits, and at the latest while the prober's own is pending
}

// NewProbeCache returns an empty cache.
func NewProbeCache[Q any](fresh, maxWait time.Duration) *ProbeCache[Q] {
	return &ProbeCache[Q]{
		FreshFor: fresh,
		MaxWait:  maxWait,
		results:  map[string]cachedResult{},
		pending:  map[string]time.Duration{},
		waiting:  map[string][]waitingQuery[Q]{},
		requests: map[string]time.Duration{},
	}
}

// ProbeDecision is what to do with a probe.
type ProbeDecision int

// Decisions of ProbeCache.Decide.
const (
	ProbeNow    ProbeDecision = iota // send it
	UseResult                        // answer it by the result that is returned
	AwaitResult                      // it waits: Expired returns it, or AddResult answers it
)

// Decide says what to do with a probe of a server. mayWait is false for the prober itself, and for an isolated front.
func (s *ProbeCache[Q]) Decide(now time.Duration, server string, query Q, mayWait bool) (decision ProbeDecision, result ProbeResult) {
	if !mayWait {
		return ProbeNow, result
	}
	if cached, ok := s.results[server]; ok && now-cached.receivedAt < s.lifetime(&cached.ProbeResult) {
		if !cached.Answers() {
			return ProbeNow, result
		}
		s.ProbesAvoided++
		return UseResult, cached.ProbeResult
	}
	if len(s.waiting) >= maxKnownFronts {
		return ProbeNow, result
	}
	waiting := waitingQuery[Q]{query, now + s.MaxWait, now + 2*s.MaxWait}
	if s.probePending(now, server) {
		waiting.until = waiting.latest
	}
	s.waiting[server] = append(s.waiting[server], waiting)
	return AwaitResult, result
}

// lifetime is for how long a result is used. Behind it the prober is asked to look again.
func (s *ProbeCache[Q]) lifetime(result *ProbeResult) time.Duration {
	if result.Healthy {
		return 2 * s.MaxWait
	}
	return s.FreshFor
}

// probePending reports whether the prober's own probe of a server is under way, as far as it has reported.
func (s *ProbeCache[Q]) probePending(now time.Duration, server string) bool {
	at, ok := s.pending[server]
	return ok && now-at < 2*s.MaxWait
}

// AddResult adds a prober's result of a lease term, and returns the probes that waited for it; where it does not answer them they are to
// be sent. A result of an older term than the last one's is ignored.
func (s *ProbeCache[Q]) AddResult(now time.Duration, term uint64, result ProbeResult) (waited []Q) {
	previous, ok := s.results[result.Server]
	if ok && term < previous.term || !ok && len(s.results) >= maxKnownFronts {
		return nil
	}
	if result.Pending { // waiting probes go on waiting
		s.pending[result.Server] = now
		for i := range s.waiting[result.Server] {
			waiting := &s.waiting[result.Server][i]
			waiting.until = waiting.latest
		}
		return nil
	}
	delete(s.pending, result.Server)
	s.results[result.Server] = cachedResult{result, term, now}
	for _, query := range s.waiting[result.Server] {
		waited = append(waited, query.query)
	}
	if result.Answers() {
		s.ProbesAvoided += len(waited)
	}
	delete(s.waiting, result.Server)
	return waited
}

// AcceptRequest reports whether another front's request to probe a server should be served: not where it was requested
// recently.
func (s *ProbeCache[Q]) AcceptRequest(now time.Duration, server string) bool {
	if at, ok := s.requests[server]; ok && now-at < 2*s.MaxWait || !ok && len(s.requests) >= maxKnownFronts {
		return false
	}
	s.requests[server] = now
	return true
}

// Expired returns the probes that have waited for long enough, by server.
func (s *ProbeCache[Q]) Expired(now time.Duration) (out []Q) {
	for server, queries := range s.waiting {
		remaining := queries[:0]
		for _, query := range queries {
			if now >= query.until {
				out = append(out, query.query)
			} else {
				remaining = append(remaining, query)
			}
		}
		if s.waiting[server] = remaining; len(remaining) == 0 {
			delete(s.waiting, server)
		}
	}
	return out
}
