package proxysim

import (
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/agent"
	"dapplerouter/front"
	"dapplerouter/lab/fleetsim"
	"dapplerouter/router"
	"dapplerouter/routing"
)

// probeSubsystem is the subsystem name of the datagrams that probers of a fleet exchange. probeLeaseKind is the kind of their leases.
const probeSubsystem, probeLeaseKind = "scout", "scout"

// Front is one simulated front.
type Front struct {
	Name      string
	Core      *front.Core
	Received  map[string]int // the number of requests received, by request type
	Succeeded map[string]int // the number of requests that succeeded, by request type
	VersionFaults

	cluster      *Cluster
	host         *fleetsim.Host
	ordinal      int
	prober       *agent.Prober       // nil without a fleet
	endpointList *fleet.EndpointList // the endpoint list that the fleet shares; nil without a fleet
	endpoints    *endpointSource
	frontProcess
	frontRollout
}

// frontProcess is the state of a front's process.
type frontProcess struct {
	incarnation int
	startedAt   time.Duration     // virtual time
	timerAt     time.Duration     // when the Core's timer fires, by the host's clock; -1 if it is not set
	stepping    bool              // Core.Step is running
	observe     func(front.Event) // takes the events of servers and of the endpoint list; set by connectPools
}

// start starts the front's process. Its host has just started; the host's node, if any, is new.
func (f *Front) start() {
	c := f.cluster
	f.incarnation++
	f.startedAt, f.timerAt = c.Now, -1
	f.endpoints = &endpointSource{front: f}
	s := c.deploymentSettings(f.ordinal)
	if f.host.Node != nil {
		f.endpointList = fleet.NewEndpointList()
		f.host.Node.SetMirror(fleet.EndpointListLease, f.endpointList)
		f.startProber(s.Limits.DialTimeout)
	}
	startedAt := time.UnixMilli(c.wallMillis(c.Now)).Add(-f.host.Clock())
	f.Core = front.NewCore(front.Options{StartedAt: startedAt, Seed: c.Rand.Uint64(), Settings: s, NewRouter: router.New, Pools: f.connectPools(), Endpoints: f.endpoints})
	if c.Options.Rollout.ConfigLease > 0 && f.host.Node != nil {
		f.participate(s)
	}
	f.postEndpoints(routing.CachedSnapshot, c.endpointList())
	if !c.Options.PullEndpoints {
		f.endpoints.pushed = true
		f.endpoints.openWatch()
	}
	f.generateRequests()
	if f.host.Node != nil {
		f.host.After(0, f.detectSilentFleet)
	}
}

// connectPools returns the Core's pools and sets observe. In a fleet, the prober stands between the Core and both of them.
func (f *Front) connectPools() front.Pools {
	newPools := func(observe func(front.Event)) (front.Pools, error) {
		f.observe = observe
		return &serverPools{front: f}, nil
	}
	if f.host.Node == nil {
		pools, _ := newPools(f.post) // newPools returns no error
		return pools
	}
	pools, _ := f.prober.Connect(f.post, newPools)
	return pools
}

// startProber makes the front's prober and connects it to the fleet's node.
func (f *Front) startProber(dialTimeout time.Duration) {
	p := agent.NewProber(f.cluster.Timing.LeaseDuration, dialTimeout)
	p.Now = f.host.Clock
	p.RequestProbe = func(to, server string) {
		f.host.WithNode(func(n *fleet.Node, now time.Duration) { n.SendDatagram(now, to, probeSubsystem, []byte(server)) })
	}
	p.After = func(d time.Duration, call func()) { f.host.After(d, func(time.Duration) { call() }) }
	p.DeclareLease = func(lease string) { f.host.Node.DeclareLease(lease, 0) }
	p.Broadcast = func(lease string, data []byte) (ok bool) {
		f.host.WithNode(func(n *fleet.Node, now time.Duration) { ok = n.Broadcast(now, lease, data) })
		return ok
	}
	f.prober = p
}

// post passes an event to the Core and makes the Core process it.
func (f *Front) post(e front.Event) {
	f.Core.Post(e)
	f.step()
}

// step makes the Core process its events, and schedules the next step for the time that the Core asks for.
func (f *Front) step() {
	if f.stepping { // the event was posted from within a step: it is processed in the next one
		f.host.After(0, func(time.Duration) { f.step() })
		return
	}
	f.stepping = true
	now := f.host.Clock()
	next, ok := f.Core.Step(now)
	f.stepping = false
	if !ok || f.timerAt >= now && next >= f.timerAt {
		return
	}
	due := max(next, now)
	f.timerAt = due
	f.host.After(min(max(0, next-now), time.Hour), func(time.Duration) {
		if f.timerAt == due {
			f.timerAt = -1
		}
		f.step()
	})
}

// onFleetEvent passes an event of the fleet's node to the parts of the front that handle it, as package fleet/agent does.
func (f *Front) onFleetEvent(e fleet.Event) {
	f.prober.OnFleetEvent(e, f.Name)
	if f.Participant != nil {
		f.Participant.OnEvent(f.host.Clock(), e)
	}
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		if e.Lease == fleet.EndpointListLease {
			f.endpoints.holdsLease = true
			f.endpoints.watchForFleet()
		}
	case fleet.LeaseEnded:
		if e.Lease == fleet.EndpointListLease && f.endpoints.holdsLease {
			f.endpoints.holdsLease = false
			f.cluster.EndpointService.OpenWatches--
		}
	case fleet.DatagramReceived:
		if e.Subsystem == probeSubsystem {
			f.prober.OnProbeRequest(string(e.Data))
		}
	case fleet.BroadcastReceived:
		switch {
		case e.Lease == fleet.EndpointListLease:
			f.endpoints.lastUpdate = f.host.Clock()
			f.endpoints.onFleetUpdate(e.Data)
		case fleet.LeaseKind(e.Lease) == probeLeaseKind && e.From != f.Name:
			f.prober.OnProbeResult(e.Term, e.Data)
		}
	}
}
