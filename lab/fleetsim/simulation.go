// Package fleetsim runs fleet.Node, the fleet's own state machine, in virtual time: many hosts, links that delay and are cut,
// clocks of different rates, hosts that are paused, crash and restart, disks that fill up or are restored from old copies.
//
// One seed gives one run: everything random is drawn from Simulation.Rand, on one goroutine. A Simulation owns its hosts, links and
// disks. After each step of a host it checks the invariants of package fleet (see Invariants). For tests and measurements only.
package fleetsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// Options are the size and the settings of a simulated fleet.
type Options struct {
	Seed   uint64
	Fronts int
	Voters int // the first of the fronts
	Timing fleet.Timing
	Leases map[string]time.Duration // that every front declares, and the progress timeout of each; 0 for none
}

// Hooks let a test or a measurement see, and count, what happens. Each may be nil.
type Hooks struct {
	MessageSize func(*fleet.Message) int                            // bytes on the wire; called for each message that is sent
	CPUClock    func() time.Duration                                // processor time of this thread so far, for HostUsage.CPU
	OnStart     func(h *Host)                                       // a process started: its node, if any, is new
	OnEvent     func(h *Host, e fleet.Event)                        // every event of every node
	OnReceive   func(to *Host, from string, message *fleet.Message) // every message, before the node receives it
	Trace       func(line string)
}

// Simulation is a fleet in virtual time.
type Simulation struct {
	Scheduler
	Network
	Invariants
	Hooks
	Hosts  []*Host
	Timing fleet.Timing
	Rand   *rand.Rand

	byName        map[string]*Host
	initialVoters []fleet.Voter
	leases        map[string]time.Duration
}

// New makes a fleet whose hosts are all down, spread over zones a, b and c.
func New(o Options) *Simulation {
	sim := &Simulation{
		Network:    Network{Delay: 200 * time.Microsecond, Jitter: normalJitter, cuts: map[[2]string]bool{}},
		Invariants: Invariants{stateChecksums: map[uint64]uint32{}, leaseholders: map[string][]*Host{}},
		Timing:     o.Timing,
		Rand:       rand.New(rand.NewPCG(o.Seed, 3)),
		byName:     map[string]*Host{},
		leases:     o.Leases,
	}
	for i := range o.Voters {
		sim.initialVoters = append(sim.initialVoters, fleet.Voter{Name: hostName(i), Address: hostName(i)})
	}
	for i := range o.Fronts {
		c := HostConfig{Name: hostName(i), Zone: string(rune('a' + i%3))}
		if i < o.Voters {
			c.Disk = &Disk{}
		}
		sim.AddHost(c)
	}
	return sim
}

func hostName(i int) string { return fmt.Sprintf("f%03d", i) }

// AddHost adds a host, which is down. A clock rate of 0 means 1.
func (sim *Simulation) AddHost(c HostConfig) *Host {
	if c.ClockRate == 0 {
		c.ClockRate = 1
	}
	h := &Host{HostConfig: c, sim: sim}
	sim.Hosts = append(sim.Hosts, h)
	sim.byName[h.Name] = h
	return h
}

// Host returns the host of a name, nil for none.
func (sim *Simulation) Host(name string) *Host { return sim.byName[name] }

// Run runs the simulation for d, or until an invariant is violated.
func (sim *Simulation) Run(d time.Duration) {
	sim.runUntil(sim.Now+d, func() bool { return len(sim.Violations) > 0 })
}

func (sim *Simulation) trace(format string, args ...any) {
	if sim.Trace != nil {
		sim.Trace(fmt.Sprintf("%12v ", sim.Now) + fmt.Sprintf(format, args...))
	}
}

// StartAll starts every host that is down.
func (sim *Simulation) StartAll() {
	for _, h := range sim.Hosts {
		if !h.up {
			h.Start()
		}
	}
}

// Leaseholder returns the host that holds a lease now, nil for none.
func (sim *Simulation) Leaseholder(lease string) *Host {
	for _, h := range sim.Hosts {
		if !h.paused && h.holdsLease(lease) {
			return h
		}
	}
	return nil
}

// Leader returns the leader, nil for none that runs.
func (sim *Simulation) Leader() *Host {
	for _, h := range sim.Hosts {
		if h.Node != nil && !h.paused && h.Node.IsLeader() {
			return h
		}
	}
	return nil
}

// BroadcastLate pauses a leaseholder that has just checked its lease; when it resumes, it broadcasts without another check.
func (sim *Simulation) BroadcastLate(h *Host, lease string, term uint64, pause time.Duration) {
	incarnation := h.incarnation
	h.Pause()
	message := fleet.Message{Kind: fleet.KindBroadcast, From: h.Name, Name: lease, Term: term, Number: 1 << 40, Data: []byte("late")}
	sim.After(pause, func() {
		if h.Node == nil || h.incarnation != incarnation {
			return
		}
		h.Resume()
		sim.After(time.Second, func() { // its links were closed while it was paused: by now it has new ones
			for _, name := range slices.Sorted(maps.Keys(h.links)) {
				m := message
				h.send(h.links[name], func(to *Host, now time.Duration) {
					_ = to.Node.Receive(now, h.Name, &m) // it should be rejected: the event BroadcastRejected is what tests look for
				})
			}
		})
	})
}
