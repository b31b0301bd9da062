package fleetsim

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// ticksPerLease is the number of times that a host ticks its node within one lease duration.
const ticksPerLease = 60

// HostConfig is the configuration of a host. A change takes effect when the host starts next.
type HostConfig struct {
	Name               string
	Zone               string
	ClockRate          float64 // the speed of the host's clock relative to virtual time
	Disk               *Disk   // nil for a host that is not a voter
	JoinsExistingFleet bool
	DeclinesLeases     bool
	ConfigLease        time.Duration // the duration of a configuration lease; 0 if no configuration versions are published
	WithoutNode        bool          // the host has a clock and can be paused and crashed, but runs no node
}

// HostUsage counts the resources that a host's node has used. Measurements reset it.
type HostUsage struct {
	BytesSent    int64 // counted only if Hooks.MessageSize is set
	MessagesSent int64
	CPU          time.Duration // processor time of the node's calls; counted only if Hooks.CPUClock is set
}

// Host is a simulated machine that runs one process, the fleet node of one front.
type Host struct {
	HostConfig
	HostUsage
	Node   *fleet.Node   // nil while the process is down
	Events []fleet.Event // the node's events since the process started

	sim *Simulation
	process
}

// process is the state of a host's process. Each start resets it, except for the count of the starts.
type process struct {
	up            bool
	bootedAt      time.Duration // virtual time at which the host's clock was 0
	incarnation   int           // number of starts so far
	paused        bool
	deferred      []func()          // calls that wait until the process is resumed
	links         map[string]*link  // open links, by the peer's name
	dialling      map[string]bool   // names of the peers that are being dialled
	acceptedTerms map[string]uint64 // term of the last accepted broadcast, by lease
	checkedIndex  uint64            // log index at which the replicated state was last compared
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
	if !h.WithoutNode && !h.startNode(o) {
		return
	}
	if sim.OnStart != nil {
		sim.OnStart(h)
	}
	if !h.WithoutNode {
		h.scheduleTicks()
	}
}

// startNode makes the host's node from its disk and declares the leases. It reports whether the node started. A failure is recorded
// as a violation.
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

// Crash ends the process without a shutdown and closes its links. The disk keeps all completed writes.
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

// Pause suspends the process as SIGSTOP does.
func (h *Host) Pause() {
	if h.up {
		h.sim.trace("%s paused", h.Name)
		h.paused = true
	}
}

// Resume continues a paused process as SIGCONT does, and executes the calls that were deferred in the meantime.
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

// Up reports whether the process exists, paused or not.
func (h *Host) Up() bool { return h.up }

// Paused reports whether the process is paused.
func (h *Host) Paused() bool { return h.paused }

// CopyDisk returns a copy of the disk's present contents. A test may assign it to Disk later, as a restored backup.
func (h *Host) CopyDisk() *Disk { return h.Disk.clone() }

// Clock returns the time of the host's own clock, which runs at ClockRate.
func (h *Host) Clock() time.Duration {
	return time.Duration(float64(h.sim.Now-h.bootedAt) * h.ClockRate)
}

// After schedules a call on the host after d of the host's own time. If the process is paused then, the call waits until the process
// is resumed. If the process has ended by then, the call is dropped.
func (h *Host) After(d time.Duration, call func(now time.Duration)) {
	incarnation := h.incarnation
	if d > 0 {
		d = time.Duration(float64(d)/h.ClockRate) + 2 // rounded up, so that the host's clock has reached the time when the call runs
	}
	h.sim.After(d, func() { h.execute(incarnation, call) })
}

// WithNode calls a function with the host's node and the time of the host's clock, and carries out what the node asks for. The call runs
// now, or when the host is resumed if it is paused. It is dropped if the process is down.
func (h *Host) WithNode(call func(n *fleet.Node, now time.Duration)) {
	h.execute(h.incarnation, func(now time.Duration) { call(h.Node, now) })
}

// execute runs a call on the process with the given incarnation, then handles the node's outputs. While the process is paused the
// call is deferred. The call is dropped if that process has ended.
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

// measureCPU runs a call of the node and adds the processor time that it took to HostUsage.CPU.
func (h *Host) measureCPU(call func()) {
	if h.sim.CPUClock == nil {
		call()
		return
	}
	start := h.sim.CPUClock()
	call()
	h.CPU += h.sim.CPUClock() - start
}

// scheduleTicks ticks the node at a fixed interval until the process ends. The first tick is at a random moment within one interval,
// so that the hosts don't tick at the same time.
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

// processOutputs carries out what the node asks for: disk writes, messages, and links to close. Then it handles the node's events
// and checks the invariants.
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

// writeDisk writes the node's pending writes to the disk, until there are none left or a write fails.
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

// sendMessage sends a message over a link and counts it. The receiver closes the link if its node returns an error.
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

// onEvent records and traces an event of the host's node, and checks the term if it is a broadcast.
func (h *Host) onEvent(e fleet.Event) {
	sim := h.sim
	h.Events = append(h.Events, e)
	if _, ok := e.(fleet.LeaseRenewed); !ok { // renewals are too frequent to be useful in a trace
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
