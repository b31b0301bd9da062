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

// The connections of a link: one carries at a time.

func (l *Link) dial() {
	wait := backoff.NewExponentialBackOff() // spread by half each way, so that two sites don't dial in step
	wait.InitialInterval, wait.MaxInterval = l.o.Settings.HeartbeatInterval/4, 4*l.o.Settings.HeartbeatInterval
	for l.ctx.Err() == nil {
		began := time.Now()
		d := net.Dialer{Timeout: greeting}
		c, err := d.DialContext(l.ctx, "tcp", l.o.Address)
		if err == nil {
			err = l.serve(c, func() {})
		}
		if l.ctx.Err() != nil {
			return
		}
		slog.Warn("link: no connection", "peer", l.o.PeerSite, "why", err)
		if time.Since(began) > 4*wait.MaxInterval { // it had been up
			wait.Reset()
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-l.ctx.Done():
		}
	}
}

func (l *Link) accept() {
	framing.AcceptLoop(l.ctx, l.listener, 8, &l.done, func(c net.Conn, greeted func()) {
		if err := l.serve(c, greeted); err != nil && l.ctx.Err() == nil {
			slog.Warn("link: a connection ended", "peer", l.o.PeerSite, "from", c.RemoteAddr().String(), "why", err)
		}
	})
}

// serve brings a connection through the greeting and reads it to its end.
func (l *Link) serve(c net.Conn, greeted func()) (err error) {
	defer c.Close()
	defer func() { l.leave(c) }() // whatever ended it, a failed greeting too
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
			slog.Error("panic in the link", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	c.SetDeadline(time.Now().Add(greeting))
	stop := context.AfterFunc(l.ctx, func() { c.Close() })
	defer stop()
	if l.o.TLS != nil {
		var t *tls.Conn
		if l.listener != nil {
			t = tls.Server(c, l.o.TLS)
		} else {
			t = tls.Client(c, l.o.TLS)
		}
		if err := t.Handshake(); err != nil {
			return fmt.Errorf("the peer's key: %w", err)
		}
		c = t
	}
	k := NewCodec(c)
	if err := k.Greet(); err != nil {
		return err
	}
	number, err := l.greet(c, k)
	if err != nil {
		return err
	}
	greeted()
	c.SetDeadline(time.Time{})
	l.done.Go(func() { l.write(c, k) })
	err = l.read(c, k)
	slog.Warn("link: down", "peer", l.o.PeerSite, "number", number, "why", err)
	return err
}

// leave takes the end of a connection, where it was the one in use.
func (l *Link) leave(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
		l.side.ConnectionLost(l.o.Clock.Now())
		l.carryOut()
	}
	l.work.Broadcast()
}

// greet exchanges Hellos: the one who dialled speaks first and numbers the connection.
func (l *Link) greet(c net.Conn, k *Codec) (number uint64, err error) {
	say := func(n uint64) error {
		l.mu.Lock()
		h := l.side.Hello(l.o.LocalSite, n)
		l.mu.Unlock()
		if err := k.Append(&h); err != nil {
			return err
		}
		return k.Flush()
	}
	var h gateway.Frame
	if l.listener == nil {
		l.mu.Lock()
		l.number++
		number = l.number
		l.mu.Unlock()
		if err := say(number); err != nil {
			return 0, err
		}
	}
	if err := k.Read(&h); err != nil {
		return 0, err
	}
	switch {
	case h.Kind == gateway.FrameReject:
		return 0, fmt.Errorf("refused by the peer: %.200s", h.Reason)
	case h.Site != l.o.PeerSite:
		l.refuse(k, fmt.Sprintf("this is %s, whose peer is %s", l.o.LocalSite, l.o.PeerSite))
		return 0, fmt.Errorf("the peer calls itself %.40q, and %q was expected", h.Site, l.o.PeerSite)
	}
	if l.listener != nil {
		number = h.ConnectionNumber
	}
	l.mu.Lock()
	err = l.side.AcceptHello(l.o.Clock.Now(), &h, number, l.listener == nil)
	var old net.Conn
	if err == nil {
		old, l.conn = l.conn, c // nothing of an older one is taken from here on: see take
		l.carryOut()
	}
	l.mu.Unlock()
	if err != nil {
		l.refuse(k, err.Error())
		return 0, err
	}
	if old != nil {
		old.Close()
	}
	if l.listener != nil {
		if err := say(number); err != nil {
			return 0, err
		}
	}
	slog.Info("link: up", "peer", l.o.PeerSite, "number", number, "epoch", h.Epoch)
	return number, nil
}

func (l *Link) refuse(k *Codec, why string) {
	k.Append(&gateway.Frame{Kind: gateway.FrameReject, Reason: why})
	k.Flush()
}

// read takes frames in until the connection ends.
func (l *Link) read(c net.Conn, k *Codec) error {
	for {
		var f gateway.Frame
		if err := k.Read(&f); err != nil {
			return err
		}
		l.mu.Lock()
		if l.conn != c { // a newer one was greeted: what comes here is void
			l.mu.Unlock()
			return errors.New("a newer connection took its place")
		}
		if err := l.side.Receive(l.o.Clock.Now(), &f); err != nil {
			l.mu.Unlock()
			return fmt.Errorf("the peer makes no sense: %w", err)
		}
		starts := l.carryOut()
		l.mu.Unlock()
		for _, s := range starts {
			l.begin(s)
		}
	}
}

// write sends what the core wants sent, many frames in one write, until its connection is the present one no more.
func (l *Link) write(c net.Conn, k *Codec) {
	for {
		l.mu.Lock()
		for {
			if l.conn != c || l.ctx.Err() != nil {
				l.mu.Unlock()
				return
			}
			if l.gather(k); k.Buffered() > 0 {
				break
			}
			l.work.Wait()
		}
		l.mu.Unlock()
		c.SetWriteDeadline(time.Now().Add(l.o.Settings.PeerTimeout))
		if err := k.Flush(); err != nil {
			c.Close() // the reader ends the link
			return
		}
	}
}

const gathered = 64 << 10 // bytes in one write, about

// gather is called with the lock held.
func (l *Link) gather(k *Codec) {
	for k.Buffered() < gathered {
		f, ok := l.side.NextFrame(l.o.Clock.Now())
		if !ok {
			break
		}
		if f.Kind == gateway.FrameForward {
			s := l.subs[f.ID]
			if s == nil || !s.Begin(func() { l.cut(f.ID, f.AttemptNumber) }) {
				l.side.Withdraw(&f) // the front gave it up before: nothing of it goes out
				delete(l.subs, f.ID)
				continue
			}
		}
		if err := k.Append(&f); err != nil {
			slog.Error("link: a frame could not be written", "kind", f.Kind, "why", err)
		}
	}
	l.carryOut()
}

// cut is the front's word that nobody waits for an attempt any more. It never blocks.
func (l *Link) cut(id uint64, try uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.side.Cancel(id, try)
	delete(l.subs, id)
	l.work.Broadcast()
}

// greeting is how long a peer may take for its first bytes, its keys and its Hello together.
const greeting = 3 * time.Second
