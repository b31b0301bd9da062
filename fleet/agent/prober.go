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

// Prober lets one front of a fleet run the health checks of a group for all fronts. It sits between the front's core and its connection
// pools, and intercepts only probes. The routing module decides which servers are probed, and when. The holder of a group's probe lease
// broadcasts the results of its probes, and the other fronts answer their own probes from these results. If no result arrives in time, a
// front sends its own probe after all, or ends it as not sent if too little time is left for an answer.
type Prober struct {
	pools front.Pools       // set by Connect, like post
	post  func(front.Event) // sends an event to the front's core

	Broadcast    func(leaseName string, data []byte) bool // sends a broadcast under a lease; false if this front does not hold it
	DeclareLease func(leaseName string)                   // declares a lease
	Now          func() time.Duration                     // the front's clock in the fleet
	After        func(d time.Duration, call func())       // calls a function after a delay, never synchronously
	RequestProbe func(front, server string)               // asks another front to probe a server; the request may be lost
	probeTimeout time.Duration                            // after this time the core itself ends a probe

	mu      sync.Mutex // guards the fields below
	cache   *fleet.ProbeCache[waitingProbe]
	servers serverTable
	leases  probeLeases
	pending map[*front.Attempt]probedServer // this front's unanswered probes of servers whose probe lease it holds
}

// waitingProbe is a probe from this front's core that waits for the result of another front's probe.
type waitingProbe struct {
	server    int // index of the server in the core
	attempt   *front.Attempt
	startedAt time.Duration
}

var (
	// errSharedProbe is the error of a probe that is answered with the failure of another front's probe.
	errSharedProbe = errors.New("probe of another front failed")
	// errProbePending is the error of a probe that waited for the result of another front's probe until too little time was left to send
	// it.
	errProbePending = errors.New("probe of another front is pending")
)

// waitFraction is the fraction of a probe's timeout for which the probe waits for a shared result. It waits twice as long while the other
// front's probe is pending. The fraction is less than half, so that the wait ends before the core's timeout, which would count as a
// failure of the server.
const waitFraction = 2.0 / 5

// NewProber returns a Prober. The fields Broadcast, DeclareLease, Now and RequestProbe must be set before use. leaseDuration is the fleet's
// lease duration: for that long, the failure of another front's probe is used in place of own probes. probeTimeout is how long the core
// waits for a probe. A probe waits for another front's result for the part waitFraction of it.
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

// Connect places the prober between a front's core and its pools, and returns the pools to create the core with. post sends an event to
// the core. newPools creates the pools behind the prober; they, and whoever follows the endpoint list, must report their events to
// observe. The error is that of newPools.
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

// Send implements front.Pools. Requests are passed on. A probe is sent, answered from another front's result, or held back until that
// result arrives.
func (p *Prober) Send(server int, attempt *front.Attempt) {
	if _, probe := attempt.Forwarded(); !probe {
		p.pools.Send(server, attempt)
		return
	}
	p.mu.Lock() // not the mesh's lock, for which the core must not wait: the state as of the last fleet event is sufficient
	target, ok := p.servers.byAddress[p.servers.addresses[server]]
	leaseName := fleet.ProbeLease(target.group)
	holdsLease := ok && p.leases.own[leaseName]
	holder := p.leases.holders[leaseName]
	decision, result := p.cache.Decide(p.Now(), target.name, waitingProbe{server, attempt, p.Now()}, ok && !holdsLease && holder != "" && !p.leases.isolated)
	if holdsLease {
		p.pending[attempt] = target
		p.cache.AcceptRequest(p.Now(), target.name)
	}
	p.mu.Unlock()
	switch decision {
	case fleet.ProbeNow:
		p.pools.Send(server, attempt)
		if holdsLease {
			p.After(p.probeTimeout/4, func() { p.publishResult(attempt, fleet.ProbeResult{Pending: true}) })
			p.After(p.probeTimeout, func() { p.publishResult(attempt, fleet.ProbeResult{}) }) // no answer within the timeout
		}
	case fleet.UseResult:
		p.After(0, func() { p.post(probeFinished(attempt, result)) }) // asynchronous: the caller is the core, which handles the event
	case fleet.AwaitResult:
		p.After(0, func() { p.RequestProbe(holder, target.name) })
		p.After(p.cache.MaxWait, p.expireWaits)
		p.After(p.cache.LongestWait(), p.expireWaits)
	}
}

