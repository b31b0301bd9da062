package server

import (
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// client is a client's connection, served by one goroutine: what it sends is read in server.go's stages, its requests are
// read ahead and answered in their order in requests.go.
type client struct {
	sv       *Server
	conn     *net.TCPConn
	presence *tcpconn.Presence
	r        *pgwire.Reader
	idle     atomic.Int64 // since when it has nothing to do, as the clock says, 0 while it has
	evicted  atomic.Bool  // makes way for another

	until    time.Time // by which it must have asked something
	answered bool      // once at least

	pipeline  front.Pipeline[*request]
	readAhead int       // bytes of the requests in the pipeline
	noRoom    bool      // nothing more is read ahead until the pipeline is empty: others hold the room
	skipping  bool      // up to the Sync that ends an exchange of the extended protocol
	readAll   bool      // nothing more is read: the client took its leave, or the connection is about to end
	partUntil time.Time // by which the rest of a message has to come while requests are out; zero where none has begun

	mu        sync.Mutex
	responses []response // of the core, not yet looked at
	closed    bool       // no response is taken any more
}

// closeGracefully ends a connection, for whatever reason: the front's half first, so that what was sent last arrives. A close over
// unread bytes would be a reset, which overtakes it: so what the client writes meanwhile is read, within bounds, and thrown
// away. It was not taken; the client finds its connection closed.
func (sv *Server) closeGracefully(conn *net.TCPConn) {
	defer conn.Close()
	if conn.CloseWrite() != nil {
		return // it is gone
	}
	wait := sv.linger
	if sv.stage.Load() == closing {
		wait = min(wait, MaxCloseLinger)
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	var waste [1 << 10]byte
	for most := maxDiscarded; most > 0; {
		n, err := conn.Read(waste[:])
		if err != nil {
			return
		}
		most -= n
	}
}

func (c *client) serve() {
	defer c.sv.running.Done()
	defer func() {
		c.abandon()
		c.r.Close()
		c.sv.closeGracefully(c.conn)
		c.sv.mu.Lock()
		delete(c.sv.clients, c)
		c.sv.mu.Unlock()
		c.sv.limiter.ReleaseClient()
	}()
	defer c.answerAfterPanic()
	err := c.watch(c.until)
	if err == nil || tcpconn.IsTimeout(err) {
		c.conn.SetReadDeadline(c.until)
		err = c.start()
	}
	if err != nil {
		c.writeFatal(err)
		return
	}
	for c.step() {
	}
}

// answerAfterPanic, deferred, stops a panic at its connection: what was read is told that it failed, which promises nothing.
func (c *client) answerAfterPanic() {
	p := recover()
	if p == nil {
		return
	}
	slog.Error("panic in a client's connection", "panic", p, "trace", string(debug.Stack()))
	for range c.pipeline.Len() {
		c.write(encodeError(pgwire.CodeInternalError, "an internal fault", ""))
	}
	c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeInternalError, "an internal fault", "")) // for a message that was being taken in
}

// guard, deferred, stops a panic at the connection that it happened on.
func guard() {
	if p := recover(); p != nil {
		slog.Error("panic in a client's connection", "panic", p, "trace", string(debug.Stack()))
	}
}

// writeFatal tells why the connection ends, where that is the client's doing or its bad luck.
func (c *client) writeFatal(err error) {
	if told := fatal(err); told != nil {
		slog.Debug("a client is let go", "from", c.conn.RemoteAddr(), "why", err)
		c.write(told)
	}
}

// fatal is the message that tells a client why its connection ends, nil where there is nothing to tell.
func fatal(err error) []byte {
	code := ""
	switch {
	case pgwire.IsProtocolError(err):
		code = pgwire.CodeProtocolViolation
	case err == errSilent:
		code = pgwire.CodeIdleSessionTimeout
	case err == errCrowded || errors.Is(err, pgwire.ErrBufferLimit):
		code = pgwire.CodeTooManyConnections
	default:
		return nil
	}
	return pgwire.AppendErrorResponse(nil, "FATAL", code, err.Error(), "")
}

var errCancel = errors.New("a request to cancel, which has no effect here")

