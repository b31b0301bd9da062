package server

import (
	"errors"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// Limits of the requests that a connection has read and not answered yet. At a limit nothing more is read, so the client has to wait.
const (
	maxPipelined      = 32
	maxReadAheadBytes = 64 << 10 // total length of their messages
)

// readAhead is the state of reading requests while earlier ones are not answered yet.
type readAhead struct {
	bytes      int       // total length of the messages of the requests in the pipeline
	paused     bool      // nothing more is read until the pipeline is empty, because the message memory is exhausted
	skipToSync bool      // messages are dropped up to the Sync that ends an exchange of the extended protocol
	ended      bool      // nothing more is read, because the client has terminated or the connection is about to end
	deadline   time.Time // for the rest of a partly received message while requests are in flight; zero if there is none
}

// request is a message of a client that must be answered.
type request struct {
	client    *client
	core      *front.Request // nil if it is answered without the core
	body      []byte         // the body of the message, to which the statement of core refers
	reserved  int            // bytes of Server.messageMemory that are reserved for the body
	pipelined bool           // it was read while earlier requests were not answered
	entry     *front.PipelineEntry[*request]

	answer answer
}

// answer is the response to a request as the client is sent it.
type answer struct {
	message          []byte // the complete bytes, once they are known
	reserved         int    // bytes of Server.answerMemory that are reserved for it
	partial          bool   // the answer to the request continues in a later one, so the connection does not count as answered yet
	closesConnection bool   // the connection ends after it
}

// step writes the answers that are due, starts the requests that may run, and handles the next message. It returns false if the
// connection ends.
func (c *client) step() bool {
	c.collectResponses()
	if !c.writeAnswers() {
		return false
	}
	c.startRequests()
	if c.pipeline.Len() > 0 {
		return c.awaitProgress()
	}
	if c.readAhead.ended {
		return false
	}
	c.readAhead.paused = false
	c.readAhead.deadline = time.Time{}
	typ, body, err := c.nextMessage()
	if err != nil {
		c.writeFatal(err)
		return false
	}
	c.handleMessage(typ, body)
	return true
}

// collectResponses takes the core's responses out of the inbox and marks their requests as answered.
func (c *client) collectResponses() {
	for _, r := range c.inbox.takeAll() {
		r.request.answer.message = encode(&r.Response)
		r.request.answer.reserved = r.reserved
		r.request.entry.MarkAnswered()
	}
}

// writeAnswers writes answers in the order of the requests, up to the first request whose answer is not known yet. It returns false if
// the connection ends.
func (c *client) writeAnswers() bool {
	for {
		q, ok := c.pipeline.PopAnswered()
		if !ok {
			return true
		}
		written := len(q.answer.message) == 0 || c.write(q.answer.message)
		c.release(q)
		if !written || q.answer.closesConnection {
			return false
		}
		c.answered = c.answered || !q.answer.partial
	}
}

// release releases the memory of a request and reuses its buffer for the next message if possible.
func (c *client) release(q *request) {
	c.readAhead.bytes -= len(q.body)
	c.releaseReserved(q)
	if q.reserved == 0 && cap(q.body) <= maxReusedBytes && q.body != nil {
		c.reader.Reuse(q.body[:0])
	}
	q.body, q.answer.message, q.reserved, q.answer.reserved = nil, nil, 0, 0
}

// releaseReserved releases the memory that is reserved for a request in the server's budgets.
func (c *client) releaseReserved(q *request) {
	c.server.messageMemory.Reserve(-q.reserved)
	c.server.answerMemory.Reserve(-q.answer.reserved)
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

// awaitProgress waits, while requests are in flight, for an answer, another message or the client's disconnect. It returns false if the
// connection ends.
func (c *client) awaitProgress() bool {
	mayRead := c.mayReadAhead()
	if mayRead && c.reader.MessageStarted() && c.readAhead.deadline.IsZero() {
		c.readAhead.deadline = time.Now().Add(messageTimeout)
	}
	deadline := c.readAhead.deadline
	if !mayRead && !c.readAhead.ended {
		if next := c.observeUnread(); deadline.IsZero() || next.Before(deadline) {
			deadline = next
		}
	}
	tcpconn.SetReadDeadline(c.tcp, deadline)
	// The inbox is checked after the deadline is set: setting the deadline cancels an earlier wake, but not a later one.
	if !c.inbox.empty() {
		return true
	}
	var err error
	switch {
	case !mayRead:
		err = tcpconn.AwaitHangup(c.tcp)
		if err == nil {
			return false
		}
	case c.reader.MessageStarted():
		var typ byte
		var body []byte
		if typ, body, err = c.readAheadMessage(); err == nil {
			c.readAhead.deadline = time.Time{}
			c.handleMessage(typ, body)
		}
	default:
		_, err = c.reader.WaitForInput()
	}
	return c.handleReadError(err)
}

// mayReadAhead reports whether another message may be read while requests are in flight. Once the server rejects requests, a message is
// read no further than its end. Once the server closes, only the rest of a message that was partly received is read.
func (c *client) mayReadAhead() bool {
	stage := c.server.stage.Load()
	if stage >= rejecting {
		c.reader.StopReadAhead()
	}
	if stage == closing && !c.reader.MessageStarted() {
		return false
	}
	return !c.readAhead.ended && !c.readAhead.paused && c.pipeline.Len() < maxPipelined && c.readAhead.bytes < maxReadAheadBytes
}

// readAheadMessage reads a message while requests are in flight. The message reserves message memory whatever its length.
func (c *client) readAheadMessage() (typ byte, body []byte, err error) {
	c.reader.RetainedBytes = 0
	defer func() { c.reader.RetainedBytes = maxReusedBytes }()
	return c.reader.Next()
}

// handleReadError handles the error of a read or a wait while requests are in flight; nil is no error. It returns false if the
// connection ends at once. If the connection is to end after the requests in flight, it returns true so that they are answered first.
func (c *client) handleReadError(err error) bool {
	switch {
	case err == nil:
		return true
	case tcpconn.IsTimeout(err):
		if !c.readAhead.deadline.IsZero() && !time.Now().Before(c.readAhead.deadline) {
			c.endAfterAnswers(errRequestTimeout)
		}
		return true
	case errors.Is(err, pgwire.ErrBufferLimit):
		c.readAhead.paused = true
		c.readAhead.deadline = time.Time{}
		return true
	case pgwire.IsProtocolError(err):
		c.endAfterAnswers(err)
		return true
	}
	return false
}

// handleMessage handles a message of the client. If the message must be answered, it is added to the pipeline.
func (c *client) handleMessage(typ byte, body []byte) {
	switch {
	case typ == pgwire.TypeTerminate:
		c.endAfterAnswers(errClosedBetweenRequests)
	case c.readAhead.skipToSync && typ != 'S':
	case typ == 'Q':
		c.handleQuery(body)
		c.reader.ReleaseLargeBody()
	case typ == 'S':
		c.readAhead.skipToSync = false
		c.addAnswer(pgwire.AppendReadyForQuery(nil))
	case typ == 'H': // Flush: needs no action, because no output is held back
	case isExtendedProtocol(typ):
		c.readAhead.skipToSync = true
		q := c.addAnswer(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: pgwire.CodeFeatureNotSupported, Message: "only simple queries are served here"}))
		q.answer.partial = true
	default:
		c.endAfterAnswers(pgwire.UnexpectedMessage(typ))
	}
}

