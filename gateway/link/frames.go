package link

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"dapplerouter/gateway"
)

// This file reads and writes the frames of the current connection.

const writeBatch = 64 << 10 // bytes after which no more frames are added to one write

// readFrames passes frames to the endpoint and starts the peer's requests, until the connection ends or is replaced. It returns the
// reason.
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

// receive passes a frame to the endpoint and returns the requests and cancellations of the peer that result. A frame of a
// connection that was replaced is discarded; the error is ErrConnectionReplaced.
func (l *Link) receive(c net.Conn, f *gateway.Frame) ([]gateway.PeerRequest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c {
		return nil, ErrConnectionReplaced
	}
	if err := l.endpoint.Receive(l.opts.Clock.Now(), f); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	requests := l.collectOutcomes()
	l.expectExecutions(requests)
	return requests, nil
}

// writeFrames writes the frames of the endpoint in batches, as long as the connection is the current one.
func (l *Link) writeFrames(c net.Conn, k *Codec) {
	for l.awaitFrames(c, k) {
		_ = c.SetWriteDeadline(time.Now().Add(l.opts.Settings.PeerTimeout)) // fails only on a closed connection; then Flush fails too
		if err := k.Flush(); err != nil {
			_ = c.Close() // then the reader returns and ends the connection
			return
		}
	}
}

// awaitFrames waits until there are frames to be written and encodes them. It returns false if the connection is no longer the
// current one or the link is closed.
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

// encodeFrames encodes the next batch of frames. The caller must hold the mutex.
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

// beginAttempt tells the front that the attempt of a FrameForward is being sent. It returns false if the front has canceled the
// attempt already; then the frame must not be sent.
func (l *Link) beginAttempt(f *gateway.Frame) bool {
	key := attemptKey{f.ID, f.AttemptNumber}
	a := l.attempts[key]
	if a != nil && a.Begin(func() { l.cancelAttempt(key) }) {
		return true
	}
	l.endpoint.Withdraw(f)
	delete(l.attempts, key)
	return false
}
