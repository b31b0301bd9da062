package server

import (
	"errors"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// What a connection may have read ahead: its requests that are not answered yet. Beyond it nothing is read, so its client waits.
const (
	maxPipelined = 32
	maxReadAhead = 64 << 10 // bytes of their messages
)

// readAhead is how far a connection has read beyond what is answered.
type readAhead struct {
	bytes      int       // of the requests in the pipeline
	paused     bool      // nothing more is read until the pipeline is empty: others hold the memory
	skipToSync bool      // messages are dropped up to the Sync that ends an exchange of the extended protocol
	ended      bool      // nothing more is read: the client has terminated, or the connection is about to end
	deadline   time.Time // for the rest of a message that has begun while requests are in flight; zero where none has
}

// request is a message of a client that is owed an answer.
type request struct {
	client   *client
	core     *front.Request // nil where it is answered without the core
	body     []byte         // the message, in which the statement of core lies
	reserved int            // bytes of Server.bodies that the body takes
	behind   bool           // it was read while earlier ones had no answer
	entry    *front.PipelineEntry[*request]

	answer answer
}

// answer is what a client is sent for a request.
type answer struct {
	message  []byte // complete, once known
	reserved int    // bytes of Server.answers that it takes
	partial  bool   // it ends no request: the connection does not count as answered by it
	last     bool   // the connection ends behind it
}

// step writes the answers that are due, starts the requests that may run, and takes what comes next. It returns false where the
// connection ends.
func (c *client) step() bool {
	c.collect()
	if !c.writeAnswers() {
		return false
	}
	c.startRequests()
	if c.pipeline.Len() > 0 {
		return c.awaitProgress()
	}
	if c.ahead.ended {
		return false
	}
	c.ahead.paused = false
	c.ahead.deadline = time.Time{}
	typ, body, err := c.nextMessage()
	if err != nil {
		c.writeFatal(err)
		return false
	}
	c.take(typ, body)
	return true
}

// collect takes the core's responses out of the inbox.
func (c *client) collect() {
	for _, r := range c.inbox.takeAll() {
		r.request.answer.message = encode(&r.Response)
		r.request.answer.reserved = r.reserved
		r.request.entry.MarkAnswered()
	}
}

// writeAnswers writes the answers of the first requests, as far as they are known. It returns false where the connection ends.
func (c *client) writeAnswers() bool {
	for {
		q, ok := c.pipeline.PopAnswered()
		if !ok {
			return true
		}
		written := len(q.answer.message) == 0 || c.write(q.answer.message)
		c.release(q)
		if !written || q.answer.last {
			return false
		}
		c.answered = c.answered || !q.answer.partial
	}
}

// release gives back the memory of a request.
func (c *client) release(q *request) {
	c.ahead.bytes -= len(q.body)
	c.releaseReserved(q)
	if q.reserved == 0 && cap(q.body) <= maxReused && q.body != nil {
		c.reader.Reuse(q.body[:0])
	}
	q.body, q.answer.message, q.reserved, q.answer.reserved = nil, nil, 0, 0
}

// releaseReserved gives back what a request holds of the server's budgets.
func (c *client) releaseReserved(q *request) {
	c.server.bodies.Reserve(-q.reserved)
	c.server.answers.Reserve(-q.answer.reserved)
}

// startRequests passes the requests that may run to the core.
func (c *client) startRequests() {
	for {
		q, ok := c.pipeline.StartNext()
		if !ok {
			return
		}
		c.server.options.Post(q.core)
	}
}

// awaitProgress waits, while requests are in flight, for an answer, for another message or for the client's end; it returns false
// where the connection ends.
func (c *client) awaitProgress() bool {
	reads := c.mayReadAhead()
	if reads && c.reader.MessageStarted() && c.ahead.deadline.IsZero() {
		c.ahead.deadline = time.Now().Add(messageTimeout)
	}
	tcpconn.SetReadDeadline(c.tcp, c.ahead.deadline)
	if !c.inbox.empty() { // read after the deadline is set: a wake after it sets it anew
		return true
	}
	var err error
	switch {
	case !reads:
		err = tcpconn.AwaitHangup(c.tcp)
		if err == nil {
			return false
		}
	case c.reader.MessageStarted():
		var typ byte
		var body []byte
		if typ, body, err = c.readAheadMessage(); err == nil {
			c.ahead.deadline = time.Time{}
			c.take(typ, body)
		}
	default:
		_, err = c.reader.WaitForInput()
	}
	return c.survives(err)
}

// mayReadAhead reports whether another message may be read while requests are in flight. Once the server rejects requests, only
// what has begun to come in is read.
func (c *client) mayReadAhead() bool {
	if c.server.stage.Load() >= rejecting {
		c.reader.StopReadAhead()
		if !c.reader.MessageStarted() {
			return false
		}
	}
	return !c.ahead.ended && !c.ahead.paused && c.pipeline.Len() < maxPipelined && c.ahead.bytes < maxReadAhead
}

// readAheadMessage reads a message behind requests that are in flight: whatever its length, it takes its part of the budget for long
// messages.
func (c *client) readAheadMessage() (typ byte, body []byte, err error) {
	c.reader.RetainedBytes = 0
	defer func() { c.reader.RetainedBytes = maxReused }()
	return c.reader.Next()
}

// survives reports whether a connection with requests in flight stays open after an error of a read.
func (c *client) survives(err error) bool {
	switch {
	case err == nil:
		return true
	case tcpconn.IsTimeout(err):
		if !c.ahead.deadline.IsZero() && !time.Now().Before(c.ahead.deadline) {
			c.end(errIdle)
		}
		return true
	case errors.Is(err, pgwire.ErrBufferLimit):
		c.ahead.paused = true
		c.ahead.deadline = time.Time{}
		return true
	case pgwire.IsProtocolError(err):
		c.end(err)
		return true
	}
	return false
}

// take adds a message to the pipeline; its answer comes in its turn.
func (c *client) take(typ byte, body []byte) {
	switch {
	case typ == pgwire.TypeTerminate:
		c.end(errDraining)
	case c.ahead.skipToSync && typ != 'S':
	case typ == 'Q':
		c.takeQuery(body)
		c.reader.ReleaseLargeBody()
	case typ == 'S':
		c.ahead.skipToSync = false
		c.answer(pgwire.AppendReadyForQuery(nil))
	case typ == 'H': // Flush: nothing is held back
	case isExtendedProtocol(typ):
		c.ahead.skipToSync = true
		q := c.answer(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: pgwire.CodeFeatureNotSupported, Message: "only simple queries are served here"}))
		q.answer.partial = true
	default:
		c.end(pgwire.UnexpectedMessage(typ))
	}
}

