package mesh

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// codec encodes and decodes the messages of a link.
type codec = framing.Codec[fleet.Message]

// nameCheck reports whether a peer may use a name.
type nameCheck func(name string) bool

// secure wraps a connection in TLS if the mesh has keys. to is the name of the peer that was dialled, or "" for an accepted connection.
// mayHaveName reports whether the peer's certificate is valid for a name; without keys every name is accepted.
func (m *Mesh) secure(c net.Conn, to string) (secured net.Conn, mayHaveName nameCheck, err error) {
	if m.options.Keys == nil {
		return c, func(string) bool { return true }, nil
	}
	config, err := m.options.Keys(to)
	if err != nil {
		return nil, nil, err
	}
	t := framing.TLSConn{Conn: tls.Server(c, config)}
	if to != "" {
		t.Conn = tls.Client(c, config)
	}
	if err := t.Handshake(); err != nil {
		return nil, nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return t, func(name string) bool {
		return slices.Contains(t.ConnectionState().PeerCertificates[0].DNSNames, name)
	}, nil
}

// handshake returns the peer's first message, after this front's own on a link that it dialled. to is the name of the peer that was
// dialled, or "" for an accepted connection, whose peer is answered by answer. If the peer rejects the link, the error is a
// rejectedError. If this front rejects the link, the error is the reason. Any other error is one of the connection or of the framing.
func (m *Mesh) handshake(k *codec, to string, mayHaveName nameCheck) (*fleet.Message, error) {
	dialled := to != ""
	if dialled {
		if err := send(k, m.hello(to, true)); err != nil {
			return nil, err
		}
	}
	var first fleet.Message
	if err := k.Read(&first); err != nil {
		return nil, err
	}
	switch {
	case first.Kind == fleet.KindReject:
		return nil, rejectedError{first.Reason, first.Members}
	case first.Hello != nil && !mayHaveName(first.Hello.Name):
		return nil, m.reject(k, errCertificateName)
	case first.Hello != nil && dialled && first.Hello.Name != to:
		return nil, m.reject(k, peerNameError{first.Hello.Name, to})
	}
	return &first, nil
}

// answer attaches a link, or rejects it with the reason for which it is not attached. On an accepted connection it then sends this
// front's hello. So a peer that receives a hello is attached. After an error the caller must detach the link.
func (m *Mesh) answer(l *link, k *codec, first *fleet.Message, dialled bool) error {
	hello, err := m.attach(l, first)
	switch {
	case errors.Is(err, errClosed):
		return err
	case err != nil:
		return m.reject(k, err)
	case dialled:
		return nil
	}
	return send(k, hello)
}

// hello returns this front's first message to a peer; to is the peer's name.
func (m *Mesh) hello(to string, dialled bool) *fleet.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Hello(to, dialled)
}

// reject sends the reason for which a link is rejected to the peer, and returns that reason.
func (m *Mesh) reject(k *codec, reason error) error {
	m.counters.rejected.Add(1)
	m.mu.Lock()
	rejection := m.node.Rejection(reason)
	m.mu.Unlock()
	_ = send(k, rejection) // the connection is closed after an error too
	return reason
}

// send writes one message and flushes it.
func send(k *codec, msg *fleet.Message) error {
	if err := k.Append(msg); err != nil {
		return err
	}
	return k.Flush()
}
