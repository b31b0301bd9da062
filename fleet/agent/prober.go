package agent

import (
	"errors"
	"sync"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Prober lets one front of a fleet run a group's health checks for all. It stands before the pools of connections to servers and
// looks at nothing but probes. What is probed, and when, is the routing module's decision; the holder of a group's probe lease
// broadcasts how its probes ended, and the other fronts' probes are answered from that.
type Prober struct {
	pools front.Pools       // set by Connect, as is post
	post  func(front.Event) // sends an event to the front's core

	Broadcast    func(leaseName string, data []byte) bool // sends a broadcast under a lease, where this front holds it
	DeclareLease func(leaseName string)                   // declares a lease
	Now          func() time.Duration                     // the front's clock in the fleet
	After        func(d time.Duration, call func())       // never calls within the call itself
	RequestProbe func(front, server string)               // asks another front to probe a server; unreliable
	probeTimeout time.Duration                            // after which the core ends a probe by itself

	mu      sync.Mutex // guards the fields below
	cache   *fleet.ProbeCache[waitingProbe]
	servers serverTable
	leases  probeLeases
	pending map[*front.Attempt]probedServer // own probes as the leaseholder, not answered yet
}

// waitingProbe is the core's probe of a server that waits for another front's result.
type waitingProbe struct {
	server    int // the core's index
	attempt   *front.Attempt
	startedAt time.Duration
}

var (
	// errSharedProbe is the cause of a probe's failure that another front's probe showed.
	errSharedProbe = errors.New("probe of another front failed")
	// errProbePending is the cause of a probe's end that waited for another front's until too little time was left.
	errProbePending = errors.New("probe of another front is pending")
)

// waitFraction is the part of a probe's timeout for which it waits for a result, twice that while the other front's probe is
// pending: less than half, so that it ends before the core takes its silence for the server's.
const waitFraction = 2.0 / 5

// NewProber makes a Prober for a fleet's lease duration; probeTimeout is how long the core waits for a probe.
func NewProber(leaseDuration, probeTimeout time.Duration) *Prober {
	return &Prober{
		After:        func(d time.Duration, call func()) { time.AfterFunc(d, call) },
		probeTimeout: probeTimeout,
		cache:        fleet.NewProbeCache[waitingProbe](leaseDuration, time.Duration(waitFraction*float64(probeTimeout))),
		servers:      serverTable{byAddress: map[string]probedServer{}, groups: map[int64]bool{}},
		leases:       probeLeases{own: map[string]bool{}, holders: map[string]string{}, isolated: true},
		pending:      map[*front.Attempt]probedServer{},
	}
}

// Connect puts the prober between a front's core and its pools, and returns the pools that the core is made with. newPools makes the
// pools that the prober stands before: they, and whoever follows the endpoint list, tell what happens to observe. post sends an event
// to the core. The error is that of newPools.
func (p *Prober) Connect(post func(front.Event), newPools func(observe func(front.Event)) (front.Pools, error)) (front.Pools, error) {
	p.post = post
	pools, err := newPools(p.OnFrontEvent)
	if err != nil {
		return nil, err
	}
	p.pools = pools
	return p, nil
}

// SetAddress implements front.Pools.
func (p *Prober) SetAddress(server int, address string, age time.Duration) {
	p.mu.Lock()
	for len(p.servers.addresses) <= server {
		p.servers.addresses = append(p.servers.addresses, "")
	}
	p.servers.addresses[server] = address
	p.mu.Unlock()
	p.pools.SetAddress(server, address, age)
}

// Remove implements front.Pools.
func (p *Prober) Remove(server int) { p.pools.Remove(server) }

// Send implements front.Pools. A probe is sent, answered with another front's result, or held back until that comes.
func (p *Prober) Send(server int, attempt *front.Attempt) {
	if _, probe := attempt.Forwarded(); !probe {
		p.pools.Send(server, attempt)
		return
	}
	p.mu.Lock() // the core must not wait for the mesh: the state as of the fleet's last event is enough here
	target, ok := p.servers.byAddress[p.servers.addresses[server]]
	leaseName := fleet.ProbeLease(target.group)
	ours := ok && p.leases.own[leaseName]
	holder := p.leases.holders[leaseName]
	decision, result := p.cache.Decide(p.Now(), target.name, waitingProbe{server, attempt, p.Now()}, ok && !ours && holder != "" && !p.leases.isolated)
	if ours {
		p.pending[attempt] = target
		p.cache.AcceptRequest(p.Now(), target.name)
	}
	p.mu.Unlock()
	switch decision {
	case fleet.ProbeNow:
		p.pools.Send(server, attempt)
		if ours {
			p.After(p.probeTimeout/4, func() { p.publishResult(attempt, fleet.ProbeResult{Pending: true}) })
			p.After(p.probeTimeout, func() { p.publishResult(attempt, fleet.ProbeResult{}) }) // no answer
		}
	case fleet.UseResult:
		p.After(0, func() { p.post(probeFinished(attempt, result)) }) // the caller is the core, which reads what is posted
	case fleet.AwaitResult:
		p.After(0, func() { p.RequestProbe(holder, target.name) })
		p.After(p.cache.MaxWait, p.endWaits)
		p.After(2*p.cache.MaxWait, p.endWaits)
	}
}

// endWaits ends the waits of the probes for which no result came in time. They are sent, or end as not sent where they have waited so
// long, for another front's pending probe, that the server could not answer in the time that is left.
func (p *Prober) endWaits() {
	p.mu.Lock()
	now := p.Now()
	expired := p.cache.Expired(now)
	p.mu.Unlock()
	for _, probe := range expired {
		if now-probe.startedAt < 2*p.cache.MaxWait {
			p.pools.Send(probe.server, probe.attempt)
			continue
		}
		p.post(&front.AttemptFinished{Attempt: probe.attempt, Err: &front.ConnectionError{Stage: front.StageLocal, Err: errProbePending}})
	}
}

// OnFrontEvent passes an event on to the core, and takes from it the endpoint list and how own probes ended.
func (p *Prober) OnFrontEvent(e front.Event) {
	switch e := e.(type) {
	case front.EndpointsChanged:
		p.onList(e.List)
	case *front.AttemptFinished:
		if _, probe := e.Attempt.Forwarded(); probe {
			result, known := probeResult(e) // first: the core releases the answer
			p.post(e)
			if known {
				p.publishResult(e.Attempt, result)
			} else {
				p.forget(e.Attempt)
			}
			return
		}
	}
	p.post(e)
}

// probeResult is how an own probe ended. known is false where this machine could not send it, from which nothing is learnt of its server.
func probeResult(e *front.AttemptFinished) (result fleet.ProbeResult, known bool) {
	if e.Err != nil {
		return fleet.ProbeResult{ConnectionLost: e.Err.Stage == front.StageRead}, e.Err.Stage != front.StageLocal
	}
	result = fleet.ProbeResult{Healthy: e.Answer.Code == "" && e.Answer.Complete, Code: e.Answer.Code}
	if result.Healthy {
		result.Role = claimedRole(&e.Answer)
	}
	return result, true
}

// forget drops a pending probe, of which nothing is published any more.
func (p *Prober) forget(attempt *front.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, attempt)
}

