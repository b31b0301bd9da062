package fleetsim

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// A host with one node, its clock and its faults.

// Host is a machine with one front on it.
type Host struct {
	Name      string
	Zone      string
	Node      *fleet.Node // nil while it is down
	Pace      float64     // of its clock, 1 for true
	Disk      *Disk       // nil for a follower
	Joins     bool
	Unwilling bool          // to take duties
	Right     time.Duration // of its node, where versions are published
	Bare      bool          // without a fleet: the machine has a clock, stops and crashes, and no node
	Bytes     int64         // sent, as they would be on the wire, where the world weighs them
	Sent      int64
	CPU       time.Duration // that its node's own calls took, where the world meters them
	Events    []fleet.Event // since the process started

	w        *World
	up       bool
	born     time.Duration
	turn     int // of the process
	stopped  bool
	inbox    []func()
	conns    map[string]*conn
	dialling map[string]bool
	terms    map[string]uint64 // of the acts that it accepted
	index    uint64
}

// Start starts a machine's front, on its clock, with its disk.
func (h *Host) Start() {
	w := h.w
	h.turn++
	h.born = w.Now - time.Duration(w.Rnd.Int64N(int64(time.Hour)))
	h.stopped, h.inbox, h.conns, h.dialling, h.terms, h.Events = false, nil, map[string]*conn{}, map[string]bool{}, map[string]uint64{}, nil
	h.index = 0
	o := fleet.Options{Fleet: "sim", Name: h.Name, Incarnation: w.Rnd.Uint64()>>24 | 1, Zone: h.Zone, Address: h.Name, Version: "sim",
		InitialVoters: w.voters, JoinsExistingFleet: h.Joins, Timing: w.Pace, Seed: w.Rnd.Uint64(), AcceptsLeases: !h.Unwilling, ConfigLease: h.Right}
	h.up = true
	if h.Bare {
		if w.Born != nil {
			w.Born(h)
		}
		return
	}
	var disk *fleet.DiskState
	if h.Disk != nil {
		h.Disk.state.OpenCount++
		s := h.Disk.copied().state
		disk = &s
	}
	n, err := fleet.New(o, disk)
	if err != nil {
		w.wrong("%s does not start: %v", h.Name, err)
		return
	}
	for _, d := range slices.Sorted(maps.Keys(w.leases)) {
		n.DeclareLease(d, w.leases[d])
	}
	h.Node = n
	w.trace("%s starts", h.Name)
	if w.Born != nil {
		w.Born(h)
	}
	h.ticks(h.turn)
}

// Crash ends it; what its disk held stays.
func (h *Host) Crash() {
	if !h.up {
		return
	}
	h.w.trace("%s crashes", h.Name)
	h.Node, h.up, h.stopped, h.inbox = nil, false, false, nil
	for _, name := range slices.Sorted(maps.Keys(h.conns)) {
		h.close(h.conns[name])
	}
}

// Stop is SIGSTOP, Continue SIGCONT.
func (h *Host) Stop() {
	if h.up {
		h.w.trace("%s stands still", h.Name)
		h.stopped = true
	}
}

func (h *Host) Continue() {
	if !h.stopped {
		return
	}
	h.w.trace("%s goes on", h.Name)
	h.stopped = false
	in := h.inbox
	h.inbox = nil
	for _, call := range in {
		call()
	}
}

// Up tells whether a process runs, be it stopped.
func (h *Host) Up() bool { return h.up }

// After calls something at this machine later: once it goes on, where it stands still then; never, where the process is
// another by then.
func (h *Host) After(d time.Duration, call func(now time.Duration)) {
	turn := h.turn
	if d > 0 {
		d = time.Duration(float64(d)/h.Pace) + 2 // rounded up: its clock has come there by then
	}
	h.w.After(d, func() { h.do(turn, call) })
}

// Clock is a machine's own time.
func (h *Host) Clock() time.Duration {
	return time.Duration(float64(h.w.Now-h.born) * h.Pace)
}

