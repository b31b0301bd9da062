package fleetsim

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// dialTimeout is how long a dial waits for the peer's answer.
const dialTimeout = 500 * time.Millisecond

// Network holds the delays, which are the same for all links, and the directions that are cut.
type Network struct {
	Delay, Jitter time.Duration // one way; each message is delayed by Delay plus a random part of Jitter

	cuts map[[2]string]bool // cut directions, by the names of the sender and the receiver
}

// link is a connection between two hosts. Messages of one direction arrive in the order in which they were sent. In each array,
// index 0 belongs to the host that dialled.
type link struct {
	hosts        [2]*Host
	incarnations [2]int
	open         [2]bool          // whether the link is open, as each end sees it
	lastDelivery [2]time.Duration // when the last message of each sender is delivered
	queued       [2][]func()      // messages of each sender that wait for the end of a cut
}

// side returns the index of a host in the link's arrays.
func (l *link) side(h *Host) int {
	if l.hosts[1] == h {
		return 1
	}
	return 0
}

// Cut cuts one direction between two hosts. Messages in that direction queue until Heal. Dials between the hosts time out.
func (sim *Simulation) Cut(from, to string) {
	sim.trace("cut %s to %s", from, to)
	sim.cuts[[2]string{from, to}] = true
}

// Heal ends all cuts and sends the messages that were queued because of them.
func (sim *Simulation) Heal() {
	sim.trace("healed")
	clear(sim.cuts)
	for _, h := range sim.Hosts {
		for _, name := range slices.Sorted(maps.Keys(h.links)) {
			l := h.links[name]
			for side := range l.queued {
				queued := l.queued[side]
				l.queued[side] = nil
				for _, transmit := range queued {
					transmit()
				}
			}
		}
	}
}

// isCut reports whether the direction between two hosts is cut.
func (n *Network) isCut(from, to *Host) bool { return n.cuts[[2]string{from.Name, to.Name}] }

// linkDelay returns the delay of one message, with a random jitter.
func (sim *Simulation) linkDelay() time.Duration {
	if sim.Jitter <= 0 {
		return sim.Delay
	}
	return sim.Delay + time.Duration(sim.Rand.Int64N(int64(sim.Jitter)))
}

// send schedules deliver at the other end of a link, after the link's delay and after everything sent before. While the direction is
// cut, the delivery is queued. It is dropped if the other end has closed the link or its process has ended.
func (h *Host) send(l *link, deliver func(to *Host, now time.Duration)) {
	sim := h.sim
	from := l.side(h)
	to, incarnation := l.hosts[1-from], l.incarnations[1-from]
	var transmit func()
	transmit = func() {
		if sim.isCut(h, to) {
			l.queued[from] = append(l.queued[from], transmit)
			return
		}
		at := max(sim.Now+sim.linkDelay(), l.lastDelivery[from])
		l.lastDelivery[from] = at
		sim.After(at-sim.Now, func() {
			to.execute(incarnation, func(now time.Duration) {
				if l.open[1-from] && to.links[h.Name] == l {
					deliver(to, now)
				}
			})
		})
	}
	transmit()
}

// closeLink closes a link at this end and notifies the node. The other end closes the link when the notification arrives, which a cut
// delays.
func (h *Host) closeLink(l *link) {
	side := l.side(h)
	if !l.open[side] {
		return
	}
	l.open[side] = false
	peer := l.hosts[1-side]
	if h.links[peer.Name] == l {
		delete(h.links, peer.Name)
		if h.Node != nil {
			h.Node.LinkDown(h.Clock(), peer.Name)
		}
	}
	h.send(l, func(to *Host, _ time.Duration) { to.closeLink(l) })
}

// linkUp registers a new link to a peer and notifies the node. An older link to the same peer is closed first.
func (h *Host) linkUp(l *link, peer *Host, hello *fleet.Message) {
	if old := h.links[peer.Name]; old != nil {
		h.closeLink(old)
	}
	h.links[peer.Name] = l
	h.Node.LinkUp(h.Clock(), hello)
}