// isExtendedProtocol reports whether a message belongs to the extended query protocol. Such an exchange is rejected as a whole, up to its
// Sync.
func isExtendedProtocol(typ byte) bool {
	switch typ {
	case 'P', 'B', 'D', 'E', 'C', 'F':
		return true
	}
	return false
}

// handleQuery parses a statement and adds it to the pipeline. If the statement is malformed or requests are being rejected, it adds the
// error instead.
func (c *client) handleQuery(body []byte) {
	receivedAt := c.receivedAt()
	statement, err := c.server.parse(body)
	var malformed *pgwire.StatementError
	switch {
	case errors.As(err, &malformed):
		c.addAnswer(encodeError(malformed.Code, malformed.Message, ""))
	case err != nil:
		c.endAfterAnswers(err)
	case statement.Empty:
		c.addAnswer(pgwire.AppendEmptyQueryResponse(nil))
	case c.server.stage.Load() >= rejecting: // its answer could come after the process is killed
		c.server.rejected.Add(1)
		c.addAnswer(encodeError(pgwire.CodeCannotConnectNow, "shutting down: try again elsewhere", ""))
	default:
		q := &request{client: c, pipelined: c.pipeline.Len() > 0}
		q.core = front.NewRequest(q, statement, receivedAt)
		q.body, q.reserved = c.reader.Detach()
		c.readAhead.bytes += len(q.body)
		q.entry = c.pipeline.Add(q, &q.core.Statement)
	}
}

// addAnswer adds a request to the pipeline whose answer is known already.
func (c *client) addAnswer(message []byte) *request {
	q := &request{client: c, answer: answer{message: message}}
	q.entry = c.pipeline.Add(q, nil)
	return q
}

// endAfterAnswers makes the connection end once all requests before are answered. The client is then sent the error if fatalMessage has
// a message for it.
func (c *client) endAfterAnswers(cause error) {
	q := c.addAnswer(fatalMessage(cause))
	q.answer.closesConnection = true
	c.readAhead.ended = true
	c.readAhead.deadline = time.Time{}
}

// cancelRequests drops all requests of a connection that has ended. It marks all running requests before it notifies the core of the first
// one, so that none of their attempts begins from then on, however busy the core is. Requests that were not started never reach the core.
func (c *client) cancelRequests() {
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
