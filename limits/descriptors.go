// Package limits keeps a process within its descriptors and its memory: clients and server connections share both, so that a flood
// at one side leaves the other its part.
package limits

import "sync"

// DescriptorShares says how a number of descriptors is shared out.
type DescriptorShares struct {
	Total      int // for clients and server connections together
	MaxClients int // beyond this no further client is admitted
	EvictFrom  int // clients from which on an idle one makes way for each further one
	Overshoot  int // how many more there may be for a moment, while others are being closed
}

// SharesOf shares out the process's limit, less a number that is reserved for other purposes. Usual clients hold a third at most:
// from a quarter on, a new client evicts the one longest idle, or those that ask once and stay would use up that third. Where none is
// idle, clients may hold three quarters.
func SharesOf(limit, reserved int) DescriptorShares {
	total := limit - reserved
	return DescriptorShares{Total: total, MaxClients: total * 3 / 4, EvictFrom: limit / 4, Overshoot: max(2, reserved/4)}
}

// Descriptors admits connections as long as descriptors are free. Server connections, of which few are in use at a time, must always
// be admitted, so idle clients make way for them too. An evicted client holds its descriptor until its other side has closed, so
// clients that never close could fill the servers' quarter: they may exceed their share only by Overshoot.
type Descriptors struct {
	shares DescriptorShares

	mu                     sync.Mutex // guards what follows; it is held while an eviction is asked for
	clients, servers, peak int
	evictClient            func() bool
}

// NewDescriptors returns a limiter without connections.
func NewDescriptors(shares DescriptorShares) *Descriptors {
	return &Descriptors{shares: shares, evictClient: func() bool { return false }}
}

// OnEvict sets how an idle client's connection is closed: evict begins it without blocking, and returns false where none is idle.
func (d *Descriptors) OnEvict(evict func() bool) {
	d.mu.Lock()
	d.evictClient = evict
	d.mu.Unlock()
}

// AdmitClient admits a client's connection, or returns false. Beyond the limit it asks evict to close an idle one; that takes
// a moment, during which there are too many, but never by more than the overshoot. The caller owes a ReleaseClient.
func (d *Descriptors) AdmitClient(evict func() bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clients >= d.shares.EvictFrom && !evict() && d.clients >= d.shares.MaxClients ||
		d.clients >= d.shares.MaxClients+d.shares.Overshoot || d.full() {
		return false
	}
	d.clients++
	d.peak = max(d.peak, d.clients+d.servers)
	return true
}

// AdmitServer admits a connection to a server, or returns false. Beyond the limit it asks evict to close an idle connection to a
// server, and then an idle client. The caller owes a ReleaseServer.
func (d *Descriptors) AdmitServer(evict func() bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clients+d.servers >= d.shares.Total && !evict() && !d.evictClient() && d.servers >= d.shares.Total-d.shares.MaxClients || d.full() {
		return false
	}
	d.servers++
	d.peak = max(d.peak, d.clients+d.servers)
	return true
}

// full reports whether no further connection fits, of either side; d.mu must be held.
func (d *Descriptors) full() bool { return d.clients+d.servers >= d.shares.Total+d.shares.Overshoot }

// ReleaseClient gives back the descriptor of a client's connection that is closed.
func (d *Descriptors) ReleaseClient() {
	d.mu.Lock()
	d.clients--
	d.mu.Unlock()
}

// ReleaseServer gives back the descriptor of a connection to a server that is closed.
func (d *Descriptors) ReleaseServer() {
	d.mu.Lock()
	d.servers--
	d.mu.Unlock()
}

// InUse returns how many connections of clients and to servers there are, and the most that there ever were together.
func (d *Descriptors) InUse() (clients, servers, peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clients, d.servers, d.peak
}
