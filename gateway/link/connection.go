package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dapplerouter/framing"
	"dapplerouter/gateway"
)

// This file opens the connections of a link and makes their handshakes. A connection whose handshake succeeds replaces the previous
// connection.

const (
	handshakeTimeout = 3 * time.Second // for the TLS handshake, the peer's preamble and its hello together
	maxHandshakes    = 8               // maximum number of incoming connections with a handshake in progress
)

// Errors that end a connection.
var (
	ErrRejectedByPeer     = errors.New("rejected by the peer")
	ErrWrongPeer          = errors.New("wrong peer site")
	ErrConnectionReplaced = errors.New("replaced by a newer connection")
	errPanic              = errors.New("panic")
)

// dial opens a connection to the peer, and opens a new one whenever it ends. It runs until Close.
func (l *Link) dial() {
	pause := backoff.NewExponentialBackOff() // with a jitter of ±50%, so that two sites do not dial in step
	pause.InitialInterval, pause.MaxInterval = l.opts.Settings.HeartbeatInterval/4, 4*l.opts.Settings.HeartbeatInterval
	for l.ctx.Err() == nil {
		began := time.Now()
		d := net.Dialer{Timeout: handshakeTimeout}
		c, err := d.DialContext(l.ctx, "tcp", l.opts.Address)
		if err == nil {
			err = l.serve(c, func() {})
		}
		if l.ctx.Err() != nil {
			return
		}
		slog.Warn("link: not connected", "peer", l.opts.PeerSite, "err", err)
		if time.Since(began) > 4*pause.MaxInterval { // the connection had been up for some time
			pause.Reset()
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-l.ctx.Done():
		}
	}
}

// accept accepts connections from the peer. It runs until Close.
func (l *Link) accept() {
	framing.AcceptLoop(l.ctx, l.listener, maxHandshakes, &l.goroutines, func(c net.Conn, handshakeDone func()) {
		if err := l.serve(c, handshakeDone); err != nil && l.ctx.Err() == nil {
			slog.Warn("link: connection ended", "peer", l.opts.PeerSite, "from", c.RemoteAddr().String(), "err", err)
		}
	})
}

// serve makes the handshake on a connection and calls handshakeDone. Then it receives frames until the connection ends and returns
// the error that ended it. A panic in this goroutine ends only the connection.
func (l *Link) serve(c net.Conn, handshakeDone func()) (err error) {
	socket := c
	defer func() { _ = socket.Close() }()
	defer func() { l.connectionEnded(c) }() // also after a failed handshake; c is the TLS connection if there is one
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
			slog.Error("link: panic", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	stop := context.AfterFunc(l.ctx, func() { _ = socket.Close() }) // not c, which changes below: this is another goroutine
	defer stop()
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed connection; then the handshake fails too
	if c, err = l.startTLS(c); err != nil {
		return err
	}
	k := NewCodec(c)
	if err := k.Greet(); err != nil {
		return fmt.Errorf("exchange preambles: %w", err)
	}
	number, err := l.exchangeHellos(c, k)
	if err != nil {
		return err
	}
	handshakeDone()
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection; then reading fails too
	l.goroutines.Go(func() { l.writeFrames(c, k) })
	err = l.readFrames(c, k)
	slog.Warn("link: down", "peer", l.opts.PeerSite, "connection", number, "err", err)
	return err
}

// startTLS makes the TLS handshake and returns the TLS connection. It returns c itself if the link is not configured for TLS.
func (l *Link) startTLS(c net.Conn) (net.Conn, error) {
	if l.opts.TLS == nil {
		return c, nil
	}
	var t framing.TLSConn
	if l.listener != nil {
		t.Conn = tls.Server(c, l.opts.TLS)
	} else {
		t.Conn = tls.Client(c, l.opts.TLS)
	}
	if err := t.Handshake(); err != nil {
		return c, fmt.Errorf("TLS handshake with the peer: %w", err)
	}
	return t, nil
}

// connectionEnded handles the end of a connection. If it was the current one, the link is down.
func (l *Link) connectionEnded(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
		l.endpoint.ConnectionLost(l.opts.Clock.Now())
		l.collectOutcomes()
	}
	l.changed.Broadcast()
}

// exchangeHellos sends this instance's hello and makes the connection the current one if the peer's hello is accepted. The side that
// dialed sends its hello first and numbers the connection.
func (l *Link) exchangeHellos(c net.Conn, k *Codec) (number uint64, err error) {
	dialed := l.listener == nil
	if dialed {
		l.mu.Lock()
		l.connectionNumber++
		number = l.connectionNumber
		l.mu.Unlock()
		if err := l.sendHello(k, number); err != nil {
			return 0, err
		}
	}
	var h gateway.Frame
	if err := k.Read(&h); err != nil {
		return 0, fmt.Errorf("read hello: %w", err)
	}
	switch {
	case h.Kind == gateway.FrameReject:
		return 0, fmt.Errorf("%w: %.200s", ErrRejectedByPeer, h.Reason)
	case h.Site != l.opts.PeerSite:
		l.reject(k, fmt.Sprintf("this is %s, whose peer is %s", l.opts.LocalSite, l.opts.PeerSite))
		return 0, fmt.Errorf("%w: the hello is from site %.40q, expected %q", ErrWrongPeer, h.Site, l.opts.PeerSite)
	}
	if !dialed {
		number = h.ConnectionNumber
	}
	cancellations, err := l.acceptHello(c, &h, number)
	if err != nil {
		l.reject(k, err.Error()) // the reasons are part of the wire protocol
		return 0, fmt.Errorf("hello of the peer: %w", err)
	}
	for _, r := range cancellations {
		l.execute(r)
	}
	if !dialed {
		if err := l.sendHello(k, number); err != nil {
			return 0, err
		}
	}
	slog.Info("link: up", "peer", l.opts.PeerSite, "connection", number, "epoch", h.Epoch)
	return number, nil
}

// acceptHello makes the connection the current one if the endpoint accepts the hello, and closes the previous one. From then on no
// frame of the previous connection is accepted (see receive). It returns the cancellations of executions for an earlier process of
// the peer.
func (l *Link) acceptHello(c net.Conn, h *gateway.Frame, number uint64) (cancellations []gateway.PeerRequest, err error) {
	l.mu.Lock()
	err = l.endpoint.AcceptHello(l.opts.Clock.Now(), h, number, l.listener == nil)
	var previous net.Conn
	if err == nil {
		previous, l.conn = l.conn, c
		cancellations = l.collectOutcomes()
	}
	l.mu.Unlock()
	if previous != nil {
		_ = previous.Close() // its reader sees the error
	}
	return cancellations, err
}

// sendHello sends this instance's hello for the connection with the given number.
func (l *Link) sendHello(k *Codec, number uint64) error {
	l.mu.Lock()
	h := l.endpoint.Hello(l.opts.LocalSite, number)
	l.mu.Unlock()
	if err := k.Append(&h); err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	if err := k.Flush(); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	return nil
}

// reject sends the peer a FrameReject with the reason why its hello is not accepted.
func (l *Link) reject(k *Codec, reason string) {
	if err := k.Append(&gateway.Frame{Kind: gateway.FrameReject, Reason: reason}); err == nil {
		_ = k.Flush() // the connection ends in any case
	}
}
