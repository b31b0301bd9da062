package agent

import (
	"errors"
	"sync"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/pgwire"
)

// Prober lets one front of a fleet probe a group's servers for all. It stands before the links to servers and looks at nothing but
// probes. What is probed, and when, the decision module says; the holder of the lease scout/GROUP broadcasts how its probes ended.
type Prober struct {
	front.Pools
	Post         func(front.Event)                        // hands an event to the front's core
	Broadcast    func(leaseName string, data []byte) bool // sends a broadcast under a lease, where this front holds it
	DeclareLease func(leaseName string)                   // declares a lease
	Now          func() time.Duration                     // the front's clock in the fleet
	After        func(d time.Duration, call func())       // never calls within the call itself
	RequestProbe func(front, server string)               // asks another front to probe a server; unreliable
	probeTimeout time.Duration                            // after which the core ends a probe by itself

	mu            sync.Mutex
	cache         *fleet.ProbeCache[*front.Attempt]
	addresses     []string // by the core's index of servers
	servers       map[string]probedServer
	groups        map[int64]bool
	ownLeases     map[string]bool   // that this front holds
	leaseholders  map[string]string // other fronts, by lease
	isolated      bool
	pendingProbes map[*front.Attempt]probedServer // own probes as the leaseholder, not answered yet
}

// probedServer is a server as the endpoint list names it.
type probedServer struct {
	name  string
	group int64
}

var errProbeResult = errors.New("a scout found it so")

// NewProber makes a Prober for a fleet's lease duration; probeTimeout is how long the core waits for a probe.
func NewProber(leaseDuration, probeTimeout time.Duration) *Prober {
	return &Prober{probeTimeout: probeTimeout, After: func(d time.Duration, call func()) { time.AfterFunc(d, call) },
		cache: fleet.NewProbeCache[*front.Attempt](leaseDuration, probeTimeout/2), servers: map[string]probedServer{}, groups: map[int64]bool{},
		ownLeases: map[string]bool{}, leaseholders: map[string]string{}, isolated: true, pendingProbes: map[*front.Attempt]probedServer{}}
}

// SetAddress implements front.Links.
func (s *Prober) SetAddress(server int, address string, age time.Duration) {
	s.mu.Lock()
	for len(s.addresses) <= server {
		s.addresses = append(s.addresses, "")
	}
	s.addresses[server] = address
	s.mu.Unlock()
	s.Pools.SetAddress(server, address, age)
}

// Send implements front.Links.
func (s *Prober) Send(server int, sub *front.Attempt) {
	if _, probe := sub.Forwarded(); !probe {
		s.Pools.Send(server, sub)
		return
	}
	s.mu.Lock() // the core must not wait for the mesh: what the fleet's events said last is enough here
	m, ok := s.servers[s.addresses[server]]
	leaseName := fleet.ProbeLease(m.group)
	ours := ok && s.ownLeases[leaseName]
	prober := s.leaseholders[leaseName]
	what, result := s.cache.Decide(s.Now(), m.name, sub, ok && !ours && prober != "" && !s.isolated)
	if ours {
		s.pendingProbes[sub] = m
		s.cache.AcceptRequest(s.Now(), m.name)
	}
	s.mu.Unlock()
	switch what {
	case fleet.ProbeNow:
		s.Pools.Send(server, sub)
		if ours {
			s.After(s.probeTimeout/4, func() { s.publishResult(sub, fleet.ProbeResult{Pending: true}) })
			s.After(s.probeTimeout, func() { s.publishResult(sub, fleet.ProbeResult{}) }) // no answer
		}
	case fleet.UseResult:
		s.After(0, func() { s.Post(endOf(sub, result)) }) // the caller is the core, which reads what is posted
	case fleet.AwaitResult:
		s.After(0, func() { s.RequestProbe(prober, m.name) })
		due := func() {
			s.mu.Lock()
			due := s.cache.Expired(s.Now())
			s.mu.Unlock()
			for _, sub := range due {
				s.Pools.Send(server, sub)
			}
		}
		s.After(s.cache.MaxWait, due)
		s.After(2*s.cache.MaxWait, due)
	}
}

