package fleetsim

import (
	"fmt"
	"time"

	"dapplerouter/fleet"
)

// Faults selects the kinds of faults that a random run injects. A test may leave some out to see the effect of the others.
type Faults struct {
	Pauses         bool
	Crashes        bool // includes graceful shutdowns
	Partitions     bool
	LatencySpikes  bool
	ClockDrift     bool // the clock of each host has its own rate, within 10 % of virtual time
	LeaseTransfers bool
	Broadcasts     bool // leaseholders broadcast; this is no fault but the traffic that the invariants are checked on
	FullDisks      bool
}

// AllFaults selects all kinds of faults.
var AllFaults = Faults{Pauses: true, Crashes: true, Partitions: true, LatencySpikes: true, ClockDrift: true, LeaseTransfers: true, Broadcasts: true, FullDisks: true}

const (
	normalJitter      = 300 * time.Microsecond // the network's jitter outside of latency spikes
	recoveryTime      = 25 * time.Second       // the time without faults after which a fleet must have recovered
	broadcastInterval = 300 * time.Millisecond // the interval between broadcasts of a leaseholder
)

// randomFaultLeases are the names of the leases of a random run. Random choices refer to them by index, so their order is fixed.
var randomFaultLeases = []string{"list", "scout/1", "scout/2"}

// RandomFaultOptions sets the size, the kinds of faults and the length of a random run.
type RandomFaultOptions struct {
	Seed     uint64
	Fronts   int
	Voters   int
	Faults   Faults
	Duration time.Duration // how long faults are injected
	Trace    func(line string)
}

// RunWithRandomFaults runs a fleet under random faults that the seed determines, and then without faults until it must have
// recovered. It returns the violations: those of the invariants during the run, or else those of the final check that the fleet has
// a leader, a holder of every lease, and no front that is isolated or lags.
func RunWithRandomFaults(o RandomFaultOptions) (*Simulation, []string) {
	leases := map[string]time.Duration{randomFaultLeases[0]: 6 * time.Second, randomFaultLeases[1]: 0, randomFaultLeases[2]: 0}
	sim := New(Options{Seed: o.Seed, Fronts: o.Fronts, Voters: o.Voters, Timing: fleet.Timing{LeaseDuration: 3 * time.Second}, Leases: leases})
	sim.Trace = o.Trace
	if o.Faults.ClockDrift {
		for _, h := range sim.Hosts {
			h.ClockRate = 0.9 + 0.2*sim.Rand.Float64()
		}
	}
	sim.StartAll()
	r := &randomRun{Simulation: sim, faults: o.Faults, end: sim.Now + o.Duration}
	sim.After(time.Second, r.broadcast)
	r.injectNext()
	sim.Run(o.Duration)
	r.repairAll()
	sim.Run(recoveryTime)
	if len(sim.Violations) == 0 {
		sim.checkRecovered()
	}
	return sim, sim.Violations
}

// randomRun is a run that injects random faults until its end. Each random value depends on those drawn before it, so a change of
// their order changes the run of every seed.
type randomRun struct {
	*Simulation
	faults Faults
	end    time.Duration // the virtual time at which the faults end
}

// broadcast makes every leaseholder report progress and broadcast, and schedules itself again. Each time, a leaseholder skips its
// turn with a probability of one in twenty. Some leaseholders are paused between the check of their lease and the broadcast.
func (r *randomRun) broadcast() {
	for _, h := range r.Hosts {
		if h.Node == nil || !r.faults.Broadcasts {
			continue
		}
		for _, lease := range randomFaultLeases {
			h.WithNode(func(n *fleet.Node, now time.Duration) {
				term, ok := n.HoldsLease(now, lease)
				if !ok || r.Rand.IntN(20) == 0 {
					return
				}
				n.ReportProgress(lease)
				n.Broadcast(now, lease, fmt.Appendf(nil, "%s/%d", lease, term))
				if r.faults.Pauses && r.Rand.IntN(30) == 0 && !h.paused && r.Now < r.end {
					r.BroadcastAfterPause(h, lease, term, 4*time.Second+time.Duration(r.Rand.Int64N(int64(4*time.Second))))
				}
			})
		}
	}
	r.After(broadcastInterval, r.broadcast)
}

// randomFaults are the faults that a random run picks from by index. Each injects a fault at a host for a duration, if that kind is
// selected and the host's state allows it.
var randomFaults = []func(r *randomRun, h *Host, duration time.Duration){
	(*randomRun).pause,
	(*randomRun).crash,
	(*randomRun).cutFromOne,
	(*randomRun).cutFromAll,
	(*randomRun).spikeLatency,
	(*randomRun).transferLease,
	(*randomRun).shutDown,
	(*randomRun).fillDisk,
}

