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
	Connecting State = iota // it was never up
	Up
	Down
)

var stateNames = [...]string{"joining", "up", "down"}

// String returns the name of the state, as logs show it.
func (s State) String() string { return stateNames[s] }

// Errors that end a connection.
var (
	ErrProtocol        = errors.New("protocol violation by the peer")
	ErrPeerTimeout     = errors.New("peer timed out")
	ErrStaleConnection = errors.New("a newer connection exists")
)

// HelloError is a peer's hello that was not accepted. Err is ErrStaleConnection or ErrProtocol.
type HelloError struct {
	Reason string // for the peer: it is sent in a FrameReject and is part of the wire protocol
	Err    error
}

// Error returns the reason.
func (e *HelloError) Error() string { return e.Reason }

// Unwrap returns Err.
func (e *HelloError) Unwrap() error { return e.Err }

func invalidHello(format string, args ...any) error {
	return &HelloError{Reason: fmt.Sprintf(format, args...), Err: ErrProtocol}
}

// peerConnection is the present connection to the peer, or the last one.
type peerConnection struct {
	number       uint64
	peerEpoch    uint64
	unconfirmed  bool // no frame was received since the hello
	lastReceived time.Duration
	lastSent     time.Duration
}

// checkTimeout returns an error that wraps ErrPeerTimeout where nothing was received for too long. Until the first frame
// after the hello the limit is fourfold: our own hello is still on its way.
func (c *peerConnection) checkTimeout(now, limit time.Duration) error {
	if c.unconfirmed {
		limit *= 4
	}
	if now-c.lastReceived >= limit {
		return fmt.Errorf("%w: no frame for %v", ErrPeerTimeout, limit)
	}
	return nil
}

// flowControl is the credit of the present connection, in bytes of frames that carry data.
type flowControl struct {
	sendWindow    int64 // that the peer lets us have in flight
	bytesInFlight int64 // sent, and not yet credited by the peer
	uncredited    int64 // received since we last gave credit
}

// allows reports whether a frame of the given cost may be sent now.
func (c *flowControl) allows(cost int64) bool { return c.bytesInFlight+cost <= c.sendWindow }

// receive counts a frame of the peer's. The error is a peer that sent more than it was allowed.
func (c *flowControl) receive(cost, limit int64) error {
	c.uncredited += cost
	if c.uncredited > limit {
		return fmt.Errorf("%w: %d bytes in flight, credit for %d", ErrProtocol, c.uncredited, limit)
	}
	return nil
}

// creditReceived counts a FrameCredit of the peer's.
func (c *flowControl) creditReceived(bytes int64) error {
	if bytes <= 0 || bytes > c.bytesInFlight {
		return fmt.Errorf("%w: credit for %d bytes, %d in flight", ErrProtocol, bytes, c.bytesInFlight)
	}
	c.bytesInFlight -= bytes
	return nil
}

// Hello returns our hello for a connection of the given number.
func (e *Endpoint) Hello(site string, number uint64) Frame {
	return Frame{Kind: FrameHello, Site: site, Epoch: e.epoch, ConnectionNumber: number, CreditBytes: e.set.CreditBytes}
}

// AcceptHello handles the peer's hello on a new connection whose number here is number. A *HelloError rejects the
// connection and changes nothing. Accepting one ends any other: frames of older connections must not be passed to
// Receive any more. answered says that the peer's hello answers ours, so that both directions are open; otherwise the
// first frame will show that, and until then no request is sent and the peer timeout is fourfold.
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
		e.execs.forgottenSerial = 0
	}
	e.state = Up
	e.conn = peerConnection{number: max(number, h.ConnectionNumber), peerEpoch: h.Epoch, unconfirmed: !answered,
		lastReceived: now, lastSent: now}
	if answered {
		e.sendControl(Frame{Kind: FramePing}) // shows the peer at once that both directions are open
	}
	e.credit = flowControl{sendWindow: h.CreditBytes}
	e.unsentResults = e.unsentResults[:0]
	e.requestOutcomes()
	return nil
}

// ConnectionLost handles the end of the present connection. The outcome of what was sent is unknown; what was not sent was
// not executed.
func (e *Endpoint) ConnectionLost(now time.Duration) {
	if e.state != Up {
		return
	}
	e.state = Down
	e.controlFrames, e.unsentResults = e.controlFrames[:0], e.unsentResults[:0]
	e.credit.sendWindow, e.credit.bytesInFlight = 0, 0
	e.suspendForwards(now)
}