// do runs something at a machine, later where it stands still; nothing where the process is another by then.
func (h *Host) do(turn int, call func(now time.Duration)) {
	if !h.up || h.turn != turn {
		return
	}
	if h.stopped {
		h.inbox = append(h.inbox, func() { h.do(turn, call) })
		return
	}
	call(h.Clock())
	h.pump()
}

// metered runs a call of the node's, and notes the processor time that it took.
func (h *Host) metered(call func()) {
	if h.w.Meter == nil {
		call()
		return
	}
	began := h.w.Meter()
	call()
	h.CPU += h.w.Meter() - began
}

// Do runs a call of its node now.
func (h *Host) Do(call func(n *fleet.Node, now time.Duration)) {
	h.do(h.turn, func(now time.Duration) { call(h.Node, now) })
}

func (h *Host) ticks(turn int) {
	every := h.w.Pace.LeaseDuration / 60
	var tick func()
	tick = func() {
		if h.Node == nil || h.turn != turn {
			return
		}
		h.w.After(time.Duration(float64(every)/h.Pace), tick)
		if !h.stopped {
			h.do(turn, func(now time.Duration) {
				h.metered(func() { h.Node.Tick(now) })
				h.dial(now)
			})
		}
	}
	h.w.After(time.Duration(h.w.Rnd.Int64N(int64(every))), tick)
}

// pump carries out what the node wants, and looks whether all still holds.
func (h *Host) pump() {
	w, n := h.w, h.Node
	if n == nil {
		return
	}
	for {
		s, ok := n.PendingWrite()
		if !ok {
			break
		}
		if err := h.Disk.save(s); err != nil {
			n.WriteFailed(err)
			break
		}
		h.metered(func() { n.WriteDone(h.Clock()) })
	}
	for _, s := range n.Outgoing() {
		if c := h.conns[s.To]; c != nil {
			h.Sent++
			if w.Weigh != nil {
				h.Bytes += int64(w.Weigh(s.Message))
			}
			m := *s.Message
			h.carry(c, func(to *Host, now time.Duration) {
				if w.Hear != nil {
					w.Hear(to, h.Name, &m)
				}
				var err error
				to.metered(func() { err = to.Node.Receive(now, h.Name, &m) })
				if err != nil {
					w.trace("%s closes the link to %s: %v", to.Name, h.Name, err)
					to.close(c)
				}
			})
		}
	}
	for _, name := range n.LinksToClose() {
		if c := h.conns[name]; c != nil {
			h.close(c)
		}
	}
	for _, e := range n.Events() {
		h.Events = append(h.Events, e)
		if _, ok := e.(fleet.LeaseRenewed); !ok {
			f := e.Fields()
			w.trace("%s tells %s %s term %d %s %s", h.Name, f.Kind, f.Lease, f.Term, f.Name, f.Reason)
		}
		if e, ok := e.(fleet.BroadcastReceived); ok {
			if d := n.State().Leases[e.Lease]; d != nil && e.Term < d.Term {
				w.wrong("%s accepted an act of %s in term %d and knows of %d", h.Name, e.Lease, e.Term, d.Term)
			}
			if e.Term < h.terms[e.Lease] {
				w.wrong("%s accepted an act of %s in term %d after %d", h.Name, e.Lease, e.Term, h.terms[e.Lease])
			}
			h.terms[e.Lease] = e.Term
		}
		if w.Watch != nil {
			w.Watch(h, e)
		}
	}
	w.check(h)
}

// holds tells whether the host's node holds a duty now.
func (h *Host) holds(lease string) bool {
	if h.Node == nil {
		return false
	}
	_, ok := h.Node.HoldsLease(h.Clock(), lease)
	return ok
}

// Stopped tells whether it stands still.
func (h *Host) Stopped() bool { return h.stopped }

// Copy keeps a copy of the disk, to be put back later.
func (h *Host) Copy() *Disk { return h.Disk.copied() }
