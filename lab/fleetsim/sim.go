// Package fleetsim hosts the fleet's real core in virtual time: many fronts, links that delay, cut and break, clocks of their own
// paces, machines that stop, crash and come back, disks that fill up or are restored from old copies. One seed gives one
// run. After each step it asserts what must always hold. For tests and measurements only.
package fleetsim

import (
	"container/heap"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dapplerouter/fleet"
)

type event struct {
	at   time.Duration
	seq  int
	call func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq // ties in the order in which they were made
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// World is a fleet in virtual time.
type World struct {
	Now           time.Duration
	Hosts         []*Host
	Pace          fleet.Timing
	Delay, Jitter time.Duration // one way
	Rnd           *rand.Rand
	Wrong         []string // what must not be and was
	Weigh         func(*fleet.Message) int
	Meter         func() time.Duration         // processor time of this thread so far: where it is set, hosts' CPU is kept
	Watch         func(h *Host, e fleet.Event) // sees every event of every front
	Born          func(h *Host)                // a process started: its node, if any, is new
	Trace         func(string)
	Hear          func(to *Host, from string, m *fleet.Message) // sees every message that is taken

	queue   events
	seq     int
	conns   int
	cut     map[[2]string]bool // one way
	records map[uint64]uint32
	holders map[string][]*Host // who held a duty when it was looked at last
	byName  map[string]*Host
	voters  []fleet.Voter
	leases  map[string]time.Duration
}

// New makes a world of so many fronts, the first of which are keepers, spread over zones a, b and c.
func New(seed uint64, fronts, voters int, pace fleet.Timing, leases map[string]time.Duration) *World {
	w := &World{Pace: pace, Delay: 200 * time.Microsecond, Jitter: calm, Rnd: rand.New(rand.NewPCG(seed, 3)),
		cut: map[[2]string]bool{}, records: map[uint64]uint32{}, holders: map[string][]*Host{}, byName: map[string]*Host{}, leases: leases}
	for i := range voters {
		w.voters = append(w.voters, fleet.Voter{Name: name(i), Address: name(i)})
	}
	for i := range fronts {
		h := &Host{Name: name(i), Zone: string(rune('a' + i%3)), w: w, Pace: 1}
		if i < voters {
			h.Disk = &Disk{}
		}
		w.add(h)
	}
	return w
}

func name(i int) string { return fmt.Sprintf("f%03d", i) }

func (w *World) add(h *Host) {
	w.Hosts = append(w.Hosts, h)
	w.byName[h.Name] = h
}

// Add gives the world one more machine, not started yet.
func (w *World) Add(name, zone string, disk *Disk, joins bool) *Host {
	h := &Host{Name: name, Zone: zone, Disk: disk, Joins: joins, w: w, Pace: 1}
	w.add(h)
	return h
}

// Host finds a machine.
func (w *World) Host(name string) *Host { return w.byName[name] }

// After calls something later.
func (w *World) After(d time.Duration, call func()) {
	if d < 0 {
		panic(fmt.Sprintf("the world would go back by %v", -d))
	}
	w.seq++
	heap.Push(&w.queue, event{w.Now + d, w.seq, call})
}

// Run goes on for a while, or until something is wrong.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && len(w.Wrong) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.call()
	}
	w.Now = end
}

func (w *World) wrong(format string, args ...any) {
	w.Wrong = append(w.Wrong, fmt.Sprintf("%v: ", w.Now)+fmt.Sprintf(format, args...))
}

func (w *World) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%12v ", w.Now) + fmt.Sprintf(format, args...))
	}
}

// check asserts invariants 1 and 3, after a step of one host. A node comes to hold a duty only within a step of its own, and
// loses it as time goes on: so only this host may hold now what it did not hold before, and nobody has to be looked at but it
// and who held the duty when last looked at.
func (w *World) check(h *Host) {
	for d := range w.leases {
		holders := slices.DeleteFunc(w.holders[d], func(o *Host) bool { return o == h || !o.holds(d) })
		if h.holds(d) {
			for _, o := range holders {
				w.wrong("%s is held by %s and %s", d, min(o.Name, h.Name), max(o.Name, h.Name))
			}
			holders = append(holders, h)
		}
		w.holders[d] = holders
	}
	if at := h.Node.State().Index; at != h.index && len(w.Hosts) < 20 {
		h.index = at
		sum := crc32.ChecksumIEEE(h.Node.State().Encoded())
		if was, ok := w.records[at]; ok && was != sum {
			w.wrong("the record of %s at %d differs from another's", h.Name, at)
		}
		w.records[at] = sum
	}
}

// StartAll starts every machine that is down.
func (w *World) StartAll() {
	for _, h := range w.Hosts {
		if !h.up {
			h.Start()
		}
	}
}

// Holder is the front that holds a duty now, nil for none.
func (w *World) Holder(lease string) *Host {
	for _, h := range w.Hosts {
		if h.Node != nil && !h.stopped {
			if _, ok := h.Node.HoldsLease(h.Clock(), lease); ok {
				return h
			}
		}
	}
	return nil
}

// Giver is the keeper that gives, nil for none that runs.
func (w *World) Leader() *Host {
	for _, h := range w.Hosts {
		if h.Node != nil && !h.stopped && h.Node.IsLeader() {
			return h
		}
	}
	return nil
}

// LateAct stops a holder that has just looked whether it holds a duty; it acts without another look when it goes on.
func (w *World) LateAct(h *Host, lease string, term uint64, late time.Duration) {
	turn := h.turn
	h.Stop()
	m := &fleet.Message{Kind: fleet.KindBroadcast, From: h.Name, Name: lease, Term: term, Number: 1 << 40, Data: []byte("late")}
	w.After(late, func() {
		if h.Node == nil || h.turn != turn {
			return
		}
		h.Continue()
		w.After(time.Second, func() { // its links were let go meanwhile: it has others by now
			for _, name := range slices.Sorted(maps.Keys(h.conns)) {
				c := h.conns[name]
				x := *m
				h.carry(c, func(to *Host, now time.Duration) { to.Node.Receive(now, h.Name, &x) })
			}
		})
	})
}
