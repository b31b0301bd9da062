package upstream

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// Sizes of buffers, in bytes.
const (
	readBuffer    = 4 << 10
	maxReusedBody = 16 << 10 // longest message body whose buffer is kept for later messages
	trailerSpace  = 256      // space after a long row for the remaining messages of its result
)

// conn is a connection to a server. The goroutine that runs serve owns its fields, except next and cancelled.
type conn struct {
	pools    *Pools
	pool     *pool
	address  string
	openedAt time.Time // on the monotonic clock
	tcp      *net.TCPConn
	reader   *pgwire.Reader
	reserved int  // bytes reserved in Pools.bodies for the rows of the result so far
	reused   bool // an attempt was exchanged before: its server may still send more than the result

	next      chan *front.Attempt // capacity 1: the next attempt, or nil to close the connection
	cancelled atomic.Bool         // the attempt in flight was cancelled
}

// pass passes the next attempt, or nil to close it, to a connection that was removed from its pool. It does not block.
func (c *conn) pass(a *front.Attempt) {
	c.next <- a
	tcpconn.InterruptRead(c.tcp)
}

// serve is the goroutine of a connection. It opens the connection, sends the first attempt and all later ones, and closes the connection.
func (c *conn) serve(a *front.Attempt) {
	if !c.pools.awaitDescriptor() {
		c.pools.postError(a, front.StageLocal, ErrNoDescriptor)
		return
	}
	defer c.pools.options.Limiter.ReleaseServer()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in a server connection", "address", c.address, "panic", p, "trace", string(debug.Stack()))
			if a != nil {
				c.pools.postError(a, front.StageRead, fmt.Errorf("%w: %v", errPanic, p))
			}
		}
		if c.tcp != nil {
			tcpconn.Close(c.tcp)
		}
		if c.reader != nil {
			c.reader.Close()
		}
		c.pools.bodies.Reserve(-c.reserved)
	}()
	if err := c.open(); err != nil {
		c.postOpenError(a, err)
		return
	}
	for a != nil {
		if !c.exchange(a) {
			return
		}
		a = c.awaitNext()
	}
}

// exchange sends an attempt and posts its result. It returns false if the connection cannot be reused.
func (c *conn) exchange(a *front.Attempt) bool {
	if !a.Begin(c.cancel) {
		c.putBack()
		return true
	}
	message := c.message(a)
	if n, err := c.tcp.Write(message); err != nil {
		stage := front.StageWrite
		if n == len(message) {
			stage = front.StageRead
		}
		tcpconn.Close(c.tcp)
		c.pools.postError(a, stage, err)
		return false
	}
	result := &front.AttemptFinished{Attempt: a}
	if c.readResponse(result) {
		result.Release = c.detachBody()
		c.reader.CheckMessage = nil // it refers to the result and would keep it in memory while the connection is idle
		c.putBack()                 // before the result is posted, so that the next attempt can use this connection
		c.pools.options.Post(result)
		return true
	}
	tcpconn.Close(c.tcp) // before the result is posted, so that a retry is never in flight together with this attempt
	c.pools.options.Post(result)
	return false
}

// message returns the bytes that send an attempt. On a connection that has carried an attempt before they begin with an empty query. A
// server may send more than a result, and what follows a result may still be in transit when the next attempt is written. It precedes the
// response to the empty query, so it cannot be taken for the result of this attempt. Both go in one write, so that no round trip is added.
func (c *conn) message(a *front.Attempt) []byte {
	if c.reused {
		return a.MessageAfterEmptyQuery()
	}
	return a.Message()
}

// readResponse reads the server's response to what exchange has sent. It returns false if the connection cannot be reused.
func (c *conn) readResponse(result *front.AttemptFinished) bool {
	if c.reused {
		if err := c.readEmptyQueryResponse(); err != nil {
			result.Err = connectionError(fmt.Errorf("%w: %w", ErrNoSeparator, err))
			return false
		}
	}
	c.reused = true
	return c.readResult(result)
}

// readEmptyQueryResponse reads the response to the empty query before an attempt. The error is a protocol error if anything else comes
// first.
func (c *conn) readEmptyQueryResponse() error {
	var response pgwire.EmptyQueryResponse
	c.reader.CheckMessage = pgwire.CheckEmptyQueryMessage
	for {
		typ, _, err := c.reader.Next()
		complete := false
		if err == nil {
			complete, err = response.AddMessage(typ)
		}
		switch {
		case complete:
			return nil
		case err == nil, tcpconn.IsTimeout(err) && c.clearStaleDeadline():
		default:
			return err
		}
	}
}

