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

// localRetryPause lies between two attempts at what failed for want of a resource that this machine lacks for a moment.
const localRetryPause = 5 * time.Millisecond

// awaitDescriptor waits until a connection may be opened, for the dial timeout at most: evicted clients take a moment to leave.
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

// open dials and waits for the server's greeting, within the limit for both together.
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

// dial opens a connection until a deadline. What fails for want of this machine's own resources is retried; the deadline of a last
// dial counts against the server only when it had most of the time.
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

// startup sends the startup message and reads the server's greeting. The error is a *RejectedError where the server answered with an
// error.
func (c *conn) startup() error {
	o := &c.pools.options
	if _, err := c.tcp.Write(pgwire.AppendStartup(nil, o.User, o.Database)); err != nil {
		return err
	}
	c.reader = pgwire.NewReader(c.tcp, readBuffer, c.pools.maxMessage)
	c.reader.RetainedBytes, c.reader.SpareBytes, c.reader.Reserve = maxReused, spareBehind, c.pools.bodies.Reserve
	var greeting pgwire.QueryResult
	c.reader.CheckMessage = greeting.CheckMessage
	for complete := false; !complete; {
		var err error
		complete, err = c.readMessage(&greeting)
		if greeting.Code != "" {
			return &RejectedError{Answer: greeting}
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

// postOpenError reports to the core that the connection of an attempt could not be opened.
func (c *conn) postOpenError(a *front.Attempt, err error) {
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected) && rejected.Answer.Code == pgwire.CodeTooManyConnections:
		c.pools.options.Post(&front.AttemptFinished{Attempt: a, Answer: rejected.Answer})
	case isLocal(err):
		c.pools.postError(a, front.StageLocal, err)
	default:
		c.pools.postError(a, front.StageDial, err)
	}
}

// isDialTimeout reports whether the deadline set here ended a dial: by the context, or by the wait for the connection.
func isDialTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || tcpconn.IsTimeout(err)
}

// isLocal reports whether a dial failed for want of a resource of this machine, which is no fault of the server.
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
