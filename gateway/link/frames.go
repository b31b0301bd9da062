package link

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"dapplerouter/gateway"
)

// Reading and writing the frames of the present connection.

const writeBatch = 64 << 10 // bytes in one write, about

// readFrames passes frames to the endpoint until the connection ends or is replaced.
func (l *Link) readFrames(c net.Conn, k *Codec) error {
	for {
		var f gateway.Frame
		if err := k.Read(&f); err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		requests, err := l.receive(c, &f)
		if err != nil {
			return err
		}
		for _, r := range requests {
			l.execute(r)
		}
	}
}

// receive passes a frame to the endpoint and returns what the peer wants executed or canceled. A frame of a connection
// that was replaced is void.
func (l *Link) receive(c net.Conn, f *gateway.Frame) ([]gateway.PeerRequest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c {
		return nil, ErrConnectionReplaced
	}
	if err := l.endpoint.Receive(l.opts.Clock.Now(), f); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	return l.collectOutcomes(), nil
}

// writeFrames writes the frames of the endpoint, many in one write, as long as the connection is the present one.
func (l *Link) writeFrames(c net.Conn, k *Codec) {
	for l.awaitFrames(c, k) {
		_ = c.SetWriteDeadline(time.Now().Add(l.opts.Settings.PeerTimeout)) // fails on a closed connection alone, as does Flush
		if err := k.Flush(); err != nil {
			_ = c.Close() // the reader ends the connection
			return
		}
	}
}

// awaitFrames waits until there are frames to be written and encodes them; false where the connection is the present one
// no more.
func (l *Link) awaitFrames(c net.Conn, k *Codec) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.conn == c && l.ctx.Err() == nil {
		if l.encodeFrames(k); k.Buffered() > 0 {
			return true
		}
		l.changed.Wait()
	}
	return false
}

// encodeFrames encodes frames up to a batch. The mutex is held.
func (l *Link) encodeFrames(k *Codec) {
	for k.Buffered() < writeBatch {
		f, ok := l.endpoint.NextFrame(l.opts.Clock.Now())
		if !ok {
			break
		}
		if f.Kind == gateway.FrameForward && !l.beginAttempt(&f) {
			continue
		}
		if err := k.Append(&f); err != nil {
			slog.Error("link: frame not encoded", "kind", f.Kind, "err", err)
		}
	}
	l.collectOutcomes()
}

// beginAttempt notifies the front that an attempt is being sent; false where the front canceled it before, so that nothing of it
// may be sent.
func (l *Link) beginAttempt(f *gateway.Frame) bool {
	id, number := f.ID, f.AttemptNumber
	a := l.attempts[id]
	if a != nil && a.Begin(func() { l.cancelAttempt(id, number) }) {
		return true
	}
	l.endpoint.Withdraw(f)
	delete(l.attempts, id)
	return false
}