// dialWantedLinks dials the peers that the node wants a link to, except those that are being dialled already.
func (h *Host) dialWantedLinks(now time.Duration) {
	sim := h.sim
	var targets []fleet.DialTarget
	h.measureCPU(func() { targets = h.Node.WantedLinks(now) })
	for _, target := range targets {
		to := sim.byName[target.Address]
		if to == nil || h.dialling[to.Name] {
			continue
		}
		h.dialling[to.Name] = true
		d := &dial{from: h, to: to, incarnation: h.incarnation, hello: h.Node.Hello(to.Name, true)}
		d.failAfter(dialTimeout, "", nil)
		sim.After(sim.linkDelay(), d.arrive)
	}
}

// dial is one attempt to open a link. The dialling host sends a hello, and the peer answers with its own hello.
type dial struct {
	from, to    *Host
	incarnation int // the incarnation of from that dials
	hello       *fleet.Message
	finished    bool
}

// failAfter fails the dial after a delay, unless it has finished by then. The reason is the peer's, or empty if the peer did not
// answer. members are the fronts that the peer suggests to dial instead.
func (d *dial) failAfter(delay time.Duration, reason string, members []fleet.MembershipRecord) {
	d.from.sim.After(delay, func() {
		d.from.execute(d.incarnation, func(now time.Duration) {
			if !d.finished {
				d.finish()
				d.from.Node.DialFailed(now, d.to.Name, reason, members)
			}
		})
	})
}

// finish marks the dial as finished, so that the peer may be dialled again.
func (d *dial) finish() {
	d.finished = true
	delete(d.from.dialling, d.to.Name)
}

// arrive handles the arrival of the dial at the peer. The dial times out if either direction is cut or the peer is paused. It fails
// without a reason if the peer's process is down.
func (d *dial) arrive() {
	sim := d.from.sim
	if sim.isCut(d.from, d.to) || sim.isCut(d.to, d.from) || d.to.paused {
		return
	}
	if d.to.Node == nil {
		d.failAfter(sim.linkDelay(), "", nil)
		return
	}
	d.to.execute(d.to.incarnation, d.accept)
}

// accept checks the hello at the peer. It then either rejects the dial or opens the link at the peer's end and answers with a hello.
func (d *dial) accept(now time.Duration) {
	sim := d.from.sim
	if err := d.to.Node.CheckHello(now, d.hello); err != nil {
		d.failAfter(sim.linkDelay(), err.Error(), d.to.Node.Rejection(err).Members)
		return
	}
	reply := d.to.Node.Hello(d.from.Name, false)
	l := &link{hosts: [2]*Host{d.from, d.to}, incarnations: [2]int{d.incarnation, d.to.incarnation}, open: [2]bool{true, true}}
	d.to.linkUp(l, d.from, d.hello)
	at := sim.Now + sim.linkDelay()
	l.lastDelivery[1] = at
	sim.After(at-sim.Now, func() {
		d.from.execute(d.incarnation, func(now time.Duration) { d.complete(now, l, reply) })
	})
}

// complete checks the peer's hello at the dialling host and opens the link at that end. If the dial has failed or the peer has closed
// the link in the meantime, the link is closed.
func (d *dial) complete(now time.Duration, l *link, reply *fleet.Message) {
	if d.finished || !l.open[0] {
		d.from.abandon(l)
		return
	}
	if err := d.from.Node.CheckHello(now, reply); err != nil {
		d.from.abandon(l)
		d.failAfter(0, err.Error(), nil)
		return
	}
	d.finish()
	d.from.linkUp(l, d.to, reply)
}

// abandon closes a link that the dialling host has not registered with linkUp.
func (h *Host) abandon(l *link) {
	l.open[0] = false
	h.send(l, func(to *Host, _ time.Duration) { to.closeLink(l) })
}