// injectNext injects a random fault now and schedules the next one, until the run's end.
func (r *randomRun) injectNext() {
	if r.Now >= r.end {
		return
	}
	r.After(time.Duration(50+r.Rand.Int64N(1500))*time.Millisecond, r.injectNext)
	h := r.randomHost()
	duration := time.Duration(20+r.Rand.Int64N(6000)) * time.Millisecond
	randomFaults[r.Rand.IntN(len(randomFaults))](r, h, duration)
}

func (r *randomRun) randomHost() *Host { return r.Hosts[r.Rand.IntN(len(r.Hosts))] }

// pause pauses a host that is up, and resumes it after the duration.
func (r *randomRun) pause(h *Host, duration time.Duration) {
	if r.faults.Pauses && h.Node != nil && !h.paused {
		h.Pause()
		r.After(duration, h.Resume)
	}
}

// crash crashes a host that is up, and restarts it after a quarter of the duration.
func (r *randomRun) crash(h *Host, duration time.Duration) {
	if r.faults.Crashes && h.Node != nil {
		h.Crash()
		r.restartAfter(h, duration/4)
	}
}

// restartAfter starts a host after a delay if it is down then.
func (r *randomRun) restartAfter(h *Host, delay time.Duration) {
	r.After(delay, func() {
		if h.Node == nil {
			h.Start()
		}
	})
}

// cutFromOne cuts the link between a host and another random one, in one direction or in both.
func (r *randomRun) cutFromOne(h *Host, duration time.Duration) {
	if !r.faults.Partitions {
		return
	}
	if o := r.randomHost(); o != h {
		r.Cut(h.Name, o.Name)
		if r.Rand.IntN(2) == 0 {
			r.Cut(o.Name, h.Name)
		}
		r.After(duration, r.Heal)
	}
}

// cutFromAll cuts a host from all others: its outbound messages, its inbound messages, or both.
func (r *randomRun) cutFromAll(h *Host, duration time.Duration) {
	if !r.faults.Partitions {
		return
	}
	const outbound, inbound = 0, 1
	direction := r.Rand.IntN(3)
	for _, o := range r.Hosts {
		if o != h && direction != inbound {
			r.Cut(h.Name, o.Name)
		}
		if o != h && direction != outbound {
			r.Cut(o.Name, h.Name)
		}
	}
	r.After(duration, r.Heal)
}

// spikeLatency raises the jitter of the whole network to a random value of up to one second.
func (r *randomRun) spikeLatency(_ *Host, duration time.Duration) {
	if r.faults.LatencySpikes {
		r.Jitter = time.Duration(1 + r.Rand.Int64N(int64(time.Second)))
		r.After(duration/2, func() { r.Jitter = normalJitter })
	}
}

// transferLease makes a host ask the leader to transfer a random lease to a front that the leader chooses.
func (r *randomRun) transferLease(h *Host, _ time.Duration) {
	if r.faults.LeaseTransfers && h.Node != nil {
		lease := randomFaultLeases[r.Rand.IntN(len(randomFaultLeases))]
		h.WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, lease, "") })
	}
}

// shutDown shuts a host down gracefully and restarts it later.
func (r *randomRun) shutDown(h *Host, duration time.Duration) {
	if r.faults.Crashes && h.Node != nil && !h.paused {
		h.WithNode(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
		r.After(200*time.Millisecond, func() {
			h.Crash()
			r.restartAfter(h, duration/4)
		})
	}
}

// fillDisk fills a voter's disk, frees it after the duration and then restarts the voter. A voter whose write has failed stops voting
// until it is restarted, so the fault is injected only while all voters are up.
func (r *randomRun) fillDisk(h *Host, duration time.Duration) {
	if !r.faults.FullDisks || h.Disk == nil || h.Node == nil || r.anyVoterUnavailable() || r.Rand.IntN(3) != 0 {
		return
	}
	h.Disk.Full = true
	r.After(duration, func() {
		h.Disk.Full = false
		h.Crash()
		h.Start()
	})
}

// anyVoterUnavailable reports whether a voter is down or paused.
func (r *randomRun) anyVoterUnavailable() bool {
	for _, h := range r.Hosts {
		if h.Disk != nil && (h.Node == nil || h.paused) {
			return true
		}
	}
	return false
}

// repairAll ends all faults. It starts the hosts that are down and restarts the voters that stopped voting.
func (r *randomRun) repairAll() {
	r.Heal()
	r.Jitter = normalJitter
	for _, h := range r.Hosts {
		h.Resume()
		if h.Disk != nil {
			h.Disk.Full = false
			if h.Node != nil && h.Node.VoterHaltReason() != "" {
				h.Crash()
			}
		}
		if h.Node == nil {
			h.Start()
		}
	}
}