// readResult reads the result of an attempt. It returns false if the connection cannot be reused.
func (c *conn) readResult(result *front.AttemptFinished) bool {
	answer := &result.Result
	answer.AnyStatement, answer.MaxBytes = c.pools.anyResult, c.pools.maxMessage
	c.reader.CheckMessage = answer.CheckMessage
	for {
		complete, err := c.readMessage(answer)
		if complete && err == nil {
			return !c.reader.MessageStarted() && !answer.InTransaction // surplus data must not be read as the next attempt's response
		}
		if err == nil || tcpconn.IsTimeout(err) && c.clearStaleDeadline() {
			continue
		}
		var tooLarge *pgwire.ResultTooLargeError
		switch {
		case errors.As(err, &tooLarge):
			*answer = pgwire.QueryResult{AnyStatement: true, TooLong: true, ErrorMessage: err.Error()}
		case answer.Code == "" || isUnreadable(err): // a FATAL error, which has a code, is a response although the server then closes the connection
			result.Err, *answer = connectionError(err), pgwire.QueryResult{}
		}
		return false
	}
}

// connectionError returns the failure of an attempt of which everything was written.
func connectionError(err error) *front.ConnectionError {
	stage := front.StageRead
	if isUnreadable(err) {
		stage = front.StageDecode
	}
	return &front.ConnectionError{Stage: stage, Err: err}
}

// isUnreadable reports whether a read failed because of what the server sent.
func isUnreadable(err error) bool {
	return pgwire.IsProtocolError(err) || errors.Is(err, pgwire.ErrBufferLimit)
}

// readMessage reads the next message and adds it to a result. It reports whether the result is complete.
func (c *conn) readMessage(answer *pgwire.QueryResult) (complete bool, err error) {
	typ, body, err := c.reader.Next()
	if err != nil {
		return false, err
	}
	if typ != 'D' || len(body) <= maxReusedBody {
		return answer.AddMessage(typ, body)
	}
	inPlace, err := answer.AddRowInPlace(body)
	if inPlace {
		_, reserved := c.reader.Detach()
		c.reserved += reserved
	}
	return false, err
}

// detachBody detaches the memory of a long result from the connection. It returns the function that releases the reserved memory, or nil
// if none was reserved.
func (c *conn) detachBody() (release func()) {
	body, reserved := c.reader.Detach()
	if reserved == 0 {
		c.reader.Reuse(body)
	}
	reserved += c.reserved
	c.reserved = 0
	if reserved == 0 {
		return nil
	}
	bodies := c.pools.bodies
	return func() { bodies.Reserve(-reserved) }
}

// cancel ends the attempt in flight without blocking. The server sees the end of the connection immediately. The connection's goroutine
// wakes up and closes the connection.
func (c *conn) cancel() {
	c.cancelled.Store(true)
	tcpconn.CloseWrite(c.tcp)
	tcpconn.SetDeadline(c.tcp, tcpconn.Past)
}

// clearStaleDeadline clears a read deadline that was set to wake an earlier wait. It returns false if the attempt was cancelled.
func (c *conn) clearStaleDeadline() bool {
	tcpconn.SetReadDeadline(c.tcp, time.Time{})
	return !c.cancelled.Load() // loaded after the deadline is cleared, since a later cancellation sets the deadline again
}

// putBack returns the connection to its pool as idle. The pool closes it if the server has moved or restarted.
func (c *conn) putBack() {
	tcpconn.SetReadDeadline(c.tcp, time.Now().Add(c.pools.idleTimeout))
	c.pools.put(c)
}

// awaitNext waits for the next attempt on an idle connection. It returns nil if the connection is to be closed, which is also the case if
// the server sends data or closes it. An attempt that was passed at the same time is resent on another connection, which is safe because
// nothing of it was written.
func (c *conn) awaitNext() *front.Attempt {
	_, _ = c.reader.WaitForInput() // input, the idle timeout and an error all close an idle connection
	if c.pools.takeIdle(c) {
		return nil
	}
	a := <-c.next
	if a != nil && c.hasInput() {
		tcpconn.Close(c.tcp)
		c.pools.resend(c.pool, a)
		return nil
	}
	tcpconn.SetReadDeadline(c.tcp, time.Time{})
	return a
}

// hasInput reports whether the server has sent data on a connection without an attempt, or closed it. If an attempt were written
// nevertheless, it would fail, and it would be unknown whether it ran.
func (c *conn) hasInput() bool {
	return c.reader.MessageStarted() || tcpconn.Peek(c.tcp) != tcpconn.NoInput
}
