// Package fleetsim is a deterministic simulator of a fleet. It runs many instances of fleet.Node, the fleet's state machine, in
// virtual time.
//
// The simulator delays messages, cuts links, gives hosts clocks of different rates, and pauses, crashes and restarts hosts. Disks
// can fill up or be replaced by older copies.
//
// The same seed gives the same run: every random value is drawn from Simulation.Rand, and the whole simulation runs on one
// goroutine. A Simulation owns its hosts, links and disks. After each step of a host it checks the invariants of package fleet (see
// Invariants). The package is meant for tests and measurements only.
package fleetsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// Options sets the size and the configuration of a simulated fleet.
type Options struct {
	Seed   uint64
	Fronts int
	Voters int // how many of the fronts are voters: the first ones
	Timing fleet.Timing
	Leases map[string]time.Duration // the leases that every front declares, with the progress timeout of each; 0 means no timeout
}

// Hooks are callbacks by which a test or a measurement observes the simulation. Each may be nil.
type Hooks struct {
	MessageSize func(*fleet.Message) int                            // returns the encoded size in bytes; called for each message sent
	CPUClock    func() time.Duration                                // returns the thread's processor time so far, for HostUsage.CPU
	OnStart     func(h *Host)                                       // called when a process has started; its node, if any, is new
	OnEvent     func(h *Host, e fleet.Event)                        // called for every event of every node
	OnReceive   func(to *Host, from string, message *fleet.Message) // called for every message before the node receives it
	Trace       func(line string)                                   // called with each line of the trace
}

// Simulation is a fleet of hosts that runs in virtual time. It is not safe for concurrent use.
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

// New makes a fleet whose hosts are spread over the zones a, b and c. All hosts are down until they are started.
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

// AddHost adds a host, which is down until it is started. A clock rate of 0 means 1.
func (sim *Simulation) AddHost(c HostConfig) *Host {
	if c.ClockRate == 0 {
		c.ClockRate = 1
	}
	h := &Host{HostConfig: c, sim: sim}
	sim.Hosts = append(sim.Hosts, h)
	sim.byName[h.Name] = h
	return h
}

// Host returns the host with the given name, or nil if there is none.
func (sim *Simulation) Host(name string) *Host { return sim.byName[name] }

// Run runs the simulation for d of virtual time. It stops executing calls once an invariant is violated.
func (sim *Simulation) Run(d time.Duration) {
	sim.runUntil(sim.Now+d, func() bool { return len(sim.Violations) > 0 })
}

// trace writes a line with the current virtual time to Hooks.Trace.
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

// Leaseholder returns the host that holds a lease now, or nil if there is none. Paused hosts are ignored.
func (sim *Simulation) Leaseholder(lease string) *Host {
	for _, h := range sim.Hosts {
		if !h.paused && h.holdsLease(lease) {
			return h
		}
	}
	return nil
}

// Leader returns the host whose node is the leader, or nil if there is none. Hosts that are down or paused are ignored.
func (sim *Simulation) Leader() *Host {
	for _, h := range sim.Hosts {
		if h.Node != nil && !h.paused && h.Node.IsLeader() {
			return h
		}
	}
	return nil
}

// BroadcastAfterPause simulates a leaseholder that is paused between the check of its lease and its broadcast. It pauses the host now,
// resumes it after the pause, and sends the broadcast in the given term without another check of the lease.
func (sim *Simulation) BroadcastAfterPause(h *Host, lease string, term uint64, pause time.Duration) {
	incarnation := h.incarnation
	h.Pause()
	message := fleet.Message{Kind: fleet.KindBroadcast, From: h.Name, Name: lease, Term: term, Number: 1 << 40, Data: []byte("late")}
	sim.After(pause, func() {
		if h.Node == nil || h.incarnation != incarnation {
			return
		}
		h.Resume()
		sim.After(time.Second, func() { // the host's links were closed during the pause; after a second it has new ones
			for _, name := range slices.Sorted(maps.Keys(h.links)) {
				m := message
				h.send(h.links[name], func(to *Host, now time.Duration) {
					_ = to.Node.Receive(now, h.Name, &m) // the receiver should reject it; tests look for the event BroadcastRejected
				})
			}
		})
	})
}
