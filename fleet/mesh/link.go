package mesh

import (
	"context"
	"errors"
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
	queue       chan *fleet.Message // messages to be written
	queuedBytes atomic.Int64
}

// enqueue queues a message. It returns false if the queue exceeds its bounds, because the peer is too slow.
func (l *link) enqueue(msg *fleet.Message) bool {
	select {
	case l.queue <- msg:
		return l.queuedBytes.Add(queuedSize(msg)) <= maxQueuedBytes
	default:
		return false
	}
}

// close closes the connection, which ends the goroutines of the link. It does not wait for the peer.
func (l *link) close() { _ = l.conn.Close() }

// queuedSize returns the approximate memory, in bytes, that a queued message takes.
func queuedSize(msg *fleet.Message) int64 { return int64(len(msg.Data) + 64) }

// accept serves incoming connections until Close.
func (m *Mesh) accept() {
	framing.AcceptLoop(m.ctx, m.listener, maxHandshakes, &m.goroutines, func(c net.Conn, established func()) {
		if err := m.serve(c, "", established); err != nil && m.ctx.Err() == nil {
			slog.Debug("fleet: accepted connection ended", "from", c.RemoteAddr().String(), "err", err)
		}
	})
}

// serve performs the handshake on a connection and then reads messages until the connection ends. to is the name of the peer that was
// dialled, or "" for an accepted connection. serve calls established once the link is established, and closes the connection.
func (m *Mesh) serve(c net.Conn, to string, established func()) (err error) {
	raw := c
	defer func() { _ = raw.Close() }() // an error has no effect: the connection is not used any more
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
			slog.Error("panic in the mesh", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	_ = c.SetDeadline(time.Now().Add(m.options.Timing.HandshakeTimeout())) // fails only for a closed connection; the next read fails too
	stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })           // not c: it is reassigned below, perhaps while this runs
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
	first, err := m.handshake(k, to, mayHaveName)
	if err != nil {
		return err
	}
	l := &link{conn: c, queue: make(chan *fleet.Message, maxQueuedMessages)}
	defer m.detach(l) // also after a panic
	if err := m.answer(l, k, first, to != ""); err != nil {
		return err
	}
	established()
	_ = c.SetDeadline(time.Time{}) // fails only for a closed connection
	slog.Debug("fleet: link established", "peer", l.peer, "dialled", to != "")
	ctx, stopWriting := context.WithCancel(m.ctx)
	defer stopWriting()
	m.goroutines.Go(func() { m.write(ctx, l, k) })
	err = m.read(l, k)
	slog.Debug("fleet: link ended", "peer", l.peer, "err", err)
	return err
}

// attach asks the node whether to accept the peer that sent the first message, and adds the link to the table of links. It replaces an
// older link to the same peer. It returns this front's hello to the peer, which must be the first message on an accepted link. The
// error is errClosed if the mesh is closed, or the reason to reject the link.
func (m *Mesh) attach(l *link, first *fleet.Message) (hello *fleet.Message, err error) {
	old, hello, err := m.addLink(l, first)
	if old != nil {
		old.close()
	}
	return hello, err
}

// addLink does the part of attach that holds the lock. It returns the older link that the new one replaces, nil for none.
func (m *Mesh) addLink(l *link, first *fleet.Message) (old *link, hello *fleet.Message, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, errClosed
	}
	if err := m.node.CheckHello(m.Now(), first); err != nil {
		return nil, nil, err
	}
	l.peer = first.Hello.Name
	hello = m.node.Hello(l.peer, false)
	old = m.links[l.peer]
	m.links[l.peer] = l
	m.node.LinkUp(m.Now(), first)
	m.processOutput()
	return old, hello, nil
}

// detach removes a link that ended, unless it was not attached or a newer link to the same peer has replaced it.
func (m *Mesh) detach(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] != l {
		return
	}
	delete(m.links, l.peer)
	if !m.closed {
		m.node.LinkDown(m.Now(), l.peer)
		m.processOutput()
	}
}

// read passes the messages of a link to the node until the link ends. The error is errSuperseded, a rejectedError, an error of the
// connection or of the framing, or the node's error for a peer that violates the protocol.
func (m *Mesh) read(l *link, k *codec) error {
	for {
		var msg fleet.Message
		if err := k.Read(&msg); err != nil {
			return err
		}
		m.counters.received.Add(1)
		if msg.Kind == fleet.KindReject { // the peer dialled, and rejects the link after it has received this front's hello
			m.counters.rejected.Add(1)
			return rejectedError{msg.Reason, msg.Members}
		}
		err := m.receive(l, &msg)
		if err != nil && !errors.Is(err, errSuperseded) {
			slog.Warn("fleet: invalid message; link closed", "peer", l.peer, "err", err)
		}
		if err != nil {
			return err
		}
	}
}

// receive passes a message of a link to the node. The error is errSuperseded, or the node's error for a peer that violates the protocol.
func (m *Mesh) receive(l *link, msg *fleet.Message) error {
	m.mu.Lock()
	defer m.mu.Unlock() // also after a panic, which ends only the link
	if m.closed || m.links[l.peer] != l {
		return errSuperseded
	}
	err := m.node.Receive(m.Now(), l.peer, msg)
	m.processOutput()
	return err
}

// write sends the queued messages of a link, and combines several messages into one write, up to about maxWriteBytes.
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
		_ = l.conn.SetWriteDeadline(time.Now().Add(m.options.Timing.LinkTimeout())) // fails only for a closed connection, as the write will
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
