package server

import (
	"errors"
	"strconv"
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

// answersPart is the part of the memory that answers on their way to clients may hold together. One up to shortAnswer bytes is
// not counted, unless it may have to wait for earlier ones of its connection.
const (
	answersPart = 8
	shortAnswer = 4 << 10
)

// request is one message of a client that is owed an answer.
type request struct {
	client   *client
	arrival  *front.Request // nil where it is answered without the core
	body     []byte         // the message, in which the arrival's statement lies
	reserved int            // bytes of the long messages' room that the body takes
	behind   bool           // it was read while earlier ones had no answer
	entry    *front.PipelineEntry[*request]

	reply    []byte // the whole answer, once known
	held     int    // bytes of the answers' room that the reply takes
	passing  bool   // the reply ends no request: the connection does not count as answered by it
	endsConn bool   // the connection ends behind the reply
}

// response is the core's answer to a request.
type response struct {
	request *request
	front.Response
	held int // bytes of the answers' room that it takes
}

// Connection tells whether the request's client has closed its connection. It outlives the request, and keeps nothing of it.
func (q *request) Connection() front.ClientConnection { return q.client.presence }

// Respond passes the core's answer to the connection's goroutine and wakes it. Answers share a part of the memory until they are
// written: a client may not read, or wait for an earlier one. One that finds no room loses its rows.
func (q *request) Respond(f front.Response) {
	c := q.client
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	held := 0
	if len(f.Rows) > shortAnswer || q.behind && len(f.Rows) > 0 {
		if c.sv.answers.Reserve(len(f.Rows)) {
			held = len(f.Rows)
		} else {
			f = withoutRows(f, q.arrival.Statement.Write)
		}
	}
	c.responses = append(c.responses, response{q, f, held})
	c.mu.Unlock()
	c.conn.SetReadDeadline(tcpconn.Past)
}

// withoutRows is what a client is told in place of rows that find no room: a read may be tried again, a write has run.
func withoutRows(f front.Response, write bool) front.Response {
	if write {
		return front.Response{Status: front.StatusInvalid, Code: pgwire.CodeProgramLimitExceeded, Reason: "executed, but there is no room for its answer"}
	}
	return front.Response{Status: front.StatusRejected}
}

// step writes the answers that are due, begins the requests that may run, and takes in what comes next. It returns false
// where the connection ends.
func (c *client) step() bool {
	c.collect()
	if !c.deliver() {
		return false
	}
	c.begin()
	if c.pipeline.Len() > 0 {
		return c.awaitProgress()
	}
	if c.readAll {
		return false
	}
	c.noRoom = false
	c.partUntil = time.Time{}
	typ, body, err := c.next()
	if err != nil {
		c.writeFatal(err)
		return false
	}
	c.take(typ, body)
	return true
}

// collect takes the core's responses.
func (c *client) collect() {
	c.mu.Lock()
	responses := c.responses
	c.responses = nil
	c.mu.Unlock()
	for _, r := range responses {
		r.request.reply = encode(&r.Response)
		r.request.held = r.held
		r.request.entry.MarkAnswered()
	}
}

// deliver writes the answers of the first requests, as far as they are known; false where the connection ends.
func (c *client) deliver() bool {
	for {
		q, ok := c.pipeline.PopAnswered()
		if !ok {
			return true
		}
		written := len(q.reply) == 0 || c.write(q.reply)
		c.release(q)
		if !written || q.endsConn {
			return false
		}
		c.answered = c.answered || !q.passing
	}
}

// release gives back what a request holds.
func (c *client) release(q *request) {
	c.readAhead -= len(q.body)
	c.sv.bodies.Reserve(-q.reserved)
	c.sv.answers.Reserve(-q.held)
	if q.reserved == 0 && cap(q.body) <= bodyKept && q.body != nil {
		c.r.Reuse(q.body[:0])
	}
	q.body, q.reply, q.reserved, q.held = nil, nil, 0, 0
}

// begin passes the requests that may run to the core.
func (c *client) begin() {
	for {
		q, ok := c.pipeline.StartNext()
		if !ok {
			return
		}
		c.sv.post(q.arrival)
	}
}

// awaitProgress waits, while requests are out, for an answer, for another message or for the client's departure; false where
// the connection ends.
func (c *client) awaitProgress() bool {
	reads := c.readsAhead()
	if reads && c.r.MessageStarted() && c.partUntil.IsZero() {
		c.partUntil = time.Now().Add(messageTimeout)
	}
	c.conn.SetReadDeadline(c.partUntil)
	if c.hasResponses() { // looked at after the setting: a wake after it sets it anew
		return true
	}
	var err error
	switch {
	case !reads:
		err = tcpconn.AwaitHangup(c.conn)
		if err == nil {
			return false
		}
	case c.r.MessageStarted():
		var typ byte
		var body []byte
		if typ, body, err = c.readMessage(); err == nil {
			c.partUntil = time.Time{}
			c.take(typ, body)
		}
	default:
		_, err = c.r.WaitForInput()
	}
	return c.goesOn(err)
}

// readsAhead tells whether another message may be read while requests are out. Once the server refuses, only what has begun
// to come in is.
func (c *client) readsAhead() bool {
	if c.sv.stage.Load() >= refusing {
		c.r.StopReadAhead()
		if !c.r.MessageStarted() {
			return false
		}
	}
	return !c.readAll && !c.noRoom && c.pipeline.Len() < maxPipelined && c.readAhead < maxReadAhead
}

// readMessage reads a message behind requests that are out: it takes its room among the long messages whatever its length.
func (c *client) readMessage() (typ byte, body []byte, err error) {
	c.r.RetainedBytes = 0
	defer func() { c.r.RetainedBytes = bodyKept }()
	return c.r.Next()
}

// goesOn tells whether a connection with requests out lives on behind an error of its reading.
func (c *client) goesOn(err error) bool {
	switch {
	case err == nil:
		return true
	case tcpconn.IsTimeout(err):
		if !c.partUntil.IsZero() && !time.Now().Before(c.partUntil) {
			c.end(errSilent)
		}
		return true
	case errors.Is(err, pgwire.ErrBufferLimit):
		c.noRoom = true
		c.partUntil = time.Time{}
		return true
	case pgwire.IsProtocolError(err):
		c.end(err)
		return true
	}
	return false
}

func (c *client) hasResponses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.responses) > 0
}

