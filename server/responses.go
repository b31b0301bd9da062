package server

import (
	"strconv"
	"sync"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// Limits of the memory for answers that are not written yet. Together they may hold Options.MemoryBytes / answerMemoryDivisor. An
// answer of up to maxUncountedBytes is not counted, unless it may have to wait for earlier answers of its connection.
const (
	answerMemoryDivisor = 8
	maxUncountedBytes   = 4 << 10
)

// response is the core's answer to a request.
type response struct {
	front.Response
	request  *request
	reserved int // bytes of Server.answerMemory that are reserved for it
}

// inbox holds the core's responses until the connection's goroutine takes them.
type inbox struct {
	mu        sync.Mutex // guards the fields below
	responses []response
	closed    bool // no more responses are accepted
}

// takeAll returns the responses that were added since its last call.
func (i *inbox) takeAll() []response {
	i.mu.Lock()
	defer i.mu.Unlock()
	responses := i.responses
	i.responses = nil
	return responses
}

// close returns the remaining responses. The inbox accepts no responses from then on.
func (i *inbox) close() []response {
	i.mu.Lock()
	defer i.mu.Unlock()
	responses := i.responses
	i.responses, i.closed = nil, true
	return responses
}

// empty reports whether no response was added since the last call of takeAll.
func (i *inbox) empty() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.responses) == 0
}

// add adds a response and reserves answer memory for its rows, if they count. If the memory is exhausted, the response is replaced with
// one without rows. add returns false if the connection has ended.
func (i *inbox) add(q *request, r front.Response) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	reserved := 0
	if len(r.Rows) > maxUncountedBytes || q.pipelined && len(r.Rows) > 0 {
		if q.client.server.answerMemory.Reserve(len(r.Rows)) {
			reserved = len(r.Rows)
		} else {
			r = responseWithoutRows(q.core.Statement.Write)
		}
	}
	i.responses = append(i.responses, response{r, q, reserved})
	return true
}

// Connection implements front.ConnectedClient. The returned value may outlive the request and holds no reference to it.
func (q *request) Connection() front.ClientConnection { return q.client.monitor }

// Respond implements front.Client. It passes the core's response to the connection's goroutine and wakes that. Responses share a budget
// of memory until they are written, because a client may be slow to read or a response may have to wait for an earlier one.
func (q *request) Respond(r front.Response) {
	if q.client.inbox.add(q, r) {
		tcpconn.InterruptRead(q.client.tcp)
	}
}

// responseWithoutRows returns the response that replaces one whose rows exceed the memory budget. A read is rejected and may be retried.
// A write has been executed, which the error says.
func responseWithoutRows(write bool) front.Response {
	if write {
		return front.Response{Status: front.StatusInvalid, Code: pgwire.CodeProgramLimitExceeded, Reason: "executed, but there is no room for its answer"}
	}
	return front.Response{Status: front.StatusRejected}
}

// encode returns the messages that the client is sent for a response.
func encode(r *front.Response) []byte {
	switch r.Status {
	case front.StatusSucceeded:
		return pgwire.AppendReadyForQuery(r.Rows) // the capacity of Rows suffices for it
	case front.StatusRejected:
		detail := ""
		if r.RetryAfter > 0 { // sent in milliseconds, rounded up
			detail = strconv.FormatInt(int64((r.RetryAfter+time.Millisecond-1)/time.Millisecond), 10)
		}
		return encodeError(pgwire.CodeTooManyConnections, "declined: try again", detail)
	case front.StatusFailed:
		return encodeError(pgwire.CodeTransactionRollback, "rolled back", "")
	}
	return encodeError(r.Code, r.Reason, "")
}

// encodeError returns the messages for an error after which the connection stays open.
func encodeError(code, text, detail string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: text, Detail: detail}))
}
