package fleetsim

import (
	"fmt"
	"time"

	"dapplerouter/fleet"
)

// Faults are the kinds of faults that a random run injects; a test leaves some out to see what the others do.
type Faults struct {
	Pauses         bool
	Crashes        bool // and graceful shutdowns
	Partitions     bool
	LatencySpikes  bool
	ClockDrift     bool // each host's clock has a rate of its own, within 10 %
	LeaseTransfers bool
	Broadcasts     bool // by leaseholders: traffic for the invariants, not a fault
	FullDisks      bool
}

// AllFaults are all kinds.
var AllFaults = Faults{Pauses: true, Crashes: true, Partitions: true, LatencySpikes: true, ClockDrift: true, LeaseTransfers: true, Broadcasts: true, FullDisks: true}

const (
	normalJitter  = 300 * time.Microsecond // without a latency spike
	recoveryTime  = 25 * time.Second       // without faults, after which a fleet must have recovered
	broadcastTime = 300 * time.Millisecond // between a leaseholder's broadcasts
)

// randomFaultLeases are the names of the leases of a random run, in the order in which the random source picks them.
var randomFaultLeases = []string{"list", "scout/1", "scout/2"}

// RandomFaultOptions are a random run's size, faults and length.
type RandomFaultOptions struct {
	Seed     uint64
	Fronts   int
	Voters   int
	Faults   Faults
	Duration time.Duration // for which faults come
	Trace    func(line string)
}

// RunWithRandomFaults runs a fleet under faults drawn from the seed, then without faults until it must have recovered. It returns
// the violations: of an invariant on the way, or of recovery (one leader, every lease held, one replicated state).
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

// randomRun injects faults until its end. Each draw depends on those before it: a change of their order changes what seeds give.
type randomRun struct {
	*Simulation
	faults Faults
	end    time.Duration
}

// broadcast lets every leaseholder report progress and broadcast, again and again. One in twenty makes no progress for a while; some
// are paused between the check of their lease and the broadcast.
func (r *randomRun) broadcast() {
	for _, h := range r.Hosts {
		if h.Node == nil || !r.faults.Broadcasts {
			continue
		}
		for _, lease := range randomFaultLeases {
			h.Do(func(n *fleet.Node, now time.Duration) {
				term, ok := n.HoldsLease(now, lease)
				if !ok || r.Rand.IntN(20) == 0 {
					return
				}
				n.ReportProgress(lease)
				n.Broadcast(now, lease, fmt.Appendf(nil, "%s/%d", lease, term))
				if r.faults.Pauses && r.Rand.IntN(30) == 0 && !h.paused && r.Now < r.end {
					r.BroadcastLate(h, lease, term, 4*time.Second+time.Duration(r.Rand.Int64N(int64(4*time.Second))))
				}
			})
		}
	}
	r.After(broadcastTime, r.broadcast)
}

// randomFaults are what a random run picks from, by their index: each injects a fault at a host, for a duration, if it may.
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

// injectNext injects a fault now and schedules the next one, until the run's end.
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

func (r *randomRun) pause(h *Host, duration time.Duration) {
	if r.faults.Pauses && h.Node != nil && !h.paused {
		h.Pause()
		r.After(duration, h.Resume)
	}
}

func (r *randomRun) crash(h *Host, duration time.Duration) {
	if r.faults.Crashes && h.Node != nil {
		h.Crash()
		r.restartAfter(h, duration/4)
	}
}

func (r *randomRun) restartAfter(h *Host, delay time.Duration) {
	r.After(delay, func() {
		if h.Node == nil {
			h.Start()
		}
	})
}

// cutFromOne cuts a host from another one, in one direction or both.
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

// cutFromAll cuts a host from all others: outbound, inbound, or both.
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

func (r *randomRun) spikeLatency(_ *Host, duration time.Duration) {
	if r.faults.LatencySpikes {
		r.Jitter = time.Duration(1 + r.Rand.Int64N(int64(time.Second)))
		r.After(duration/2, func() { r.Jitter = normalJitter })
	}
}

func (r *randomRun) transferLease(h *Host, _ time.Duration) {
	if r.faults.LeaseTransfers && h.Node != nil {
		lease := randomFaultLeases[r.Rand.IntN(len(randomFaultLeases))]
		h.Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, lease, "") })
	}
}

func (r *randomRun) shutDown(h *Host, duration time.Duration) {
	if r.faults.Crashes && h.Node != nil && !h.paused {
		h.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
		r.After(200*time.Millisecond, func() {
			h.Crash()
			r.restartAfter(h, duration/4)
		})
	}
}

// fillDisk fills a voter's disk, and restarts the voter once there is space. It needs all voters: a voter with a failed write is out
// until its restart.
func (r *randomRun) fillDisk(h *Host, duration time.Duration) {
	if !r.faults.FullDisks || h.Disk == nil || h.Node == nil || r.anyVoterAway() || r.Rand.IntN(3) != 0 {
		return
	}
	h.Disk.Full = true
	r.After(duration, func() {
		h.Disk.Full = false
		h.Crash()
		h.Start()
	})
}

func (r *randomRun) anyVoterAway() bool {
	for _, h := range r.Hosts {
		if h.Disk != nil && (h.Node == nil || h.paused) {
			return true
		}
	}
	return false
}

// repairAll ends all faults, and restarts voters that stopped voting.
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
