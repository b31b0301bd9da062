package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// localPause lies between two tries of what failed for want of something that this machine lacks for a moment.
const localPause = 5 * time.Millisecond

// awaitDescriptor waits until a connection may be opened, as long as one may take to come up: clients that were asked to make way
// take a moment to leave.
func (ls *Pools) awaitDescriptor() bool {
	for until := time.Now().Add(ls.dial); ; time.Sleep(localPause) {
		if ls.limiter.AdmitServer(ls.EvictIdle) {
			return true
		}
		if !time.Now().Before(until) {
			return false
		}
	}
}

// dialMember opens a connection until a moment at most. What fails for want of this machine's own is tried again; a last try that the
// deadline ends says something of the member only when it had most of the time.
func (l *memberConn) dialMember(until time.Time) (*net.TCPConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: l.ls.control}
	var failedHere error
	for {
		left := time.Until(until)
		c, err := d.DialContext(ctx, "tcp", l.address)
		if err == nil {
			return c.(*net.TCPConn), nil
		}
		if !localFailure(err) {
			if failedHere != nil && dialTimedOut(err) && left < l.ls.dial/2 {
				return nil, failedHere
			}
			return nil, err
		}
		failedHere = err
		if !time.Now().Add(localPause).Before(until) {
			return nil, err
		}
		time.Sleep(localPause)
	}
}

// dialTimedOut tells whether the deadline of our own ended a dial: by the context, or by the wait for the connection.
func dialTimedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || tcpconn.IsTimeout(err)
}

// localFailure tells whether a dial failed for want of something of this machine, which says nothing of the member.
func localFailure(err error) bool {
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

// connect dials and waits for the member's welcome, within the limit for both together.
func (l *memberConn) connect() error {
	until := time.Now().Add(l.ls.dial)
	conn, err := l.dialMember(until)
	if err != nil {
		return err
	}
	l.conn, l.opened = conn, time.Now()
	l.conn.SetDeadline(until)
	if _, err := l.conn.Write(pgwire.AppendStartup(nil, l.ls.user, l.ls.database)); err != nil {
		return err
	}
	l.r = pgwire.NewReader(l.conn, linkBuffer, l.ls.longest)
	l.r.RetainedBytes, l.r.SpareBytes, l.r.Reserve = bodyKept, rowSpare, l.ls.bodies.Reserve
	var a pgwire.QueryResult
	l.r.CheckMessage = a.CheckMessage
	for done := false; !done; {
		done, err = l.readMessage(&a)
		if a.Code != "" {
			return &rejectedConn{a}
		}
		if err != nil {
			return err
		}
	}
	if l.disturbed() {
		return errors.New("it ended, or said more than a welcome, before it was asked anything")
	}
	l.conn.SetDeadline(time.Time{})
	return nil
}

// rejectedConn is an error answer in place of a welcome.
type rejectedConn struct{ answer pgwire.QueryResult }

func (t *rejectedConn) Error() string { return "rejected with " + t.answer.Code }

func (ls *Pools) connectFailed(s *front.Attempt, err error) {
	if t, ok := err.(*rejectedConn); ok && t.answer.Code == pgwire.CodeTooManyConnections {
		ls.post(&front.AttemptFinished{Attempt: s, Answer: t.answer})
		return
	}
	if localFailure(err) {
		ls.failed(s, front.StageLocal, err)
		return
	}
	ls.failed(s, front.StageDial, err)
}
