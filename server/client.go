package server

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// client is a client's connection, served by one goroutine, which owns its fields but for those marked as shared. Its messages are
// awaited and read in messages.go, its requests are read ahead and answered in order in pipeline.go.
type client struct {
	server    *Server
	tcp       *net.TCPConn
	monitor   *tcpconn.PeerMonitor // shared: asked by whoever sends an attempt
	reader    *pgwire.Reader
	idleSince atomic.Int64 // shared: moment on the server's clock since when it has nothing to do, 0 while it has
	evicted   atomic.Bool  // shared: it makes way for another

	startBy  time.Time // by which its first complete request must have come
	answered bool      // once at least

	pipeline front.Pipeline[*request]
	ahead    readAhead
	inbox    inbox // shared
}

// serve is the connection's goroutine.
func (c *client) serve() {
	defer c.server.running.Done()
	defer func() {
		c.abandon()
		c.reader.Close()
		c.server.closeGracefully(c.tcp)
		c.server.remove(c)
	}()
	defer c.answerAfterPanic()
	err := c.await(c.startBy)
	if err == nil || tcpconn.IsTimeout(err) {
		tcpconn.SetReadDeadline(c.tcp, c.startBy)
		err = c.readStartup()
	}
	if err != nil {
		c.writeFatal(err)
		return
	}
	for c.step() {
	}
}

// readStartup reads the startup message, which must be complete in time, and answers it with the greeting.
func (c *client) readStartup() error {
	for {
		startup, err := c.reader.ReadStartup()
		switch {
		case err != nil && tcpconn.IsTimeout(err):
			if c.server.stage.Load() == closing {
				return errDraining
			}
			if c.evicted.Load() {
				return errTooManyClients
			}
			if !time.Now().Before(c.startBy) {
				return errIdle
			}
			if err := c.await(c.startBy); err != nil && !tcpconn.IsTimeout(err) {
				return err
			}
		case err != nil:
			return err
		case startup.CancelRequest:
			return errCancelRequest
		case startup.EncryptionRequest:
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

// endsBetweenRequests reports whether the connection is to end as soon as no answer is owed on it.
func (c *client) endsBetweenRequests() bool {
	return c.server.stage.Load() >= draining || c.evicted.Load() || c.server.standby.state.Load() == onStandby
}

// evict has an idle connection make way for another.
func (c *client) evict() {
	c.evicted.Store(true)
	tcpconn.Wake(c.tcp)
}

// write writes b in one piece. It returns false where the client is gone, or does not read within the write timeout.
func (c *client) write(b []byte) bool {
	tcpconn.SetWriteDeadline(c.tcp, time.Now().Add(c.server.options.WriteTimeout))
	_, err := c.tcp.Write(b)
	return err == nil
}

// writeFatal sends the client the error that ends its connection, where that is the client's fault or for want of resources.
func (c *client) writeFatal(err error) {
	if message := fatalMessage(err); message != nil {
		slog.Debug("client connection closed", "client", c.tcp.RemoteAddr(), "err", err)
		c.write(message)
	}
}

// answerAfterPanic, deferred, stops a panic at its connection: each request that was read is answered with an error, which says
// nothing about whether it ran.
func (c *client) answerAfterPanic() {
	p := recover()
	if p == nil {
		return
	}
	logPanic(p)
	const text = "an internal fault"
	for range c.pipeline.Len() {
		c.write(encodeError(pgwire.CodeInternalError, text, ""))
	}
	c.write(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: pgwire.CodeInternalError, Message: text})) // for a message that was being taken
}
