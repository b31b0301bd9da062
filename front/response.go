package front

import (
	"log/slog"
	"time"

	"dapplerouter/routing"
)

// Status is the kind of a response.
type Status uint8

// The order is that of the counts in audit records.
const (
	StatusSucceeded Status = iota
	StatusRejected         // it may be sent again without harm
	StatusFailed           // nothing is known of whether it ran
	StatusInvalid          // the statement cannot be served anywhere
	StatusAbandoned        // no response: the client went before. For the audit only
	StatusCount            // the number of statuses
)

// Response is the one response of a request. Fields that belong to one status are zero for the others.
type Response struct {
	Status Status

	Rows         []byte        // succeeded: the messages as the server sent them
	FromPrimary  bool          // succeeded: by a primary
	Position     int64         // succeeded: the log position that the server reported, Unix milliseconds; 0 for none
	DataAge      time.Duration // succeeded: how old the data may have been when the result came
	DataAgeKnown bool

	RetryAfter time.Duration // rejected: 0 for none
	MayHaveRun bool          // rejected: some attempt may have run, though sending the request again is harmless

	Code   string // invalid: SQLSTATE
	Reason string // invalid: for the client
}

// respondTo gives a request its response on the router's decision.
func (c *Core) respondTo(ref routing.RequestRef, response Response) {
	c.respond(c.requests.table.MustGet(ref), response)
	c.requests.table.Release(ref)
}

// respond passes the one response on; a request that is finished gets none.
func (c *Core) respond(e *RequestEntry[*Request], response Response) {
	if e.Finished {
		return
	}
	c.markFinished(e)
	c.metrics.responded(response.Status)
	r := e.Value
	c.auditFinished(r, response.Status)
	slog.Debug("request finished", "type", string(r.Statement.RequestType), "status", response.Status, "after", c.now-r.ReceivedAt,
		"timeout", r.Statement.Timeout, "attempts", e.Attempts)
	r.Client.Respond(response)
}

// markFinished notes that a request is owed no response any more.
func (c *Core) markFinished(e *RequestEntry[*Request]) {
	c.requests.finish(e)
	c.versions.requestFinished(e.Value.version)
}

func (c *Core) auditFinished(r *Request, status Status) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.RequestFinished(c.now, r.auditSpan, r.typeIndex, status)
	}
}

// successResponse is the response to a request that a server completed. The age of its data, for another site, is the time since
// the attempt was started and how far the server was behind then; only clocks of one site are compared.
func (c *Core) successResponse(e *AttemptFinished, o *routing.AttemptOutcome) Response {
	response := Response{Status: StatusSucceeded, Rows: e.Answer.Rows, FromPrimary: o.Role == routing.Primary}
	if e.Answer.HasApplied {
		response.Position = e.Answer.AppliedMillis
	}
	switch {
	case e.Remote:
		response.DataAge, response.DataAgeKnown = e.DataAge, e.DataAgeKnown
	case response.FromPrimary:
		response.DataAge, response.DataAgeKnown = c.now-e.Attempt.startedAt, true
	case o.HasPosition:
		response.DataAge, response.DataAgeKnown = c.now-e.Attempt.startedAt+max(0, c.now-o.Position), true
	}
	return response
}
