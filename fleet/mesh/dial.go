package mesh

import (
	"errors"
	"log/slog"
	"net"

	"dapplerouter/fleet"
)

// rejection is a peer's reason to reject a link, and fronts that it suggests instead.
type rejection struct {
	why     string
	instead []fleet.MembershipRecord
}

// Error implements error.
func (r rejection) Error() string { return "refused: " + r.why }

// dial opens a link to a peer, unless that is under way; m.mu must be held.
func (m *Mesh) dial(d fleet.DialTarget) {
	if m.dialling[d.Name] {
		return
	}
	address := d.Address
	if a, ok := m.o.PeerAddresses[d.Name]; ok {
		address = a
	}
	m.dialling[d.Name] = true
	m.count.dials.Add(1)
	m.done.Go(func() {
		dialer := net.Dialer{Timeout: m.o.Timing.HandshakeTimeout()}
		c, err := dialer.DialContext(m.ctx, "tcp", address)
		if err == nil {
			err = m.serve(c, d.Name, func() { m.dialled(d.Name, nil) })
		}
		m.dialled(d.Name, err)
	})
}

// dialled handles the end of a dial: an established link for nil, else why there is none.
func (m *Mesh) dialled(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dialling[name] || m.ended {
		return
	}
	delete(m.dialling, name)
	if err == nil {
		return
	}
	var r rejection
	if errors.As(err, &r) {
		m.count.refused.Add(1)
	}
	slog.Debug("fleet: no link", "peer", name, "why", err)
	m.node.DialFailed(m.Now(), name, r.why, r.instead)
	m.pump()
}