// take takes a message in; its answer comes in its turn.
func (c *client) take(typ byte, body []byte) {
	switch {
	case typ == pgwire.TypeTerminate:
		c.end(errLeaving)
	case c.skipping && typ != 'S':
	case typ == 'Q':
		c.query(body)
		c.r.ReleaseLargeBody()
	case typ == 'S':
		c.skipping = false
		c.reply(pgwire.AppendReadyForQuery(nil))
	case typ == 'H':
	case extendedProtocol(typ):
		c.skipping = true
		q := c.reply(pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeFeatureNotSupported, "only simple queries are served here", ""))
		q.passing = true
	default:
		c.end(pgwire.UnexpectedMessage(typ))
	}
}

// extendedProtocol tells the messages of an extended query, which is refused as a whole, up to its Sync.
func extendedProtocol(typ byte) bool {
	switch typ {
	case 'P', 'B', 'D', 'E', 'C', 'F':
		return true
	}
	return false
}

func (c *client) query(body []byte) {
	at := c.sv.clock.Now()
	statement, err := c.sv.parse(body)
	var malformed *pgwire.StatementError
	switch {
	case errors.As(err, &malformed):
		c.reply(encodeError(malformed.Code, malformed.Message, ""))
	case err != nil:
		c.end(err)
	case statement.Empty:
		c.reply(pgwire.AppendEmptyQueryResponse(nil))
	case c.sv.stage.Load() >= refusing: // its answer could come too late for whoever stops this front
		c.sv.refused.Add(1)
		c.reply(encodeError(pgwire.CodeCannotConnectNow, "shutting down: try again elsewhere", ""))
	default:
		q := &request{client: c, behind: c.pipeline.Len() > 0}
		q.arrival = front.NewRequest(q, statement, at)
		q.body, q.reserved = c.r.Detach()
		c.readAhead += len(q.body)
		q.entry = c.pipeline.Add(q, &q.arrival.Statement)
	}
}

// reply puts an answer that needs no member into its turn.
func (c *client) reply(b []byte) *request {
	q := &request{client: c, reply: b}
	q.entry = c.pipeline.Add(q, nil)
	return q
}

// end has the connection end once all that came before is answered.
func (c *client) end(why error) {
	q := c.reply(fatal(why))
	q.endsConn = true
	c.readAll = true
	c.partUntil = time.Time{}
}

// abandon drops what the client that has gone is owed. What has not begun goes nowhere, whatever the core is at.
func (c *client) abandon() {
	c.mu.Lock()
	c.closed = true
	responses := c.responses
	c.responses = nil
	c.mu.Unlock()
	for _, r := range responses {
		r.request.held = r.held
		r.request.entry.MarkAnswered()
	}
	running, rest := c.pipeline.Abandon()
	departures := make([]front.ClientGone, 0, len(running))
	for _, q := range running {
		departures = append(departures, q.arrival.MarkClientGone())
	}
	for _, gone := range departures {
		c.sv.post(gone)
	}
	for _, q := range append(running, rest...) {
		c.sv.bodies.Reserve(-q.reserved)
		c.sv.answers.Reserve(-q.held)
	}
}

// encode is a response as the client gets it.
func encode(f *front.Response) []byte {
	switch f.Status {
	case front.StatusSucceeded:
		return pgwire.AppendReadyForQuery(f.Rows) // which have room for it
	case front.StatusRejected:
		detail := ""
		if f.RetryAfter > 0 {
			detail = strconv.FormatInt(int64((f.RetryAfter+time.Millisecond-1)/time.Millisecond), 10)
		}
		return encodeError(pgwire.CodeTooManyConnections, "declined: try again", detail)
	case front.StatusFailed:
		return encodeError(pgwire.CodeTransactionRollback, "rolled back", "")
	}
	return encodeError(f.Code, f.Reason, "")
}

// encodeError is an error behind which the connection lives on.
func encodeError(code, what, detail string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", code, what, detail))
}
