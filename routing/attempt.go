package routing

import "time"

// AttemptResult says how an attempt or a health check ended.
type AttemptResult uint8

// Results of an attempt; those that say "may have run" leave that unknown.
const (
	Succeeded      AttemptResult = iota
	ServerError                  // answered with an error, or the server lost its role while it held a write: may have run
	Overloaded                   // rejected by the server before it ran
	TimedOut                     // may have run, may still run
	Unreachable                  // no connection
	ConnectionLost               // the connection failed after the request was sent: may have run
	Cancelled                    // by CancelAttempt: may have run
	NotSent                      // nothing of it left the host
	Misrouted                    // the server is not the primary (for a write) or too far behind (for a read): nothing ran
)

var attemptResultNames = [...]string{"succeeded", "server error", "overloaded", "timed out", "unreachable", "connection lost",
	"cancelled", "not sent", "misrouted"}

// String is the result as logs have it.
func (r AttemptResult) String() string { return attemptResultNames[r] }

// NeverRan reports whether the result proves that nothing ran.
func (r AttemptResult) NeverRan() bool {
	return r == Overloaded || r == Unreachable || r == NotSent || r == Misrouted
}

// AttemptOutcome is the end of one attempt.
type AttemptOutcome struct {
	Ref             RequestRef
	AttemptNumber   int // of the request's attempts, from 0
	Server          int
	Result          AttemptResult
	RequestFinished bool // the request has its final answer, by this attempt or from before
	Latency         time.Duration
	Position        time.Duration // of the server's log, where HasPosition
	HasPosition     bool
	Role            Role       // UnknownRole where not reported
	Load            LoadReport // where load reports come with responses
}
