package fleetsim

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// Connections between hosts, cuts and delays.

// conn is a link; messages keep their order each way.
type conn struct {
	id   int
	ends [2]*Host
	turn [2]int
	open [2]bool // as each end sees it
	last [2]time.Duration
	held [2][]func() // behind a cut
}

// Cut cuts one way; Heal mends all.
func (w *World) Cut(from, to string) {
	w.trace("cut %s to %s", from, to)
	w.cut[[2]string{from, to}] = true
}

func (w *World) Heal() {
	w.trace("healed")
	clear(w.cut)
	for _, h := range w.Hosts {
		for _, n := range slices.Sorted(maps.Keys(h.conns)) {
			c := h.conns[n]
			for way := range 2 {
				held := c.held[way]
				c.held[way] = nil
				for _, call := range held {
					call()
				}
			}
		}
	}
}

func (w *World) way() time.Duration {
	if w.Jitter <= 0 {
		return w.Delay
	}
	return w.Delay + time.Duration(w.Rnd.Int64N(int64(w.Jitter)))
}

// carry takes something over a link in order; it waits behind a cut.
func (h *Host) carry(c *conn, call func(to *Host, now time.Duration)) {
	w := h.w
	way := 0
	if c.ends[1] == h {
		way = 1
	}
	to, turn := c.ends[1-way], c.turn[1-way]
	var go1 func()
	go1 = func() {
		if w.cut[[2]string{h.Name, to.Name}] {
			c.held[way] = append(c.held[way], go1)
			return
		}
		at := max(w.Now+w.way(), c.last[way])
		c.last[way] = at
		w.After(at-w.Now, func() {
			to.do(turn, func(now time.Duration) {
				if c.open[1-way] && to.conns[h.Name] == c {
					call(to, now)
				}
			})
		})
	}
	go1()
}

// close ends a link at this end; the other hears of it unless the way there is cut.
func (h *Host) close(c *conn) {
	way := 0
	if c.ends[1] == h {
		way = 1
	}
	if !c.open[way] {
		return
	}
	c.open[way] = false
	to := c.ends[1-way]
	if h.conns[to.Name] == c {
		delete(h.conns, to.Name)
		if h.Node != nil {
			h.Node.LinkDown(h.Clock(), to.Name)
		}
	}
	h.carry(c, func(to *Host, now time.Duration) { to.close(c) })
}

func (h *Host) linked(c *conn, peer *Host, m *fleet.Message) {
	if old := h.conns[peer.Name]; old != nil {
		h.close(old)
	}
	h.conns[peer.Name] = c
	h.Node.LinkUp(h.Clock(), m)
}

// dial makes the links that the node wants and doesn't have.
func (h *Host) dial(now time.Duration) {
	w := h.w
	var wanted []fleet.DialTarget
	h.metered(func() { wanted = h.Node.WantedLinks(now) })
	for _, d := range wanted {
		to := w.byName[d.Address]
		if to == nil || h.dialling[to.Name] {
			continue
		}
		h.dialling[to.Name] = true
		turn, hello := h.turn, h.Node.Hello(to.Name, true)
		ended := false
		end := func(after time.Duration, why string, instead []fleet.MembershipRecord) {
			w.After(after, func() {
				h.do(turn, func(now time.Duration) {
					if !ended {
						ended = true
						delete(h.dialling, to.Name)
						h.Node.DialFailed(now, to.Name, why, instead)
					}
				})
			})
		}
		end(500*time.Millisecond, "", nil)
		w.After(w.way(), func() {
			if w.cut[[2]string{h.Name, to.Name}] || w.cut[[2]string{to.Name, h.Name}] || to.stopped {
				return
			}
			if to.Node == nil {
				end(w.way(), "", nil)
				return
			}
			to.do(to.turn, func(now time.Duration) {
				if err := to.Node.CheckHello(now, hello); err != nil {
					end(w.way(), err.Error(), to.Node.Rejection(err).Members)
					return
				}
				back := to.Node.Hello(h.Name, false)
				w.conns++
				c := &conn{id: w.conns, ends: [2]*Host{h, to}, turn: [2]int{turn, to.turn}, open: [2]bool{true, true}}
				to.linked(c, h, hello)
				at := w.Now + w.way()
				c.last[1] = at
				w.After(at-w.Now, func() {
					h.do(turn, func(now time.Duration) {
						if ended || !c.open[0] {
							h.shut(c)
							return
						}
						if err := h.Node.CheckHello(now, back); err != nil {
							h.shut(c)
							end(0, err.Error(), nil)
							return
						}
						ended = true
						delete(h.dialling, to.Name)
						h.linked(c, to, back)
					})
				})
			})
		})
	}
}

// shut ends a link that was never in use here.
func (h *Host) shut(c *conn) {
	c.open[0] = false
	h.carry(c, func(to *Host, now time.Duration) { to.close(c) })
}
