package front

import (
	"time"

	"dapplerouter/routing"
)

// Status is the kind of a response.
type Status uint8

// The statuses, in the order of the counts in audit records.
const (
	StatusSucceeded Status = iota
	StatusRejected         // it is safe to send the request again
	StatusFailed           // it is unknown whether the request ran
	StatusInvalid          // no server can serve the statement
	StatusAbandoned        // no response, because the client disconnected first; for the audit only
	StatusCount            // the number of statuses
)

// Response is the response to a request. A field that belongs to one status is zero for the others.
type Response struct {
	Status Status

	Rows         []byte        // succeeded: the result messages as the server sent them
	FromPrimary  bool          // succeeded: the server was a primary
	Position     int64         // succeeded: the log position that the server reported, in Unix milliseconds; 0 for none
	DataAge      time.Duration // succeeded: upper bound on the age of the data when the result arrived
	DataAgeKnown bool

	RetryAfter time.Duration // rejected: how long the client should wait; 0 if not specified
	MayHaveRun bool          // rejected: an attempt may have run, although sending the request again is safe

	Code   string // invalid: SQLSTATE
	Reason string // invalid: explanation for the client
}

// respondAndRelease sends the response that the router decided on and releases the request if it has no attempt in flight.
func (c *Core) respondAndRelease(ref routing.RequestRef, response Response) {
	c.respond(c.requests.table.MustGet(ref), response)
	c.requests.table.Release(ref)
}

// respond sends the response to the client of a request, unless the request is already finished.
func (c *Core) respond(e *RequestEntry[*Request], response Response) {
	if e.Finished {
		return
	}
	c.markFinished(e)
	c.metrics.responded(response.Status)
	r := e.Value
	c.auditFinished(r, response.Status)
	c.logRequestFinished(e, response.Status)
	r.Client.Respond(response)
}

// markFinished marks a request as finished, for its id and for its configuration version.
func (c *Core) markFinished(e *RequestEntry[*Request]) {
	c.requests.finish(e)
	c.versions.requestFinished(e.Value.version)
}

// auditFinished reports the end of a request to the auditor, if there is one.
func (c *Core) auditFinished(r *Request, status Status) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.RequestFinished(c.now, r.auditInterval, r.typeIndex, status)
	}
}

// successResponse returns the response to a request that a server completed. The data age, which another site may need, is the time since
// the attempt was started plus, for a replica, how far its log position lies behind the present. Only clocks of one site are compared; a
// result from another site comes with its data age.
func (c *Core) successResponse(e *AttemptFinished, o *routing.AttemptOutcome) Response {
	response := Response{Status: StatusSucceeded, Rows: e.Result.Rows, FromPrimary: o.Role == routing.Primary}
	if e.Result.HasApplied {
		response.Position = e.Result.AppliedMillis
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
