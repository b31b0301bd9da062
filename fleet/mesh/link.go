package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// accept serves connections of others until Close.
func (m *Mesh) accept() {
	framing.AcceptLoop(m.ctx, m.listener, maxHandshakes, &m.done, func(c net.Conn, established func()) {
		if err := m.serve(c, "", established); err != nil && m.ctx.Err() == nil {
			slog.Debug("fleet: a link ended", "from", c.RemoteAddr().String(), "why", err)
		}
	})
}

// serve brings a connection through the handshake and reads it to its end; to is the peer that was dialled, "" for an accepted
// connection.
func (m *Mesh) serve(c net.Conn, to string, established func()) (err error) {
	defer c.Close()
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
			slog.Error("panic in the mesh", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	c.SetDeadline(time.Now().Add(m.o.Timing.HandshakeTimeout()))
	stop := context.AfterFunc(m.ctx, func() { c.Close() })
	defer stop()
	secured, mayHaveName, err := m.secure(c, to)
	if err != nil {
		return err
	}
	c = secured
	k := framing.NewCodec[fleet.Message](protocol, &countingConn{Conn: c, m: m})
	if err := k.Greet(); err != nil {
		return err
	}
	hello, err := m.handshake(k, to, mayHaveName)
	if err != nil {
		return err
	}
	l := &link{peer: hello.Hello.Name, conn: c, out: make(chan *fleet.Message, maxQueuedMessages)}
	if attached, err := m.attach(l, hello); !attached {
		return err
	}
	established()
	c.SetDeadline(time.Time{})
	slog.Debug("fleet: linked", "peer", l.peer, "dialled", to != "")
	ctx, stopWriting := context.WithCancel(m.ctx)
	defer stopWriting()
	m.done.Go(func() { m.write(ctx, l, k) })
	err = m.read(l, k)
	m.detach(l)
	slog.Debug("fleet: link down", "peer", l.peer, "why", err)
	return err
}

// secure wraps a connection in TLS where there are keys. mayHaveName reports whether the peer's certificate is for a name.
func (m *Mesh) secure(c net.Conn, to string) (secured net.Conn, mayHaveName func(string) bool, err error) {
	if m.o.Keys == nil {
		return c, func(string) bool { return true }, nil
	}
	config, err := m.o.Keys(to)
	if err != nil {
		return nil, nil, err
	}
	t := tls.Server(c, config)
	if to != "" {
		t = tls.Client(c, config)
	}
	if err := t.Handshake(); err != nil {
		return nil, nil, fmt.Errorf("the peer's key: %w", err)
	}
	return t, func(name string) bool {
		return slices.Contains(t.ConnectionState().PeerCertificates[0].DNSNames, name)
	}, nil
}

// handshake exchanges the first messages, and returns the peer's. The side that dialled speaks first.
func (m *Mesh) handshake(k *framing.Codec[fleet.Message], to string, mayHaveName func(string) bool) (*fleet.Message, error) {
	dialled := to != ""
	if dialled {
		if err := send(k, m.hello(to, true)); err != nil {
			return nil, err
		}
	}
	var h fleet.Message
	if err := k.Read(&h); err != nil {
		return nil, err
	}
	switch {
	case h.Kind == fleet.KindReject:
		return nil, rejection{h.Reason, h.Members}
	case h.Hello != nil && !mayHaveName(h.Hello.Name):
		return nil, m.reject(k, errors.New("its key is for another name"))
	case h.Hello != nil && dialled && h.Hello.Name != to:
		return nil, m.reject(k, fmt.Errorf("it calls itself %.40q, and %q was dialled", h.Hello.Name, to))
	case dialled:
		return &h, nil
	}
	m.mu.Lock()
	err := m.node.CheckHello(m.Now(), &h)
	m.mu.Unlock()
	if err != nil {
		return nil, m.reject(k, err)
	}
	return &h, send(k, m.hello(h.Hello.Name, false))
}

// hello is this front's first message to a peer.
func (m *Mesh) hello(to string, dialled bool) *fleet.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Hello(to, dialled)
}

// reject tells a peer why its link is rejected, and returns the reason.
func (m *Mesh) reject(k *framing.Codec[fleet.Message], why error) error {
	m.count.refused.Add(1)
	m.mu.Lock()
	rejection := m.node.Rejection(why)
	m.mu.Unlock()
	send(k, rejection)
	return why
}

// send writes one message through.
func send(k *framing.Codec[fleet.Message], msg *fleet.Message) error {
	if err := k.Append(msg); err != nil {
		return err
	}
	return k.Flush()
}

// attach adds a link, in place of an older one to the same peer. The node is asked again, since it may have changed its mind
// during the handshake.
func (m *Mesh) attach(l *link, hello *fleet.Message) (attached bool, err error) {
	m.mu.Lock()
	err = m.node.CheckHello(m.Now(), hello)
	if err != nil || m.ended {
		m.mu.Unlock()
		return false, err
	}
	old := m.links[l.peer]
	m.links[l.peer] = l
	m.node.LinkUp(m.Now(), hello)
	m.pump()
	m.mu.Unlock()
	if old != nil {
		old.conn.Close()
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
	if !m.ended {
		m.node.LinkDown(m.Now(), l.peer)
		m.pump()
	}
}

// read hands a link's messages to the node until the link ends.
func (m *Mesh) read(l *link, k *framing.Codec[fleet.Message]) error {
	for {
		var msg fleet.Message
		if err := k.Read(&msg); err != nil {
			return err
		}
		m.count.received.Add(1)
		m.mu.Lock()
		if m.ended || m.links[l.peer] != l {
			m.mu.Unlock()
			return errors.New("a newer link took its place")
		}
		err := m.node.Receive(m.Now(), l.peer, &msg)
		m.pump()
		m.mu.Unlock()
		if err != nil {
			slog.Warn("fleet: a peer makes no sense", "peer", l.peer, "why", err)
			return err
		}
	}
}

// write sends a link's queued messages, many in one write.
func (m *Mesh) write(ctx context.Context, l *link, k *framing.Codec[fleet.Message]) {
	defer l.conn.Close()
	for {
		var msg *fleet.Message
		select {
		case msg = <-l.out:
		case <-ctx.Done():
			return
		}
		for msg != nil {
			l.queuedBytes.Add(-queuedSize(msg))
			before := k.Buffered()
			if err := k.Append(msg); err != nil {
				slog.Error("fleet: a message could not be written", "kind", msg.Kind.String(), "why", err)
			}
			m.count.sent.Add(1)
			if kind := &m.kinds[msg.Kind%mostKinds]; k.Buffered() >= before {
				kind.messages.Add(1)
				kind.bytes.Add(uint64(k.Buffered() - before))
			}
			msg = nil
			if k.Buffered() < maxWriteBytes {
				select {
				case msg = <-l.out:
				default:
				}
			}
		}
		l.conn.SetWriteDeadline(time.Now().Add(m.o.Timing.LinkTimeout()))
		if err := k.Flush(); err != nil {
			return
		}
	}
}

// queuedSize is about how many bytes a queued message takes.
func queuedSize(msg *fleet.Message) int64 { return int64(len(msg.Data) + 64) }

// countingConn counts the bytes that pass.
type countingConn struct {
	net.Conn
	m *Mesh
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.count.gotBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.count.sentBytes.Add(uint64(n))
	return n, err
}