// isExtendedProtocol reports whether a message belongs to an extended query, which is rejected as a whole, up to its Sync.
func isExtendedProtocol(typ byte) bool {
	switch typ {
	case 'P', 'B', 'D', 'E', 'C', 'F':
		return true
	}
	return false
}

// takeQuery adds a statement to the pipeline, or its error.
func (c *client) takeQuery(body []byte) {
	receivedAt := c.server.options.Clock.Now()
	statement, err := c.server.parse(body)
	var malformed *pgwire.StatementError
	switch {
	case errors.As(err, &malformed):
		c.answer(encodeError(malformed.Code, malformed.Message, ""))
	case err != nil:
		c.end(err)
	case statement.Empty:
		c.answer(pgwire.AppendEmptyQueryResponse(nil))
	case c.server.stage.Load() >= rejecting: // its answer could come too late for whoever stops this process
		c.server.rejected.Add(1)
		c.answer(encodeError(pgwire.CodeCannotConnectNow, "shutting down: try again elsewhere", ""))
	default:
		q := &request{client: c, behind: c.pipeline.Len() > 0}
		q.core = front.NewRequest(q, statement, receivedAt)
		q.body, q.reserved = c.reader.Detach()
		c.ahead.bytes += len(q.body)
		q.entry = c.pipeline.Add(q, &q.core.Statement)
	}
}

// answer adds an answer that needs no server to the pipeline.
func (c *client) answer(message []byte) *request {
	q := &request{client: c, answer: answer{message: message}}
	q.entry = c.pipeline.Add(q, nil)
	return q
}

// end has the connection end once all that came before is answered.
func (c *client) end(cause error) {
	q := c.answer(fatalMessage(cause))
	q.answer.last = true
	c.ahead.ended = true
	c.ahead.deadline = time.Time{}
}

// abandon drops the requests of a client that is gone. What has not started goes nowhere, whatever the core is at.
func (c *client) abandon() {
	for _, r := range c.inbox.close() {
		r.request.answer.reserved = r.reserved
		r.request.entry.MarkAnswered()
	}
	running, waiting := c.pipeline.Abandon()
	departures := make([]front.ClientGone, 0, len(running))
	for _, q := range running {
		departures = append(departures, q.core.MarkClientGone())
	}
	for _, gone := range departures {
		c.server.options.Post(gone)
	}
	for _, q := range append(running, waiting...) {
		c.releaseReserved(q)
	}
}