// OnFleetEvent handles an event of the fleet; self is this front's name.
func (p *Prober) OnFleetEvent(e fleet.Event, self string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases.onEvent(e, self)
}

func (p *Prober) onList(l discovery.List) {
	p.mu.Lock()
	newGroups := p.servers.add(l)
	p.mu.Unlock()
	for _, g := range newGroups {
		p.DeclareLease(fleet.ProbeLease(g))
	}
}

// publishResult broadcasts that a probe is pending, and how it ended, each once.
func (p *Prober) publishResult(attempt *front.Attempt, result fleet.ProbeResult) {
	p.mu.Lock()
	target, ok := p.pending[attempt]
	if !result.Pending {
		delete(p.pending, attempt)
	}
	p.mu.Unlock()
	if ok {
		result.Server = target.name
		p.Broadcast(fleet.ProbeLease(target.group), result.Encode())
	}
}

// OnProbeRequest handles another front's request to probe a server: the routing module is asked to, unless it just did.
func (p *Prober) OnProbeRequest(server string) {
	p.mu.Lock()
	ours := false
	for _, s := range p.servers.byAddress {
		ours = ours || s.name == server && p.leases.own[fleet.ProbeLease(s.group)]
	}
	accepted := ours && p.cache.AcceptRequest(p.Now(), server)
	p.mu.Unlock()
	if accepted {
		p.post(front.HealthCheckRequested{Server: server})
	}
}

// OnProbeResult handles the result that a leaseholder broadcast in a term of its lease.
func (p *Prober) OnProbeResult(term uint64, data []byte) {
	result, ok := fleet.DecodeProbeResult(data)
	if !ok {
		return
	}
	p.mu.Lock()
	waited := p.cache.AddResult(p.Now(), term, result)
	p.mu.Unlock()
	for _, probe := range waited {
		if result.Answers() {
			p.post(probeFinished(probe.attempt, result))
		} else {
			p.pools.Send(probe.server, probe.attempt)
		}
	}
}

// AvoidedProbes is how many probes were answered from another front's result.
func (p *Prober) AvoidedProbes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.ProbesAvoided
}

// claimedRole is the role that a load report claims for its server.
func claimedRole(answer *pgwire.QueryResult) fleet.ClaimedRole {
	report := deployment.EmptyLoad
	if !pgwire.ParseLoadReport(answer.Value(), func(name string, v float64) { deployment.SetLoadField(&report, name, v, 0) }) {
		return fleet.ClaimedUnknown
	}
	switch report.Role {
	case routing.Primary:
		return fleet.ClaimedPrimary
	case routing.Replica:
		return fleet.ClaimedReplica
	}
	return fleet.ClaimedUnknown
}

// probeFinished is a shared result as the end of a probe: without position, role or load, whatever the leaseholder received.
func probeFinished(attempt *front.Attempt, result fleet.ProbeResult) *front.AttemptFinished {
	switch {
	case result.Healthy:
		return &front.AttemptFinished{Attempt: attempt, Answer: pgwire.SingleValueResult(nil)}
	case result.Code != "":
		return &front.AttemptFinished{Attempt: attempt, Answer: pgwire.QueryResult{Code: result.Code}}
	case result.ConnectionLost:
		return &front.AttemptFinished{Attempt: attempt, Err: &front.ConnectionError{Stage: front.StageRead, Err: errSharedProbe}}
	}
	return &front.AttemptFinished{Attempt: attempt, Err: &front.ConnectionError{Stage: front.StageDial, Err: errSharedProbe}}
}
