package gateway

import (
	"errors"
	"fmt"
	"time"
)

// State is the state of the link.
type State uint8

// The states of a link.
const (
	Connecting State = iota // the link was never up
	Up
	Down
)

var stateNames = [...]string{"joining", "up", "down"}

// String returns the name of the state that logs show.
func (s State) String() string { return stateNames[s] }

// Errors that end a connection.
var (
	ErrProtocol        = errors.New("protocol violation by the peer")
	ErrPeerTimeout     = errors.New("peer timed out")
	ErrStaleConnection = errors.New("a newer connection exists")
)

// HelloError is the reason why a peer's hello was not accepted. Err is ErrStaleConnection or ErrProtocol.
type HelloError struct {
	Reason string // sent to the peer in a FrameReject; part of the wire protocol
	Err    error
}

// Error returns the reason.
func (e *HelloError) Error() string { return e.Reason }

// Unwrap returns Err.
func (e *HelloError) Unwrap() error { return e.Err }

// invalidHello returns a HelloError that wraps ErrProtocol.
func invalidHello(format string, args ...any) error {
	return &HelloError{Reason: fmt.Sprintf(format, args...), Err: ErrProtocol}
}

// peerConnection is the state of the current connection to the peer, or of the last one if the link is down.
type peerConnection struct {
	number             uint64
	peerEpoch          uint64
	epochSince         time.Duration // when the peer's first hello in this epoch was accepted
	remembersFirstRuns bool          // the peer has featureFirstRuns
	unconfirmed        bool          // no frame was received after the hello
	lastReceived       time.Duration
	lastSent           time.Duration
}

// remembers reports whether the peer knows of all executions of a request since firstRunAt, when the first one that may have run was
// forwarded.
func (c *peerConnection) remembers(firstRunAt time.Duration) bool {
	return c.remembersFirstRuns && firstRunAt >= c.epochSince
}

// checkTimeout returns an error that wraps ErrPeerTimeout if no frame was received for the time limit. The limit is four times as
// long until the first frame after the hello, because the peer answers only once it has received this instance's hello.
func (c *peerConnection) checkTimeout(now, limit time.Duration) error {
	if c.unconfirmed {
		limit *= 4
	}
	if now-c.lastReceived >= limit {
		return fmt.Errorf("%w: no frame for %v", ErrPeerTimeout, limit)
	}
	return nil
}

// flowControl is the state of the flow control on the current connection, in bytes of credit (see Frame.creditCost). Each side
// grants credit to the other.
type flowControl struct {
	sendWindow    int64 // limit of bytesInFlight, which the peer set in its hello
	bytesInFlight int64 // sent and not yet returned by a FrameCredit of the peer
	uncredited    int64 // received and not yet returned to the peer by a FrameCredit
}

// allows reports whether the credit is sufficient to send a frame of the given cost.
func (c *flowControl) allows(cost int64) bool { return c.bytesInFlight+cost <= c.sendWindow }

// receive counts a frame that was received. It returns an error if the peer sent more than the limit allows.
func (c *flowControl) receive(cost, limit int64) error {
	c.uncredited += cost
	if c.uncredited > limit {
		return fmt.Errorf("%w: %d bytes in flight, credit for %d", ErrProtocol, c.uncredited, limit)
	}
	return nil
}

// creditReceived handles a FrameCredit. It returns an error if the credit exceeds the bytes in flight.
func (c *flowControl) creditReceived(bytes int64) error {
	if bytes <= 0 || bytes > c.bytesInFlight {
		return fmt.Errorf("%w: credit for %d bytes, %d in flight", ErrProtocol, bytes, c.bytesInFlight)
	}
	c.bytesInFlight -= bytes
	return nil
}

// features are what an instance can do beyond the first version of the protocol. The Serial of its hello has them as bits; it is 0 in the
// hello of an older program, which ignores it.
type features uint64

// featureFirstRuns means that the instance remembers when the first execution of a request began, so that it sends a write with an
// idempotency key no more once the key's window since then has ended.
const featureFirstRuns features = 1

// Hello returns this instance's hello for the connection with the given number.
func (e *Endpoint) Hello(site string, number uint64) Frame {
	return Frame{Kind: FrameHello, Site: site, Epoch: e.epoch, ConnectionNumber: number, CreditBytes: e.settings.CreditBytes,
		Serial: uint64(featureFirstRuns)}
}

// AcceptHello handles the peer's hello on a new connection with the given number. If it returns a *HelloError, the connection is
// rejected and the state is unchanged. Otherwise the new connection replaces any other: the caller must not pass frames of
// older connections to Receive any more. If the peer is another process than before, the executions for that one are canceled
// (see TakePeerRequests).
//
// answered says that the peer's hello is the answer to this instance's hello, so that the connection is known to work in both
// directions. If it is false, the first frame that is received confirms this. Until then no request is sent and the peer
// timeout is four times as long.
func (e *Endpoint) AcceptHello(now time.Duration, h *Frame, number uint64, answered bool) error {
	switch {
	case h.Kind != FrameHello:
		return invalidHello("a frame of kind %d came where a greeting belongs", h.Kind)
	case h.CreditBytes < MaxDataBytes+frameOverhead || h.CreditBytes > 1<<40:
		return invalidHello("a greeting with a credit of %d bytes", h.CreditBytes)
	case h.Epoch == 0:
		return invalidHello("a greeting without an epoch")
	case h.Epoch == e.conn.peerEpoch && h.ConnectionNumber <= e.conn.number && e.conn.number > 0:
		return &HelloError{Err: ErrStaleConnection,
			Reason: fmt.Sprintf("connection %d is older than %d, which was greeted before it", h.ConnectionNumber, e.conn.number)}
	}
	if e.state == Up {
		e.ConnectionLost(now)
	}
	if h.Epoch != e.conn.peerEpoch {
		e.abandonExecutions(now, h.Epoch)
	}
	epochSince := e.conn.epochSince
	if h.Epoch != e.conn.peerEpoch {
		epochSince = now
	}
	e.state = Up
	e.conn = peerConnection{number: max(number, h.ConnectionNumber), peerEpoch: h.Epoch, epochSince: epochSince,
		remembersFirstRuns: features(h.Serial)&featureFirstRuns != 0, unconfirmed: !answered, lastReceived: now, lastSent: now}
	if answered {
		e.queueControl(Frame{Kind: FramePing}) // confirms to the peer that the connection works in both directions
	}
	e.credit = flowControl{sendWindow: h.CreditBytes}
	e.unsentResults = e.unsentResults[:0]
	e.requestOutcomes()
	return nil
}

// ConnectionLost handles the end of the current connection. The outcome of requests that were sent is unknown; requests that
// were not sent are not executed. It does nothing if the link is not up.
func (e *Endpoint) ConnectionLost(now time.Duration) {
	if e.state != Up {
		return
	}
	e.state = Down
	e.controlFrames, e.unsentResults = e.controlFrames[:0], e.unsentResults[:0]
	e.credit.sendWindow, e.credit.bytesInFlight = 0, 0
	e.suspendForwards(now)
}
