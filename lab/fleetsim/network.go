package fleetsim

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// dialTimeout is how long a dial waits for the peer.
const dialTimeout = 500 * time.Millisecond

// Network is the delay of every link and the directions that are cut.
type Network struct {
	Delay, Jitter time.Duration // one way; the jitter is drawn for each message

	cuts map[[2]string]bool // from, to
}

// link is a connection between two hosts; messages keep their order each way. Index 0 is the host that dialled.
type link struct {
	hosts        [2]*Host
	incarnations [2]int
	open         [2]bool // as each end sees it
	lastDelivery [2]time.Duration
	queued       [2][]func() // behind a cut, by sender
}

// side returns a host's index.
func (l *link) side(h *Host) int {
	if l.hosts[1] == h {
		return 1
	}
	return 0
}

// Cut cuts one direction between two hosts: messages queue until Heal, dials fail.
func (sim *Simulation) Cut(from, to string) {
	sim.trace("cut %s to %s", from, to)
	sim.cuts[[2]string{from, to}] = true
}

// Heal ends all cuts and sends what has queued behind them.
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

// linkDelay draws the delay of one message.
func (sim *Simulation) linkDelay() time.Duration {
	if sim.Jitter <= 0 {
		return sim.Delay
	}
	return sim.Delay + time.Duration(sim.Rand.Int64N(int64(sim.Jitter)))
}

// send delivers something over a link, in order; behind a cut it queues.
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

// closeLink closes a link at this end; the other end sees that unless the direction is cut.
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

// linkUp puts a link to use; it replaces an older one to the same peer.
func (h *Host) linkUp(l *link, peer *Host, hello *fleet.Message) {
	if old := h.links[peer.Name]; old != nil {
		h.closeLink(old)
	}
	h.links[peer.Name] = l
	h.Node.LinkUp(h.Clock(), hello)
}

// dialWantedLinks dials the peers that the node wants a link to and that aren't being dialled.
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

// dial is one attempt to open a link: a hello to the peer, and the peer's hello back.
type dial struct {
	from, to    *Host
	incarnation int // of from
	hello       *fleet.Message
	finished    bool
}

// failAfter fails the dial after a delay, unless it has finished by then. members are whom to dial instead.
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

func (d *dial) finish() {
	d.finished = true
	delete(d.from.dialling, d.to.Name)
}

// arrive is the dial's arrival at the peer; behind a cut, or at a paused peer, it times out.
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

// accept checks the hello at the peer, and answers it.
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

// complete checks the peer's hello at the host that dialled.
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

// abandon closes a link that this host never used.
func (h *Host) abandon(l *link) {
	l.open[0] = false
	h.send(l, func(to *Host, _ time.Duration) { to.closeLink(l) })
}
