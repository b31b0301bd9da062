// Package limits keeps a process within its limits of file descriptors and memory. Client and server connections share
// both. Each side has a reserved part, so that a flood on one side can't take the other side's part.
package limits

import "sync"

// DescriptorShares divides a number of file descriptors between clients and server connections.
type DescriptorShares struct {
	Total      int // for clients and server connections together
	MaxClients int // limit above which no more clients are admitted
	EvictFrom  int // number of clients from which each new client evicts an idle one
	Overshoot  int // how far the limits may be exceeded briefly while other connections are being closed
}

// NewDescriptorShares divides the process's descriptor limit, less a number reserved for other purposes. In ordinary use,
// clients hold at most a third. From a quarter of the limit on, each new client evicts the client that has been idle
// longest, since clients that send one request and stay connected would otherwise use up that third. If no client is
// idle, clients may hold three quarters.
func NewDescriptorShares(limit, reserved int) DescriptorShares {
	total := limit - reserved
	return DescriptorShares{Total: total, MaxClients: total * 3 / 4, EvictFrom: limit / 4, Overshoot: max(2, reserved/4)}
}

// Descriptors admits connections while descriptors are free. Connections to servers must always be admitted, and few of
// them are in use at a time, so idle clients are evicted for them too. An evicted client holds its descriptor until its
// peer has closed the connection. Clients that never close could therefore fill the quarter reserved for servers, so
// they may exceed their share only by Overshoot.
type Descriptors struct {
	shares DescriptorShares

	mu                     sync.Mutex // guards the fields below; held while an eviction is requested
	clients, servers, peak int
	evictClient            func() bool
}

// NewDescriptors returns a limiter without connections.
func NewDescriptors(shares DescriptorShares) *Descriptors {
	return &Descriptors{shares: shares, evictClient: func() bool { return false }}
}

// SetEvictClient sets the function that closes an idle client's connection. evict must start the close without blocking, and
// return false if no client is idle.
func (d *Descriptors) SetEvictClient(evict func() bool) {
	d.mu.Lock()
	d.evictClient = evict
	d.mu.Unlock()
}

// AdmitClient reports whether a client's connection is admitted. From EvictFrom clients on, it calls evict to close an
// idle client. Since closing takes a moment, the limit may be exceeded, but never by more than Overshoot. The caller
// must call ReleaseClient for each admitted connection.
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

// AdmitServer reports whether a connection to a server is admitted. At the limit, it calls evict to close an idle
// connection to a server. If evict returns false, it evicts an idle client. The caller must call ReleaseServer for each
// admitted connection.
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

// full reports whether clients and servers together hold Total plus Overshoot descriptors. Then no connection of either
// kind is admitted. d.mu must be held.
func (d *Descriptors) full() bool { return d.clients+d.servers >= d.shares.Total+d.shares.Overshoot }

// ReleaseClient releases the descriptor of a client's closed connection.
func (d *Descriptors) ReleaseClient() {
	d.mu.Lock()
	d.clients--
	d.mu.Unlock()
}

// ReleaseServer releases the descriptor of a closed connection to a server.
func (d *Descriptors) ReleaseServer() {
	d.mu.Lock()
	d.servers--
	d.mu.Unlock()
}

// InUse returns the numbers of connections from clients and to servers, and the maximum of their sum so far.
func (d *Descriptors) InUse() (clients, servers, peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clients, d.servers, d.peak
}
