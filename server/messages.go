package server

import (
	"time"

	"dapplerouter/tcpconn"
)

// nextMessage waits for a message while no request is in flight. Once a message has begun it must be complete within the message
// timeout: half a message holds a descriptor that is never idle.
func (c *client) nextMessage() (typ byte, body []byte, err error) {
	if err := c.awaitMessage(); err != nil {
		return 0, nil, err
	}
	if c.server.stage.Load() >= rejecting {
		c.reader.StopReadAhead()
	}
	deadline := c.startBy
	if c.answered {
		deadline = time.Now().Add(messageTimeout)
	}
	for closed := false; ; {
		tcpconn.SetReadDeadline(c.tcp, deadline)
		if !closed && c.server.stage.Load() == closing { // read after the deadline is set: a wake after it sets it anew
			closed = true // of what has begun to come in, the rest may be on its way
			if soon := time.Now().Add(min(c.server.linger, MaxCloseLinger)); soon.Before(deadline) {
				deadline = soon
			}
			tcpconn.SetReadDeadline(c.tcp, deadline)
		}
		typ, body, err := c.reader.Next()
		switch {
		case err == nil || !tcpconn.IsTimeout(err):
			return typ, body, err
		case time.Now().Before(deadline): // the wake was meant for an earlier wait
		case closed:
			return 0, nil, errDraining
		default:
			return 0, nil, errIdle
		}
	}
}

// awaitMessage waits until a message begins. A shutdown, an eviction or a standby ends the wait between requests; but what has come in
// by then is taken, and a connection that came after the shutdown began still gets its first request answered.
func (c *client) awaitMessage() error {
	for !c.reader.MessageStarted() {
		deadline := c.startBy
		if c.answered {
			deadline = time.Now().Add(c.server.options.IdleTimeout)
		}
		err := c.await(deadline)
		if err == nil {
			continue
		}
		if !tcpconn.IsTimeout(err) {
			return err
		}
		stage := c.server.stage.Load()
		expired := !time.Now().Before(deadline)
		mayEnd := c.answered && c.endsBetweenRequests()
		switch {
		case !expired && !c.evicted.Load() && stage < closing && !mayEnd: // the wake was meant for an earlier wait
		case (stage < rejecting || stage < closing && !c.answered) && tcpconn.Peek(c.tcp) == tcpconn.DataPending:
			tcpconn.SetReadDeadline(c.tcp, time.Now().Add(messageTimeout)) // a read past its deadline does not look at all
			_, _ = c.reader.WaitForInput()                                 // the next round finds what it found
		case c.answered || stage == closing:
			return errDraining
		case c.evicted.Load():
			return errTooManyClients
		default:
			return errIdle
		}
	}
	return nil
}

// await blocks until something comes in, until a deadline at most; meanwhile the connection counts as idle and may be evicted.
func (c *client) await(deadline time.Time) error {
	tcpconn.SetReadDeadline(c.tcp, deadline)
	c.idleSince.Store(int64(c.server.options.Clock.Now()))
	defer c.idleSince.Store(0)
	if c.evicted.Load() || c.answered && c.endsBetweenRequests() || c.server.stage.Load() == closing { // read after the deadline is set
		tcpconn.Wake(c.tcp)
	}
	_, err := c.reader.WaitForInput()
	return err
}
