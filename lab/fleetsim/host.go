package fleetsim

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// ticksPerLease is how often a host ticks its node in a lease duration.
const ticksPerLease = 60

// HostConfig is what a host starts its node with. Changes count from the next start.
type HostConfig struct {
	Name               string
	Zone               string
	ClockRate          float64 // of its clock against virtual time
	Disk               *Disk   // nil for a host that does not vote
	JoinsExistingFleet bool
	DeclinesLeases     bool
	ConfigLease        time.Duration // 0 where no configuration versions are published
	WithoutFleet       bool          // the host has a clock, is paused and crashes, but has no node
}

// HostUsage counts what a host's node cost. Measurements reset it.
type HostUsage struct {
	BytesSent    int64 // where Hooks.MessageSize is set
	MessagesSent int64
	CPU          time.Duration // of the node's own calls, where Hooks.CPUClock is set
}

// Host is a simulated machine with one process: one front's fleet node.
type Host struct {
	HostConfig
	HostUsage
	Node   *fleet.Node   // nil while the process is down
	Events []fleet.Event // since the process started

	sim *Simulation
	process
}

// process is what a host forgets in a crash.
type process struct {
	up            bool
	bootedAt      time.Duration // virtual time at which the host's clock was 0
	incarnation   int           // counts the starts
	paused        bool
	deferred      []func() // until it is resumed
	links         map[string]*link
	dialling      map[string]bool
	acceptedTerms map[string]uint64 // of broadcasts, by lease
	checkedIndex  uint64            // at which its replicated state was last compared
}

// Start starts the host's process. The host must be down.
func (h *Host) Start() {
	sim := h.sim
	h.process = process{
		up:            true,
		bootedAt:      sim.Now - time.Duration(sim.Rand.Int64N(int64(time.Hour))),
		incarnation:   h.incarnation + 1,
		links:         map[string]*link{},
		dialling:      map[string]bool{},
		acceptedTerms: map[string]uint64{},
	}
	h.Events = nil
	o := fleet.Options{
		Fleet:              "sim",
		Name:               h.Name,
		Incarnation:        sim.Rand.Uint64()>>24 | 1,
		Zone:               h.Zone,
		Address:            h.Name,
		Version:            "sim",
		InitialVoters:      sim.initialVoters,
		JoinsExistingFleet: h.JoinsExistingFleet,
		Timing:             sim.Timing,
		Seed:               sim.Rand.Uint64(),
		AcceptsLeases:      !h.DeclinesLeases,
		ConfigLease:        h.ConfigLease,
	}
	if !h.WithoutFleet && !h.startNode(o) {
		return
	}
	if sim.OnStart != nil {
		sim.OnStart(h)
	}
	if !h.WithoutFleet {
		h.scheduleTicks()
	}
}

// startNode reports whether the node started; otherwise it notes a violation.
func (h *Host) startNode(o fleet.Options) bool {
	sim := h.sim
	var disk *fleet.DiskState
	if h.Disk != nil {
		h.Disk.state.OpenCount++
		s := h.Disk.clone().state
		disk = &s
	}
	n, err := fleet.New(o, disk)
	if err != nil {
		sim.Violationf("start %s: %v", h.Name, err)
		return false
	}
	for _, lease := range slices.Sorted(maps.Keys(sim.leases)) {
		n.DeclareLease(lease, sim.leases[lease])
	}
	h.Node = n
	sim.trace("%s started", h.Name)
	return true
}

// Crash ends the process; the disk keeps what was written.
func (h *Host) Crash() {
	if !h.up {
		return
	}
	h.sim.trace("%s crashed", h.Name)
	h.Node, h.up, h.paused, h.deferred = nil, false, false, nil
	for _, name := range slices.Sorted(maps.Keys(h.links)) {
		h.closeLink(h.links[name])
	}
}

// Pause stops the process as SIGSTOP does.
func (h *Host) Pause() {
	if h.up {
		h.sim.trace("%s paused", h.Name)
		h.paused = true
	}
}

// Resume continues a paused process as SIGCONT does.
func (h *Host) Resume() {
	if !h.paused {
		return
	}
	h.sim.trace("%s resumed", h.Name)
	h.paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, call := range deferred {
		call()
	}
}

// Up reports whether the process runs, paused or not.
func (h *Host) Up() bool { return h.up }

// Paused reports whether the process is paused.
func (h *Host) Paused() bool { return h.paused }

// CopyDisk returns a copy of the disk as it is now, which a test may restore later.
func (h *Host) CopyDisk() *Disk { return h.Disk.clone() }

