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

// client is the connection of a client. One goroutine serves it and owns its fields, except for those marked as shared. messages.go
// waits for messages and reads them; pipeline.go reads requests ahead and answers them in order.
type client struct {
	server    *Server
	tcp       *net.TCPConn
	monitor   *tcpconn.PeerMonitor // shared: called by any goroutine that sends an attempt
	reader    *pgwire.Reader
	idleSince atomic.Int64 // shared: when the connection became idle, on the server's clock; 0 while it is not idle
	evicted   atomic.Bool  // shared: the connection is to close, to free its descriptor or because of a standby

	firstRequestDeadline time.Time // until then the first request must be complete
	answered             bool      // at least one request was answered

	pipeline  front.Pipeline[*request]
	readAhead readAhead
	arrivals  arrivals
	inbox     inbox // shared
}

// serve runs the connection until it ends, on the connection's goroutine.
func (c *client) serve() {
	defer c.server.connections.done()
	defer func() {
		c.cancelRequests()
		c.reader.Close()
		(&closingReader{server: c.server, conn: c.tcp}).closeGracefully()
		c.server.remove(c)
		c.server.options.Limiter.ReleaseClient()
	}()
	defer c.answerAfterPanic()
	err := c.awaitInput(c.firstRequestDeadline)
	if err == nil || tcpconn.IsTimeout(err) {
		tcpconn.SetReadDeadline(c.tcp, c.firstRequestDeadline)
		err = c.readStartup()
	}
	if err != nil {
		c.writeFatal(err)
		return
	}
	for c.step() {
	}
}

// readStartup reads the startup message and answers it with the greeting. The message must be complete before the deadline for the first
// request. Requests for encryption before it are declined.
func (c *client) readStartup() error {
	for {
		startup, err := c.reader.ReadStartup()
		switch {
		case err != nil && tcpconn.IsTimeout(err):
			if c.server.stage.Load() == closing {
				return errClosedBetweenRequests
			}
			if c.evicted.Load() {
				return errTooManyClients
			}
			if !time.Now().Before(c.firstRequestDeadline) {
				return errRequestTimeout
			}
			if err := c.awaitInput(c.firstRequestDeadline); err != nil && !tcpconn.IsTimeout(err) {
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
			if !c.write(pgwire.AppendStartupResponse(nil)) {
				return net.ErrClosed
			}
			return nil
		}
	}
}

// endsBetweenRequests reports whether the connection is to end as soon as all requests that were read on it are answered.
func (c *client) endsBetweenRequests() bool {
	return c.server.stage.Load() >= draining || c.evicted.Load() || c.server.standby.state.Load() == onStandby
}

// evict marks the connection to be closed between requests and wakes its goroutine.
func (c *client) evict() {
	c.evicted.Store(true)
	tcpconn.InterruptRead(c.tcp)
}

// write writes b in a single call. It returns false if the client has disconnected or does not read within the write timeout.
func (c *client) write(b []byte) bool {
	tcpconn.SetWriteDeadline(c.tcp, time.Now().Add(c.server.options.WriteTimeout))
	_, err := c.tcp.Write(b)
	return err == nil
}

// writeFatal sends the client the error that ends its connection, if the client caused the error or resources are exhausted. It sends
// nothing for other errors.
func (c *client) writeFatal(err error) {
	if message := fatalMessage(err); message != nil {
		slog.Debug("client connection closed", "client", c.tcp.RemoteAddr(), "err", err)
		c.write(message)
	}
}

// answerAfterPanic is deferred and recovers from a panic, so that the panic ends only this connection. It does nothing if there was none.
// It answers each request in the pipeline with an error that does not say whether the request was executed, and then sends a fatal error
// as the answer to the message that was being handled. It does not close the connection.
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
	// The answer to the message that was being handled.
	c.write(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: pgwire.CodeInternalError, Message: text}))
}
