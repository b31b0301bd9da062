package mesh

import (
	"errors"
	"log/slog"
	"net"

	"dapplerouter/fleet"
)

// dial starts to open a link to a peer, unless a dial of that peer is in progress. m.mu must be held.
func (m *Mesh) dial(d fleet.DialTarget) {
	if m.dialling[d.Name] {
		return
	}
	address := d.Address
	if a, ok := m.options.PeerAddresses[d.Name]; ok {
		address = a
	}
	m.dialling[d.Name] = true
	m.counters.dials.Add(1)
	m.goroutines.Go(func() {
		dialer := net.Dialer{Timeout: m.options.Timing.HandshakeTimeout()}
		c, err := dialer.DialContext(m.ctx, "tcp", address)
		if err == nil {
			err = m.serve(c, d.Name, func() { m.dialFinished(d.Name, nil) })
		}
		m.dialFinished(d.Name, err)
	})
}

// dialFinished handles the end of a dial. A nil err means that the link is established. Only the first call for each dial has an effect.
func (m *Mesh) dialFinished(name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dialling[name] || m.closed {
		return
	}
	delete(m.dialling, name)
	if err == nil {
		return
	}
	var rejected rejectedError
	if errors.As(err, &rejected) {
		m.counters.rejected.Add(1)
	}
	slog.Debug("fleet: dial failed", "peer", name, "err", err)
	m.node.DialFailed(m.Now(), name, rejected.reason, rejected.alternatives)
	m.processOutput()
}