// OnFrontEvent sees what is posted to the core: the list, and how own probes end.
func (s *Prober) OnFrontEvent(e front.Event) {
	switch e := e.(type) {
	case front.EndpointsChanged:
		s.onList(e.List)
	case *front.AttemptFinished:
		if _, probe := e.Attempt.Forwarded(); probe {
			l := fleet.ProbeResult{Healthy: e.Err == nil && e.Answer.Code == "" && e.Answer.Complete, Code: e.Answer.Code}
			l.ConnectionLost = e.Err != nil && e.Err.Stage == front.StageRead
			s.Post(e)
			s.publishResult(e.Attempt, l)
			return
		}
	}
	s.Post(e)
}

// OnFleetEvent handles an event of the fleet; self is this front's name.
func (s *Prober) OnFleetEvent(e fleet.Event, self string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		s.ownLeases[e.Lease] = true
	case fleet.LeaseEnded:
		delete(s.ownLeases, e.Lease)
	case fleet.LeaseGranted:
		if s.leaseholders[e.Lease] = e.Leaseholder; e.Leaseholder == "" || e.Leaseholder == self {
			delete(s.leaseholders, e.Lease)
		}
	case fleet.FleetLost, fleet.FrontDisplaced:
		s.isolated = true
	case fleet.FleetReached:
		s.isolated = false
	}
}

func (s *Prober) onList(l discovery.List) {
	var fresh []int64
	s.mu.Lock()
	for _, e := range l.Endpoints {
		if e.Address == "" {
			continue
		}
		s.servers[e.Address] = probedServer{e.Name, e.Group}
		if !s.groups[e.Group] {
			s.groups[e.Group] = true
			fresh = append(fresh, e.Group)
		}
	}
	s.mu.Unlock()
	for _, g := range fresh {
		s.DeclareLease(fleet.ProbeLease(g))
	}
}

// publishResult broadcasts that a probe is pending, and how it ended, each once.
func (s *Prober) publishResult(sub *front.Attempt, l fleet.ProbeResult) {
	s.mu.Lock()
	m, ok := s.pendingProbes[sub]
	if !l.Pending {
		delete(s.pendingProbes, sub)
	}
	s.mu.Unlock()
	if ok {
		l.Server = m.name
		s.Broadcast(fleet.ProbeLease(m.group), l.Encode())
	}
}

// OnProbeRequest handles another front's request to probe a server: the decision module is asked to, unless it just did.
func (s *Prober) OnProbeRequest(server string) {
	s.mu.Lock()
	ask := false
	for _, m := range s.servers {
		ask = ask || m.name == server && s.ownLeases[fleet.ProbeLease(m.group)]
	}
	ask = ask && s.cache.AcceptRequest(s.Now(), server)
	s.mu.Unlock()
	if ask {
		s.Post(front.HealthCheckRequested{Server: server})
	}
}

// OnProbeResult handles another prober's result.
func (s *Prober) OnProbeResult(term uint64, data []byte) {
	l, ok := fleet.DecodeProbeResult(data)
	if !ok {
		return
	}
	s.mu.Lock()
	answers := s.cache.AddResult(s.Now(), term, l)
	s.mu.Unlock()
	for _, sub := range answers {
		s.Post(endOf(sub, l))
	}
}

// AvoidedProbes is how many probes a result made needless.
func (s *Prober) AvoidedProbes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.ProbesAvoided
}

// endOf is a result as the end of a probe: without position, role or load, whatever the prober received.
func endOf(sub *front.Attempt, l fleet.ProbeResult) *front.AttemptFinished {
	switch {
	case l.Healthy:
		return &front.AttemptFinished{Attempt: sub, Answer: pgwire.SingleValueResult(nil)}
	case l.Code != "":
		return &front.AttemptFinished{Attempt: sub, Answer: pgwire.QueryResult{Code: l.Code}}
	case l.ConnectionLost:
		return &front.AttemptFinished{Attempt: sub, Err: &front.ConnectionError{Stage: front.StageRead, Err: errProbeResult}}
	}
	return &front.AttemptFinished{Attempt: sub, Err: &front.ConnectionError{Stage: front.StageDial, Err: errProbeResult}}
}
