// Package sockets is the front's listener, its clients' connections, a pool of connections to each member,
// and its clock. One goroutine serves a connection; none of them decides anything.
package sockets

import (
	"sync"
	"sync/atomic"
	"time"
)

// Descriptors keeps the descriptors within their limit. Usual clients hold a third at most: from a quarter on, a
// newcomer ends the connection longest at rest, or those that ask once and stay would use up that third. Where
// none rests, clients may hold three quarters, and a few that are about to close. Connections to members, of which few are
// out at a time, must always find room, so idle clients make way for them too; and as one that was asked to leave holds its
// descriptor until its other side has closed, clients that never do cannot take the members' quarter.
type Descriptors struct {
	mu                   sync.Mutex
	clients, links, peak int
	mostClients, mostAll int
	share                int         // of clients, beyond which those at rest make way
	closing              int         // how many may be too many for a moment, while others end
	evictClient          func() bool // asks one to leave
}

// NewDescriptors shares out a limit, less what is needed aside of clients and members.
func NewDescriptors(limit, aside int) *Descriptors {
	all := limit - aside
	return &Descriptors{mostAll: all, mostClients: all * 3 / 4, share: limit / 4, closing: max(2, aside/4),
		evictClient: func() bool { return false }}
}

// admitClient admits a client's connection, admitMember one to a member. Where there is no room, an idle one
// must make way; it ends by itself, so for a moment there are too many, but never by more than a few.
func (r *Descriptors) admitClient(evict func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients >= r.share && !evict() && r.clients >= r.mostClients || r.clients >= r.mostClients+r.closing || r.full() {
		return false
	}
	r.clients++
	r.peak = max(r.peak, r.clients+r.links)
	return true
}

func (r *Descriptors) admitMember(evict func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients+r.links >= r.mostAll && !evict() && !r.evictClient() && r.links >= r.mostAll-r.mostClients || r.full() {
		return false
	}
	r.links++
	r.peak = max(r.peak, r.clients+r.links)
	return true
}

// onEvict says who asks an idle client to leave.
func (r *Descriptors) onEvict(idleClient func() bool) {
	r.mu.Lock()
	r.evictClient = idleClient
	r.mu.Unlock()
}

func (r *Descriptors) full() bool { return r.clients+r.links >= r.mostAll+r.closing }

func (r *Descriptors) releaseClient() { r.mu.Lock(); r.clients--; r.mu.Unlock() }
func (r *Descriptors) releaseMember() { r.mu.Lock(); r.links--; r.mu.Unlock() }

// InUse says how many descriptors clients and members take, and the most that they ever took.
func (r *Descriptors) InUse() (clients, links, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clients, r.links, r.peak
}

// longPart is the part of the memory that clients' long messages may hold together, and that members' may.
const longPart = 8

// bodies shares it out: a flood of long messages must not end the front.
type bodies struct {
	held atomic.Int64
	most int64
}

// reserve takes room, or gives it back by a number below 0, and says whether there was some.
func (b *bodies) reserve(bytes int) bool {
	if b.held.Add(int64(bytes)) > b.most && bytes > 0 {
		b.held.Add(-int64(bytes))
		return false
	}
	return true
}

// past is a deadline that wakes a blocked read at once.
var past = time.Unix(1, 0)
