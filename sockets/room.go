// Package sockets is the front's listener, its clients' connections, a pool of connections to each member,
// and its clock. One goroutine serves a connection; none of them decides anything.
package sockets

import (
	"sync"
	"time"
)

// Room keeps the descriptors within their limit. Usual clients hold a third at most: from a quarter on, a
// newcomer ends the connection longest at rest, or those that ask once and stay would use up that third. Where
// none rests, clients may hold three quarters. Links to members, of which few are out at a time, must always
// find room, so idle clients make way for them too.
type Room struct {
	mu                   sync.Mutex
	clients, links, peak int
	mostClients, mostAll int
	share                int         // of clients, beyond which those at rest make way
	closing              int         // how many may be too many for a moment, while others end
	idleClient           func() bool // asks one to leave
}

// NewRoom shares out a limit, less what is needed aside of clients and members.
func NewRoom(limit, aside int) *Room {
	all := limit - aside
	return &Room{mostAll: all, mostClients: all * 3 / 4, share: limit / 4, closing: max(2, aside/4),
		idleClient: func() bool { return false }}
}

// client takes room for a client's connection, link for one to a member. Where there is none, an idle one
// must make way; it ends by itself, so for a moment there are too many, but never by more than a few.
func (r *Room) client(makeWay func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients >= r.share && !makeWay() && r.clients >= r.mostClients || r.full() {
		return false
	}
	r.clients++
	r.peak = max(r.peak, r.clients+r.links)
	return true
}

func (r *Room) link(makeWay func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients+r.links >= r.mostAll && !makeWay() && !r.idleClient() || r.full() {
		return false
	}
	r.links++
	r.peak = max(r.peak, r.clients+r.links)
	return true
}

// spare says who asks an idle client to leave.
func (r *Room) spare(idleClient func() bool) { r.mu.Lock(); r.idleClient = idleClient; r.mu.Unlock() }

func (r *Room) full() bool { return r.clients+r.links >= r.mostAll+r.closing }

func (r *Room) clientLeft() { r.mu.Lock(); r.clients--; r.mu.Unlock() }
func (r *Room) linkLeft()   { r.mu.Lock(); r.links--; r.mu.Unlock() }

// Held says how many descriptors clients and members take, and the most that they ever took.
func (r *Room) Held() (clients, links, peak int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clients, r.links, r.peak
}

// past is a deadline that wakes a blocked read at once.
var past = time.Unix(1, 0)
