package server

import (
	"time"

	"dapplerouter/tcpconn"
)

// nextMessage waits for a message while no request is in flight, and reads it. Once a part of a message was received, the rest must
// follow within the message timeout. Otherwise an incomplete message would hold a descriptor that never counts as idle.
func (c *client) nextMessage() (typ byte, body []byte, err error) {
	if err := c.awaitMessage(); err != nil {
		return 0, nil, err
	}
	if c.server.stage.Load() >= rejecting {
		c.reader.StopReadAhead()
	}
	deadline := c.firstRequestDeadline
	if c.answered {
		deadline = time.Now().Add(messageTimeout)
	}
	for closingSeen := false; ; {
		tcpconn.SetReadDeadline(c.tcp, deadline)
		// The stage is checked after the deadline is set: setting the deadline cancels an earlier wake, but not a later one.
		if !closingSeen && c.server.stage.Load() == closing {
			closingSeen = true // a part of a message was received, and the rest may be on its way
			if lingerEnd := time.Now().Add(min(c.server.linger, MaxCloseLinger)); lingerEnd.Before(deadline) {
				deadline = lingerEnd
			}
			tcpconn.SetReadDeadline(c.tcp, deadline)
		}
		typ, body, err := c.reader.Next()
		switch {
		case err == nil || !tcpconn.IsTimeout(err):
			return typ, body, err
		case time.Now().Before(deadline): // the wake was meant for an earlier wait
		case closingSeen:
			return 0, nil, errClosedBetweenRequests
		default:
			return 0, nil, errRequestTimeout
		}
	}
}

// awaitMessage waits until a part of a message is received. A shutdown, an eviction or a standby ends the wait between requests with an
// error. But a message that has already been received by then is still read, and a connection that was opened after the shutdown began
// still gets its first request answered.
func (c *client) awaitMessage() error {
	for !c.reader.MessageStarted() {
		deadline := c.firstRequestDeadline
		if c.answered {
			deadline = time.Now().Add(c.server.options.IdleTimeout)
		}
		err := c.awaitInput(deadline)
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
			tcpconn.SetReadDeadline(c.tcp, time.Now().Add(messageTimeout)) // a read whose deadline has passed does not look for input
			_, _ = c.reader.WaitForInput()                                 // the next iteration sees the received bytes or the error
		case c.answered || stage == closing:
			return errClosedBetweenRequests
		case c.evicted.Load():
			return errTooManyClients
		default:
			return errRequestTimeout
		}
	}
	return nil
}

// awaitInput blocks until input is received or the deadline passes. Meanwhile the connection counts as idle and may be evicted.
func (c *client) awaitInput(deadline time.Time) error {
	tcpconn.SetReadDeadline(c.tcp, deadline)
	c.idleSince.Store(int64(c.server.options.Clock.Now()))
	defer c.idleSince.Store(0)
	// This is checked after the deadline is set: setting the deadline cancels an earlier wake, but not a later one.
	if c.evicted.Load() || c.answered && c.endsBetweenRequests() || c.server.stage.Load() == closing {
		tcpconn.InterruptRead(c.tcp)
	}
	_, err := c.reader.WaitForInput()
	return err
}
