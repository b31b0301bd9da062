package limits

import (
	"sync"
)

// Descriptors keeps the descriptors within their limit. Usual clients hold a third at most: from a quarter on, a
// newcomer ends the connection longest at rest, or those that ask once and stay would use up that third. Where
// none rests, clients may hold three quarters, and a few that are about to close. Connections to members, of which few are
// out at a time, must always find room, so idle clients make way for them too; and as one that was asked to leave holds its
// descriptor until its other side has closed, clients that never do cannot take the members' quarter.
type Descriptors struct {
	shares               DescriptorShares
	mu                   sync.Mutex // guards what follows
	clients, links, peak int
	evictClient          func() bool // asks one to leave
}

// DescriptorShares says how a number of descriptors is shared out.
type DescriptorShares struct {
	Total      int // for clients and servers together
	MaxClients int // beyond this no further client is admitted
	EvictFrom  int // clients from which on an idle one makes way for each further one
	Overshoot  int // how many more there may be for a moment, while others are being closed
}

// SharesOf shares out the process's limit, less a number that is reserved for other purposes.
func SharesOf(limit, reserved int) DescriptorShares {
	total := limit - reserved
	return DescriptorShares{Total: total, MaxClients: total * 3 / 4, EvictFrom: limit / 4, Overshoot: max(2, reserved/4)}
}

// NewDescriptors returns a limiter.
func NewDescriptors(shares DescriptorShares) *Descriptors {
	return &Descriptors{shares: shares, evictClient: func() bool { return false }}
}

// AdmitClient admits a client's connection, AdmitServer one to a member. Where there is no room, an idle one
// must make way; it ends by itself, so for a moment there are too many, but never by more than a few.
func (r *Descriptors) AdmitClient(evict func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients >= r.shares.EvictFrom && !evict() && r.clients >= r.shares.MaxClients || r.clients >= r.shares.MaxClients+r.shares.Overshoot || r.full() {
		return false
	}
	r.clients++
	r.peak = max(r.peak, r.clients+r.links)
	return true
}

func (r *Descriptors) AdmitServer(evict func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients+r.links >= r.shares.Total && !evict() && !r.evictClient() && r.links >= r.shares.Total-r.shares.MaxClients || r.full() {
		return false
	}
	r.links++
	r.peak = max(r.peak, r.clients+r.links)
	return true
}

// OnEvict says who asks an idle client to leave.
func (r *Descriptors) OnEvict(idleClient func() bool) {
	r.mu.Lock()
	r.evictClient = idleClient
	r.mu.Unlock()
}

func (r *Descriptors) full() bool { return r.clients+r.links >= r.shares.Total+r.shares.Overshoot }

func (r *Descriptors) ReleaseClient() { r.mu.Lock(); r.clients--; r.mu.Unlock() }
func (r *Descriptors) ReleaseServer() { r.mu.Lock(); r.links--; r.mu.Unlock() }

// InUse says how many descriptors clients and members take, and the most that they ever took.
func (r *Descriptors) InUse() (clients, links, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clients, r.links, r.peak
}