// Clock returns the host's own time.
func (h *Host) Clock() time.Duration {
	return time.Duration(float64(h.sim.Now-h.bootedAt) * h.ClockRate)
}

// After runs a call on the host after d of its own time: once it is resumed, if it is paused then; never, if the process has ended
// by then.
func (h *Host) After(d time.Duration, call func(now time.Duration)) {
	incarnation := h.incarnation
	if d > 0 {
		d = time.Duration(float64(d)/h.ClockRate) + 2 // rounded up, so that the host's clock has reached the time
	}
	h.sim.After(d, func() { h.execute(incarnation, call) })
}

// Do runs a call of the host's node now, or when the host is resumed.
func (h *Host) Do(call func(n *fleet.Node, now time.Duration)) {
	h.execute(h.incarnation, func(now time.Duration) { call(h.Node, now) })
}

// execute runs a call on the host, deferred while it is paused; nothing if the process is another by then.
func (h *Host) execute(incarnation int, call func(now time.Duration)) {
	if !h.up || h.incarnation != incarnation {
		return
	}
	if h.paused {
		h.deferred = append(h.deferred, func() { h.execute(incarnation, call) })
		return
	}
	call(h.Clock())
	h.processOutputs()
}

// measureCPU runs a call of the node and adds the processor time that it took.
func (h *Host) measureCPU(call func()) {
	if h.sim.CPUClock == nil {
		call()
		return
	}
	start := h.sim.CPUClock()
	call()
	h.CPU += h.sim.CPUClock() - start
}

// scheduleTicks ticks the node for as long as the process lives, beginning at a random phase.
func (h *Host) scheduleTicks() {
	incarnation, interval := h.incarnation, h.sim.Timing.LeaseDuration/ticksPerLease
	var tick func()
	tick = func() {
		if h.Node == nil || h.incarnation != incarnation {
			return
		}
		h.sim.After(time.Duration(float64(interval)/h.ClockRate), tick)
		if !h.paused {
			h.execute(incarnation, func(now time.Duration) {
				h.measureCPU(func() { h.Node.Tick(now) })
				h.dialWantedLinks(now)
			})
		}
	}
	h.sim.After(time.Duration(h.sim.Rand.Int64N(int64(interval))), tick)
}

// processOutputs carries out what the node asks for, and checks the invariants.
func (h *Host) processOutputs() {
	if h.Node == nil {
		return
	}
	h.writeDisk()
	for _, o := range h.Node.Outgoing() {
		if l := h.links[o.To]; l != nil {
			h.sendMessage(l, o.Message)
		}
	}
	for _, name := range h.Node.LinksToClose() {
		if l := h.links[name]; l != nil {
			h.closeLink(l)
		}
	}
	for _, e := range h.Node.Events() {
		h.onEvent(e)
	}
	h.sim.checkInvariants(h)
}

func (h *Host) writeDisk() {
	for {
		write, ok := h.Node.PendingWrite()
		if !ok {
			return
		}
		if err := h.Disk.write(write); err != nil {
			h.Node.WriteFailed(err)
			return
		}
		h.measureCPU(func() { h.Node.WriteDone(h.Clock()) })
	}
}

func (h *Host) sendMessage(l *link, message *fleet.Message) {
	sim := h.sim
	h.MessagesSent++
	if sim.MessageSize != nil {
		h.BytesSent += int64(sim.MessageSize(message))
	}
	m := *message
	h.send(l, func(to *Host, now time.Duration) {
		if sim.OnReceive != nil {
			sim.OnReceive(to, h.Name, &m)
		}
		var err error
		to.measureCPU(func() { err = to.Node.Receive(now, h.Name, &m) })
		if err != nil {
			sim.trace("%s closes the link to %s: %v", to.Name, h.Name, err)
			to.closeLink(l)
		}
	})
}

func (h *Host) onEvent(e fleet.Event) {
	sim := h.sim
	h.Events = append(h.Events, e)
	if _, ok := e.(fleet.LeaseRenewed); !ok { // too many to be of use in a trace
		f := e.Fields()
		sim.trace("%s event %s lease %s term %d %s %s", h.Name, f.Kind, f.Lease, f.Term, f.Name, f.Reason)
	}
	if e, ok := e.(fleet.BroadcastReceived); ok {
		sim.checkBroadcast(h, e)
	}
	if sim.OnEvent != nil {
		sim.OnEvent(h, e)
	}
}

// holdsLease reports whether the host's node holds a lease now.
func (h *Host) holdsLease(lease string) bool {
	if h.Node == nil {
		return false
	}
	_, ok := h.Node.HoldsLease(h.Clock(), lease)
	return ok
}
