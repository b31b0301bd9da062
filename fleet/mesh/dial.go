package mesh

import (
	"errors"
	"log/slog"
	"net"

	"dapplerouter/fleet"
)

// dialAttempt is an attempt to open a link to a peer. It lasts until the link is established or the attempt has failed.
type dialAttempt struct {
	mesh *Mesh
	peer string
}

// dial starts to open a link to a peer, unless a dial of that peer is in progress. m.mu must be held.
func (m *Mesh) dial(d fleet.DialTarget) {
	if m.dialling[d.Name] != nil {
		return
	}
	address := d.Address
	if a, ok := m.options.PeerAddresses[d.Name]; ok {
		address = a
	}
	attempt := &dialAttempt{m, d.Name}
	m.dialling[d.Name] = attempt
	m.counters.dials.Add(1)
	m.goroutines.Go(func() {
		dialer := net.Dialer{Timeout: m.options.Timing.HandshakeTimeout()}
		c, err := dialer.DialContext(m.ctx, "tcp", address)
		if err == nil {
			err = m.serve(c, d.Name, func() { attempt.finish(nil) })
		}
		attempt.finish(err)
	})
}

// finish handles the end of an attempt. A nil err means that the link is established. Only the first call for each attempt has an effect,
// so the end of an established link is no failure of its attempt, nor of a newer one to the same peer.
func (a *dialAttempt) finish(err error) {
	m := a.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialling[a.peer] != a || m.closed {
		return
	}
	delete(m.dialling, a.peer)
	if err == nil {
		return
	}
	var rejected rejectedError
	if errors.As(err, &rejected) {
		m.counters.rejected.Add(1)
	}
	slog.Debug("fleet: dial failed", "peer", a.peer, "err", err)
	m.node.DialFailed(m.Now(), a.peer, rejected.reason, rejected.alternatives)
	m.processOutput()
}
