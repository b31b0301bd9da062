package routing

import "time"

// AttemptResult says how an attempt or a health check ended.
type AttemptResult uint8

// Results of an attempt. For those marked "may have run", it is unknown whether the request ran.
const (
	Succeeded      AttemptResult = iota
	ServerError                  // the server answered with an error, or lost its role while it held a write: may have run
	Overloaded                   // rejected by the server before the request ran
	TimedOut                     // may have run, may still be running
	Unreachable                  // no connection could be opened
	ConnectionLost               // the connection failed after the request was sent: may have run
	Cancelled                    // cancelled by CancelAttempt: may have run
	NotSent                      // nothing of the request left the host
	Misrouted                    // the server is not the primary (for a write) or too far behind (for a read): nothing ran
	Stale                        // a read ran on data older than it allows; its result was dropped
)

// attemptResultNames are the names of the results in logs, by AttemptResult.
var attemptResultNames = [...]string{"succeeded", "server error", "overloaded", "timed out", "unreachable", "connection lost",
	"cancelled", "not sent", "misrouted", "stale"}

// String returns the result as written in logs.
func (r AttemptResult) String() string { return attemptResultNames[r] }

// NeverRan reports whether the result proves that the request did not run.
func (r AttemptResult) NeverRan() bool {
	return r == Overloaded || r == Unreachable || r == NotSent || r == Misrouted
}

// AttemptOutcome describes the end of one attempt.
type AttemptOutcome struct {
	Ref             RequestRef
	AttemptNumber   int // number of the attempt within its request, from 0
	Server          int
	Result          AttemptResult
	RequestFinished bool // the request has its final answer, from this attempt or an earlier one
	Latency         time.Duration
	Position        time.Duration // position of the server's log; valid if HasPosition
	HasPosition     bool
	Role            Role       // UnknownRole if not reported
	Load            LoadReport // valid if load reports come with responses
}
