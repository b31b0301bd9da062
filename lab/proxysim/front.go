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

// probeSubsystem and probeLeaseKind are the names under which probers of a fleet exchange datagrams and hold leases.
const probeSubsystem, probeLeaseKind = "scout", "scout"

// Front is one instance of the service.
type Front struct {
	Name      string
	Core      *front.Core
	Received  map[string]int // requests, by type
	Succeeded map[string]int // requests, by type
	VersionFaults

	cluster      *Cluster
	host         *fleetsim.Host
	ordinal      int
	prober       *agent.Prober // nil without a fleet, as is endpointList
	endpointList *fleet.EndpointList
	endpoints    *endpointSource
	frontProcess
	frontRollout
}

// frontProcess is the state of a front's process.
type frontProcess struct {
	incarnation int
	startedAt   time.Duration     // virtual time
	timerAt     time.Duration     // of the Core's timer, by the host's clock; -1 for none
	stepping    bool              // within Core.Step
	observe     func(front.Event) // takes what servers and the endpoint list tell; see connectPools
}

// start starts the front's process on its host, whose node, if any, is new.
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
		f.host.After(0, f.checkFleetUpdates)
	}
}

// connectPools returns the Core's pools, and sets observe: the prober of a fleet is between the two.
func (f *Front) connectPools() front.Pools {
	newPools := func(observe func(front.Event)) (front.Pools, error) {
		f.observe = observe
		return &serverPools{front: f}, nil
	}
	if f.host.Node == nil {
		pools, _ := newPools(f.post) // never fails
		return pools
	}
	pools, _ := f.prober.Connect(f.post, newPools)
	return pools
}

// startProber makes the prober of a fleet.
func (f *Front) startProber(dialTimeout time.Duration) {
	p := agent.NewProber(f.cluster.Timing.LeaseDuration, dialTimeout)
	p.Now = f.host.Clock
	p.RequestProbe = func(to, server string) {
		f.host.Do(func(n *fleet.Node, now time.Duration) { n.SendDatagram(now, to, probeSubsystem, []byte(server)) })
	}
	p.After = func(d time.Duration, call func()) { f.host.After(d, func(time.Duration) { call() }) }
	p.DeclareLease = func(lease string) { f.host.Node.DeclareLease(lease, 0) }
	p.Broadcast = func(lease string, data []byte) (ok bool) {
		f.host.Do(func(n *fleet.Node, now time.Duration) { ok = n.Broadcast(now, lease, data) })
		return ok
	}
	f.prober = p
}

// post gives the Core an event and lets it work.
func (f *Front) post(e front.Event) {
	f.Core.Post(e)
	f.step()
}

// step runs the Core and sets its timer.
func (f *Front) step() {
	if f.stepping { // an event of this very step: it is processed after it
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

// onFleetEvent distributes an event of the fleet's node, as fleet/agent does.
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