// start takes the first message, which must come whole in time.
func (c *client) start() error {
	for {
		s, err := c.r.ReadStartup()
		switch {
		case err != nil && tcpconn.IsTimeout(err):
			if c.sv.stage.Load() == closing {
				return errLeaving
			}
			if c.evicted.Load() {
				return errCrowded
			}
			if !time.Now().Before(c.until) {
				return errSilent
			}
			if err := c.watch(c.until); err != nil && !tcpconn.IsTimeout(err) {
				return err
			}
		case err != nil:
			return err
		case s.CancelRequest:
			return errCancel
		case s.EncryptionRequest:
			if !c.write([]byte{'N'}) {
				return net.ErrClosed
			}
		default:
			if !c.write(pgwire.AppendGreeting(nil)) {
				return net.ErrClosed
			}
			return nil
		}
	}
}

// leaving says whether the connection is to end between requests.
func (c *client) leaving() bool {
	return c.sv.stage.Load() >= draining || c.evicted.Load() || c.sv.standby.Load() == standsBy
}

// Why a connection ends.
var (
	errLeaving = errors.New("leaving")
	errSilent  = errors.New("nothing was asked in time")
	errCrowded = errors.New("too many clients")
)

// next waits for a message. Once it has begun it must come whole within a span: half a message holds a
// descriptor that is never idle.
func (c *client) next() (byte, []byte, error) {
	if err := c.awaitMessage(); err != nil {
		return 0, nil, err
	}
	if c.sv.stage.Load() >= refusing {
		c.r.StopReadAhead()
	}
	until := c.until
	if c.answered {
		until = time.Now().Add(messageTimeout)
	}
	for closed := false; ; {
		c.conn.SetReadDeadline(until)
		if !closed && c.sv.stage.Load() == closing { // looked at after the setting
			closed = true // of what has begun to come in, the rest may be on its way
			if soon := time.Now().Add(min(c.sv.linger, MaxCloseLinger)); soon.Before(until) {
				until = soon
			}
			c.conn.SetReadDeadline(until)
		}
		typ, body, err := c.r.Next()
		switch {
		case err == nil || !tcpconn.IsTimeout(err):
			return typ, body, err
		case time.Now().Before(until): // the wake was meant for another wait
		case closed:
			return 0, nil, errLeaving
		default:
			return 0, nil, errSilent
		}
	}
}

// awaitMessage waits until a message begins. A stop, or another client's need of room, ends the wait between requests; but what has
// come in by then is taken, and one who came after the stop still sends its first.
func (c *client) awaitMessage() error {
	for !c.r.MessageStarted() {
		until := c.until
		if c.answered {
			until = time.Now().Add(c.sv.idle)
		}
		err := c.watch(until)
		if err == nil {
			continue
		}
		if !tcpconn.IsTimeout(err) {
			return err
		}
		stage := c.sv.stage.Load()
		silent := !time.Now().Before(until)
		switch {
		case !silent && !c.evicted.Load() && stage < closing && !(c.answered && c.leaving()): // the wake was meant for another wait
		case (stage < refusing || stage < closing && !c.answered) && tcpconn.Peek(c.conn) == tcpconn.DataPending:
			c.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // a read past its deadline does not look at all
			c.r.WaitForInput()
		case c.answered || stage == closing:
			return errLeaving
		case c.evicted.Load():
			return errCrowded
		default:
			return errSilent
		}
	}
	return nil
}

// watch blocks until something comes in, until a moment at most, as one who may be asked to make way.
func (c *client) watch(until time.Time) error {
	c.conn.SetReadDeadline(until)
	c.idle.Store(int64(c.sv.clock.Now()))
	defer c.idle.Store(0)
	if c.evicted.Load() || c.answered && c.leaving() || c.sv.stage.Load() == closing { // looked at after the setting: a wake after it sets it anew
		c.conn.SetReadDeadline(tcpconn.Past)
	}
	_, err := c.r.WaitForInput()
	return err
}

// write sends in one piece. A client that does not read is left behind.
func (c *client) write(b []byte) bool {
	c.conn.SetWriteDeadline(time.Now().Add(c.sv.writeTimeout))
	_, err := c.conn.Write(b)
	return err == nil
}
