package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// link is an established connection to a peer.
type link struct {
	peer        string
	conn        net.Conn
	queue       chan *fleet.Message // to be written
	queuedBytes atomic.Int64
}

// enqueue queues a message; it reports whether the peer keeps up.
func (l *link) enqueue(msg *fleet.Message) bool {
	select {
	case l.queue <- msg:
		return l.queuedBytes.Add(queuedSize(msg)) <= maxQueuedBytes
	default:
		return false
	}
}

// close ends the link: its goroutines find the connection closed.
func (l *link) close() { _ = l.conn.Close() }

// queuedSize is about how many bytes a queued message takes.
func queuedSize(msg *fleet.Message) int64 { return int64(len(msg.Data) + 64) }

// accept serves connections of others until Close.
func (m *Mesh) accept() {
	framing.AcceptLoop(m.ctx, m.listener, maxHandshakes, &m.goroutines, func(c net.Conn, established func()) {
		if err := m.serve(c, "", established); err != nil && m.ctx.Err() == nil {
			slog.Debug("fleet: accepted connection ended", "from", c.RemoteAddr().String(), "err", err)
		}
	})
}

// serve brings a connection through the handshake and reads it to its end; to is the peer that was dialled, "" for an accepted
// connection. established is called once the link is.
func (m *Mesh) serve(c net.Conn, to string, established func()) (err error) {
	raw := c
	defer func() { _ = raw.Close() }() // it has ended
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
			slog.Error("panic in the mesh", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	_ = c.SetDeadline(time.Now().Add(m.options.Timing.HandshakeTimeout())) // fails for a closed connection, as the next read will
	stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })           // c changes below, in another goroutine than this call's
	defer stop()
	secured, mayHaveName, err := m.secure(c, to)
	if err != nil {
		return err
	}
	c = secured
	k := framing.NewCodec[fleet.Message](protocol, &countingConn{Conn: c, counters: &m.counters})
	if err := k.Greet(); err != nil {
		return err
	}
	hello, err := m.handshake(k, to, mayHaveName)
	if err != nil {
		return err
	}
	l := &link{peer: hello.Hello.Name, conn: c, queue: make(chan *fleet.Message, maxQueuedMessages)}
	if attached, err := m.attach(l, hello); !attached {
		return err
	}
	established()
	_ = c.SetDeadline(time.Time{}) // as above
	slog.Debug("fleet: link established", "peer", l.peer, "dialled", to != "")
	ctx, stopWriting := context.WithCancel(m.ctx)
	defer stopWriting()
	m.goroutines.Go(func() { m.write(ctx, l, k) })
	err = m.read(l, k)
	m.detach(l)
	slog.Debug("fleet: link ended", "peer", l.peer, "err", err)
	return err
}

// attach adds a link, in place of an older one to the same peer. The node is asked again, since it may decide otherwise than at the
// handshake.
func (m *Mesh) attach(l *link, hello *fleet.Message) (attached bool, err error) {
	m.mu.Lock()
	err = m.node.CheckHello(m.Now(), hello)
	if err != nil || m.closed {
		m.mu.Unlock()
		return false, err
	}
	old := m.links[l.peer]
	m.links[l.peer] = l
	m.node.LinkUp(m.Now(), hello)
	m.pump()
	m.mu.Unlock()
	if old != nil {
		old.close()
	}
	return true, nil
}

// detach removes a link that ended, unless a newer one to the same peer took its place.
func (m *Mesh) detach(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] != l {
		return
	}
	delete(m.links, l.peer)
	if !m.closed {
		m.node.LinkDown(m.Now(), l.peer)
		m.pump()
	}
}

// read hands a link's messages to the node until the link ends. The error is why: errSuperseded, an error of the connection or of the
// frames, or the node's for a peer that violates the protocol.
func (m *Mesh) read(l *link, k *codec) error {
	for {
		var msg fleet.Message
		if err := k.Read(&msg); err != nil {
			return err
		}
		m.counters.received.Add(1)
		m.mu.Lock()
		if m.closed || m.links[l.peer] != l {
			m.mu.Unlock()
			return errSuperseded
		}
		err := m.node.Receive(m.Now(), l.peer, &msg)
		m.pump()
		m.mu.Unlock()
		if err != nil {
			slog.Warn("fleet: invalid message; link closed", "peer", l.peer, "err", err)
			return err
		}
	}
}

// write sends a link's queued messages, as many as there are in one write.
func (m *Mesh) write(ctx context.Context, l *link, k *codec) {
	defer l.close()
	for {
		var msg *fleet.Message
		select {
		case msg = <-l.queue:
		case <-ctx.Done():
			return
		}
		for msg != nil {
			m.encode(l, k, msg)
			msg = nil
			if k.Buffered() < maxWriteBytes {
				select {
				case msg = <-l.queue:
				default:
				}
			}
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(m.options.Timing.LinkTimeout())) // fails for a closed connection, as the write will
		if err := k.Flush(); err != nil {
			return
		}
	}
}

// encode adds a message to the link's next write.
func (m *Mesh) encode(l *link, k *codec, msg *fleet.Message) {
	l.queuedBytes.Add(-queuedSize(msg))
	before := k.Buffered()
	if err := k.Append(msg); err != nil {
		slog.Error("fleet: message not encoded", "kind", msg.Kind.String(), "err", err)
	}
	m.counters.countSent(msg.Kind, k.Buffered()-before)
}
