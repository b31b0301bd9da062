package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// localRetryPause is the pause before an operation is retried that failed because this machine temporarily lacks a resource.
const localRetryPause = 5 * time.Millisecond

// awaitDescriptor waits until a file descriptor is available for a connection, but at most for the dial timeout. Evicted connections need
// some time to close. It returns false on timeout.
func (ps *Pools) awaitDescriptor() bool {
	for deadline := time.Now().Add(ps.options.DialTimeout); ; time.Sleep(localRetryPause) {
		if ps.options.Limiter.AdmitServer(ps.EvictIdle) {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
	}
}

// open dials and performs the startup exchange. The dial timeout applies to both together.
func (c *conn) open() error {
	deadline := time.Now().Add(c.pools.options.DialTimeout)
	tcp, err := c.dial(deadline)
	if err != nil {
		return err
	}
	c.tcp, c.openedAt = tcp, time.Now()
	tcpconn.SetDeadline(tcp, deadline)
	if err := c.startup(); err != nil {
		return fmt.Errorf("startup with %s: %w", c.address, err)
	}
	tcpconn.SetDeadline(tcp, time.Time{})
	return nil
}

// dial opens a connection before the deadline. It retries failures for lack of a local resource. If a retry ends by the deadline and had
// less than half of the dial timeout, dial returns the previous local error, so that the timeout does not count against the server.
func (c *conn) dial(deadline time.Time) (*net.TCPConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: c.pools.dialControl}
	var localErr error
	for {
		left := time.Until(deadline)
		dialled, err := d.DialContext(ctx, "tcp", c.address)
		if err == nil {
			return dialled.(*net.TCPConn), nil
		}
		if !isLocal(err) {
			if localErr != nil && isDialTimeout(err) && left < c.pools.options.DialTimeout/2 {
				return nil, localErr
			}
			return nil, err
		}
		localErr = err
		if !time.Now().Add(localRetryPause).Before(deadline) {
			return nil, err
		}
		time.Sleep(localRetryPause)
	}
}

// startup sends the startup message and reads the server's greeting. It returns a *RejectedError if the server responds with an error.
func (c *conn) startup() error {
	o := &c.pools.options
	if _, err := c.tcp.Write(pgwire.AppendStartup(nil, o.User, o.Database)); err != nil {
		return err
	}
	c.reader = pgwire.NewReader(c.tcp, readBuffer, c.pools.maxMessage)
	c.reader.RetainedBytes, c.reader.SpareBytes, c.reader.Reserve = maxReusedBody, trailerSpace, c.pools.bodies.Reserve
	var greeting pgwire.QueryResult
	c.reader.CheckMessage = greeting.CheckMessage
	for complete := false; !complete; {
		var err error
		complete, err = c.readMessage(&greeting)
		if greeting.Code != "" {
			return &RejectedError{Result: greeting}
		}
		if err != nil {
			return err
		}
	}
	if c.hasInput() {
		return ErrUnexpectedInput
	}
	return nil
}

// postOpenError reports to the core that the connection for an attempt could not be opened.
func (c *conn) postOpenError(a *front.Attempt, err error) {
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected) && rejected.Result.Code == pgwire.CodeTooManyConnections:
		c.pools.options.Post(&front.AttemptFinished{Attempt: a, Result: rejected.Result})
	case isLocal(err):
		c.pools.postError(a, front.StageLocal, err)
	default:
		c.pools.postError(a, front.StageDial, err)
	}
}

// isDialTimeout reports whether a dial ended by the deadline that was set here, either of the context or of the socket.
func isDialTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || tcpconn.IsTimeout(err)
}

// isLocal reports whether a dial failed for a cause on this machine, such as a lack of descriptors, ports or buffers. Such a failure is not
// the server's fault.
func isLocal(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR:
		return true
	}
	return false
}
