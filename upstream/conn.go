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
	readBuffer  = 4 << 10
	maxReused   = 16 << 10 // longest body whose buffer is used again
	spareBehind = 256      // room behind a long row, for the rest of its answer
)

// conn is a connection to a server. Its fields belong to the goroutine that serves it, but for next and cancelled.
type conn struct {
	pools    *Pools
	pool     *pool
	address  string
	openedAt time.Time // on the monotonic clock
	tcp      *net.TCPConn
	reader   *pgwire.Reader
	reserved int // bytes of the budget for long messages that the answer so far holds

	next      chan *front.Attempt // of capacity one: what it is to do next, nil for its end
	cancelled atomic.Bool         // the attempt in flight was cancelled
}

// pass gives a connection that was taken off its pool its next attempt, or nil for its end. It does not block.
func (c *conn) pass(a *front.Attempt) {
	c.next <- a
	tcpconn.Wake(c.tcp)
}

// serve is the goroutine of a connection, from its first attempt to its end.
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

// exchange sends an attempt and posts its result; it returns false when the connection cannot be used again.
func (c *conn) exchange(a *front.Attempt) bool {
	if !a.Begin(c.cancel) {
		c.putBack()
		return true
	}
	message := a.Message()
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
	if c.readAnswer(result) {
		result.Release = c.detachBody()
		c.reader.CheckMessage = nil // which would keep the answer for as long as the connection is idle
		c.putBack()                 // before the result is posted, so that the next attempt finds it
		c.pools.options.Post(result)
		return true
	}
	tcpconn.Close(c.tcp) // before the result is posted: what replaces a failed attempt must find this one ended
	c.pools.options.Post(result)
	return false
}

// readAnswer reads the answer to an attempt into its result; it returns false when the connection cannot be used again.
func (c *conn) readAnswer(result *front.AttemptFinished) bool {
	answer := &result.Answer
	answer.AnyStatement, answer.MaxBytes = c.pools.anyResult, c.pools.maxMessage
	c.reader.CheckMessage = answer.CheckMessage
	for {
		complete, err := c.readMessage(answer)
		if complete && err == nil {
			return !c.reader.MessageStarted() && !answer.InTransaction // what comes behind must not answer the next attempt
		}
		if err == nil || tcpconn.IsTimeout(err) && c.clearWake() {
			continue
		}
		var tooLarge *pgwire.ResultTooLargeError
		switch {
		case errors.As(err, &tooLarge):
			*answer = pgwire.QueryResult{AnyStatement: true, TooLong: true, ErrorMessage: err.Error()}
		case pgwire.IsProtocolError(err) || errors.Is(err, pgwire.ErrBufferLimit):
			result.Err, *answer = &front.ConnectionError{Stage: front.StageDecode, Err: err}, pgwire.QueryResult{}
		case answer.Code == "": // a fatal error ends its connection without more, and is an answer
			result.Err, *answer = &front.ConnectionError{Stage: front.StageRead, Err: err}, pgwire.QueryResult{}
		}
		return false
	}
}

// readMessage adds the next message to an answer, and reports whether the answer is complete.
func (c *conn) readMessage(answer *pgwire.QueryResult) (complete bool, err error) {
	typ, body, err := c.reader.Next()
	if err != nil {
		return false, err
	}
	if typ != 'D' || len(body) <= maxReused {
		return answer.AddMessage(typ, body)
	}
	inPlace, err := answer.AddRowInPlace(body)
	if inPlace {
		_, reserved := c.reader.Detach()
		c.reserved += reserved
	}
	return false, err
}

// detachBody passes the memory that a long answer reserved to whoever calls release; release is nil where there is none.
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

// cancel ends the attempt in flight without waiting: the server sees the end at once, the goroutine wakes and closes.
func (c *conn) cancel() {
	c.cancelled.Store(true)
	tcpconn.CloseWrite(c.tcp)
	tcpconn.SetDeadline(c.tcp, tcpconn.Past)
}

// clearWake clears a deadline that was meant to end an earlier wait; it returns false where the attempt was cancelled.
func (c *conn) clearWake() bool {
	tcpconn.SetReadDeadline(c.tcp, time.Time{})
	return !c.cancelled.Load() // read after the clearing: a cancellation after it sets the deadline anew
}

// putBack makes the connection idle, unless its server has moved.
func (c *conn) putBack() {
	tcpconn.SetReadDeadline(c.tcp, time.Now().Add(c.pools.idleTimeout))
	c.pools.put(c)
}

// awaitNext waits for the next attempt; nil when the connection is to end. Whatever the server sends meanwhile ends it, and another
// connection gets an attempt that was passed at the same time: nothing of it was written.
func (c *conn) awaitNext() *front.Attempt {
	_, _ = c.reader.WaitForInput() // input, the idle timeout and a failure alike end an idle connection
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

// hasInput reports whether something came in on a connection without an attempt: data would be taken for the answer of the next
// attempt, and of an attempt that is written behind the server's close nobody knows whether it ran.
func (c *conn) hasInput() bool {
	return c.reader.MessageStarted() || tcpconn.Peek(c.tcp) != tcpconn.NoInput
}