// expireWaits ends the wait of probes for which no result arrived in time, and sends them. A probe that waited for LongestWait because
// another front's probe was pending has too little time left for the server to answer. It ends as not sent.
func (p *Prober) expireWaits() {
	p.mu.Lock()
	now := p.Now()
	expired := p.cache.Expired(now)
	p.mu.Unlock()
	for _, probe := range expired {
		if now-probe.startedAt < p.cache.LongestWait() {
			p.pools.Send(probe.server, probe.attempt)
			continue
		}
		p.post(&front.AttemptFinished{Attempt: probe.attempt, Err: &front.ConnectionError{Stage: front.StageLocal, Err: errProbePending}})
	}
}

// OnFrontEvent passes an event on to the core. Before that it takes the endpoint list from it, or the result of one of this front's own
// probes.
func (p *Prober) OnFrontEvent(e front.Event) {
	switch e := e.(type) {
	case front.EndpointsChanged:
		p.onEndpointList(e.List)
	case *front.AttemptFinished:
		if _, probe := e.Attempt.Forwarded(); probe {
			result, known := probeResult(e) // computed first, since the core releases the answer
			p.post(e)
			if known {
				p.publishResult(e.Attempt, result)
			} else {
				p.dropPending(e.Attempt)
			}
			return
		}
	}
	p.post(e)
}

// probeResult returns the result of this front's own probe. known is false if this machine could not send the probe, which says nothing
// about the server.
func probeResult(e *front.AttemptFinished) (result fleet.ProbeResult, known bool) {
	if e.Err != nil {
		return fleet.ProbeResult{ConnectionLost: e.Err.Stage == front.StageRead}, e.Err.Stage != front.StageLocal
	}
	result = fleet.ProbeResult{Healthy: e.Result.Code == "" && e.Result.Complete, Code: e.Result.Code}
	if result.Healthy {
		result.Role = claimedRole(&e.Result)
	}
	return result, true
}

// dropPending drops a pending probe without publishing a result.
func (p *Prober) dropPending(attempt *front.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, attempt)
}

// OnFleetEvent handles an event of the fleet; self is the name of this front.
func (p *Prober) OnFleetEvent(e fleet.Event, self string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases.onEvent(e, self)
}

// onEndpointList records the servers of an endpoint list, and declares the probe leases of new groups.
func (p *Prober) onEndpointList(l discovery.List) {
	p.mu.Lock()
	newGroups := p.servers.add(l)
	p.mu.Unlock()
	for _, g := range newGroups {
		p.DeclareLease(fleet.ProbeLease(g))
	}
}

// publishResult broadcasts the result of a pending probe, or that it is still pending. It does nothing once the result is published or
// the probe is dropped.
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

// OnProbeRequest handles another front's request to probe a server. It passes the request on to the routing module, if this front holds
// the probe lease of the server's group and no probe was requested recently.
func (p *Prober) OnProbeRequest(server string) {
	p.mu.Lock()
	holdsLease := false
	for _, s := range p.servers.byAddress {
		holdsLease = holdsLease || s.name == server && p.leases.own[fleet.ProbeLease(s.group)]
	}
	accepted := holdsLease && p.cache.AcceptRequest(p.Now(), server)
	p.mu.Unlock()
	if accepted {
		p.post(front.HealthCheckRequested{Server: server})
	}
}

// OnProbeResult handles a probe result that the holder of a probe lease broadcast; term is the term of that lease.
func (p *Prober) OnProbeResult(term uint64, data []byte) {
	result, ok := fleet.DecodeProbeResult(data)
	if !ok {
		return
	}
	p.mu.Lock()
	waited := p.cache.AddResult(p.Now(), term, result)
	p.mu.Unlock()
	for _, probe := range waited {
		if result.ReplacesProbe() {
			p.post(probeFinished(probe.attempt, result))
		} else {
			p.pools.Send(probe.server, probe.attempt)
		}
	}
}

// AvoidedProbes returns how many probes were answered from results of other fronts.
func (p *Prober) AvoidedProbes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.ProbesAvoided
}

// claimedRole returns the role that a server claims in its load report.
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

// probeFinished returns the event that ends a probe with a shared result. It carries no position, role or load, whatever the leaseholder
// received.
func probeFinished(attempt *front.Attempt, result fleet.ProbeResult) *front.AttemptFinished {
	switch {
	case result.Healthy:
		return &front.AttemptFinished{Attempt: attempt, Result: pgwire.SingleValueResult(nil)}
	case result.Code != "":
		return &front.AttemptFinished{Attempt: attempt, Result: pgwire.QueryResult{Code: result.Code}}
	case result.ConnectionLost:
		return &front.AttemptFinished{Attempt: attempt, Err: &front.ConnectionError{Stage: front.StageRead, Err: errSharedProbe}}
	}
	return &front.AttemptFinished{Attempt: attempt, Err: &front.ConnectionError{Stage: front.StageDial, Err: errSharedProbe}}
}
