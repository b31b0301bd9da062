package server

import (
	"strconv"
	"sync"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// answersPart is the part of the memory, as its denominator, that answers on their way to clients may hold together. One up to
// shortAnswer bytes is not counted, unless it may have to wait for earlier ones of its connection.
const (
	answersPart = 8
	shortAnswer = 4 << 10
)

// response is the core's answer to a request.
type response struct {
	front.Response
	request  *request
	reserved int // bytes of Server.answers that it takes
}

// inbox holds the core's responses until the connection's goroutine takes them.
type inbox struct {
	mu        sync.Mutex // guards what follows
	responses []response
	closed    bool // no response is taken any more
}

// takeAll returns the responses that have come since it was last called.
func (i *inbox) takeAll() []response {
	i.mu.Lock()
	defer i.mu.Unlock()
	responses := i.responses
	i.responses = nil
	return responses
}

// close returns the last responses; none is taken from then on.
func (i *inbox) close() []response {
	i.mu.Lock()
	defer i.mu.Unlock()
	responses := i.responses
	i.responses, i.closed = nil, true
	return responses
}

// empty reports whether no response has come since takeAll was last called.
func (i *inbox) empty() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.responses) == 0
}

// add adds a response with the memory that its rows take of a budget, where they are counted. A response that finds none loses its
// rows. It returns false where the connection has ended.
func (i *inbox) add(q *request, f front.Response) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	reserved := 0
	if len(f.Rows) > shortAnswer || q.behind && len(f.Rows) > 0 {
		if q.client.server.answers.Reserve(len(f.Rows)) {
			reserved = len(f.Rows)
		} else {
			f = withoutRows(q.core.Statement.Write)
		}
	}
	i.responses = append(i.responses, response{f, q, reserved})
	return true
}

// Connection implements front.ConnectedClient. What it returns outlives the request, and keeps nothing of it.
func (q *request) Connection() front.ClientConnection { return q.client.monitor }

// Respond implements front.Client: it passes the core's response to the connection's goroutine and wakes it. Responses share a part of
// the memory until they are written: a client may not read, or wait for an earlier one.
func (q *request) Respond(f front.Response) {
	if q.client.inbox.add(q, f) {
		tcpconn.Wake(q.client.tcp)
	}
}

// withoutRows returns the response in place of one whose rows exceed the budget: a read may be retried, a write has run.
func withoutRows(write bool) front.Response {
	if write {
		return front.Response{Status: front.StatusInvalid, Code: pgwire.CodeProgramLimitExceeded, Reason: "executed, but there is no room for its answer"}
	}
	return front.Response{Status: front.StatusRejected}
}

// encode returns a response as its client gets it.
func encode(f *front.Response) []byte {
	switch f.Status {
	case front.StatusSucceeded:
		return pgwire.AppendReadyForQuery(f.Rows) // which have room for it
	case front.StatusRejected:
		detail := ""
		if f.RetryAfter > 0 { // in milliseconds, rounded up
			detail = strconv.FormatInt(int64((f.RetryAfter+time.Millisecond-1)/time.Millisecond), 10)
		}
		return encodeError(pgwire.CodeTooManyConnections, "declined: try again", detail)
	case front.StatusFailed:
		return encodeError(pgwire.CodeTransactionRollback, "rolled back", "")
	}
	return encodeError(f.Code, f.Reason, "")
}

// encodeError returns an error after which the connection stays open.
func encodeError(code, text, detail string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: text, Detail: detail}))
}
