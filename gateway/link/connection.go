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

// Connections of a link: how they are opened, and the handshake after which one takes the place of the one before.

const (
	handshakeTimeout = 3 * time.Second // for the peer's preamble, its TLS handshake and its hello together
	maxHandshakes    = 8               // connections whose handshake is under way
)

// Errors that end a connection.
var (
	ErrRejectedByPeer     = errors.New("rejected by the peer")
	ErrWrongPeer          = errors.New("wrong peer site")
	ErrConnectionReplaced = errors.New("replaced by a newer connection")
	errPanic              = errors.New("panic")
)

// dial keeps a connection to the peer open.
func (l *Link) dial() {
	pause := backoff.NewExponentialBackOff() // with jitter of half each way, so that two sites don't dial in step
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
		if time.Since(began) > 4*pause.MaxInterval { // it had been up
			pause.Reset()
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-l.ctx.Done():
		}
	}
}

func (l *Link) accept() {
	framing.AcceptLoop(l.ctx, l.listener, maxHandshakes, &l.goroutines, func(c net.Conn, greeted func()) {
		if err := l.serve(c, greeted); err != nil && l.ctx.Err() == nil {
			slog.Warn("link: connection ended", "peer", l.opts.PeerSite, "from", c.RemoteAddr().String(), "err", err)
		}
	})
}

// serve makes the handshake on a connection, calls greeted, and reads the connection until it ends.
func (l *Link) serve(c net.Conn, greeted func()) (err error) {
	socket := c
	defer func() { _ = socket.Close() }()
	defer func() { l.connectionEnded(c) }() // whatever ended it, a failed handshake too; c may be the TLS connection by then
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
			slog.Error("link: panic", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	stop := context.AfterFunc(l.ctx, func() { _ = socket.Close() }) // c changes below, in another goroutine than this call's
	defer stop()
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout)) // fails on a closed connection alone, as does what follows
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
	greeted()
	_ = c.SetDeadline(time.Time{}) // fails on a closed connection alone, which the reader sees
	l.goroutines.Go(func() { l.writeFrames(c, k) })
	err = l.readFrames(c, k)
	slog.Warn("link: down", "peer", l.opts.PeerSite, "connection", number, "err", err)
	return err
}

// startTLS makes the TLS handshake, where the link has keys. It returns the connection to be used.
func (l *Link) startTLS(c net.Conn) (net.Conn, error) {
	if l.opts.TLS == nil {
		return c, nil
	}
	var t *tls.Conn
	if l.listener != nil {
		t = tls.Server(c, l.opts.TLS)
	} else {
		t = tls.Client(c, l.opts.TLS)
	}
	if err := t.Handshake(); err != nil {
		return c, fmt.Errorf("TLS handshake with the peer: %w", err)
	}
	return t, nil
}

// connectionEnded handles the end of a connection, where it was the present one.
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

// exchangeHellos makes the connection the present one. The side that dialled sends its hello first and numbers the
// connection.
func (l *Link) exchangeHellos(c net.Conn, k *Codec) (number uint64, err error) {
	dialled := l.listener == nil
	if dialled {
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
		return 0, fmt.Errorf("%w: it calls itself %.40q, expected %q", ErrWrongPeer, h.Site, l.opts.PeerSite)
	}
	if !dialled {
		number = h.ConnectionNumber
	}
	if err := l.acceptHello(c, &h, number); err != nil {
		l.reject(k, err.Error()) // its reasons are part of the wire protocol
		return 0, fmt.Errorf("hello of the peer: %w", err)
	}
	if !dialled {
		if err := l.sendHello(k, number); err != nil {
			return 0, err
		}
	}
	slog.Info("link: up", "peer", l.opts.PeerSite, "connection", number, "epoch", h.Epoch)
	return number, nil
}

// acceptHello makes the connection the present one and closes the one before: from here on, no frame of that is accepted
// (see readFrames).
func (l *Link) acceptHello(c net.Conn, h *gateway.Frame, number uint64) error {
	l.mu.Lock()
	err := l.endpoint.AcceptHello(l.opts.Clock.Now(), h, number, l.listener == nil)
	var before net.Conn
	if err == nil {
		before, l.conn = l.conn, c
		l.collectOutcomes()
	}
	l.mu.Unlock()
	if before != nil {
		_ = before.Close() // its reader sees the error
	}
	return err
}

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

// reject sends the peer the reason why its hello is not accepted.
func (l *Link) reject(k *Codec, reason string) {
	if err := k.Append(&gateway.Frame{Kind: gateway.FrameReject, Reason: reason}); err == nil {
		_ = k.Flush() // the connection ends in any case
	}
}
