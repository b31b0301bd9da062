package router_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/router"
	"dapplerouter/routing"
)

var updateActions = flag.Bool("update-actions", false, "rewrite testdata/actions.txt after an intended change of decisions")

const (
	recordedSeeds = 48
	recordedSteps = 1500
	actionsFile   = "testdata/actions.txt"
)

// Guards against unintended changes of the Router's decisions. Each seed is a random deployment and a random sequence
// of events. The file holds a digest of the resulting actions for each seed. A commit that only moves code leaves the
// file unchanged. A commit that changes decisions rewrites the file and says so. The digests hold for amd64, where a
// product and a sum are rounded separately. ROUTER_ACTIONS=DIR writes the actions themselves, so that two revisions can
// be compared by diff.
func TestActionsAreAsRecorded(t *testing.T) {
	var digests strings.Builder
	for seed := range uint64(recordedSeeds) {
		sim := simulate(seed)
		if dir := os.Getenv("ROUTER_ACTIONS"); dir != "" {
			require.NoError(t, os.WriteFile(fmt.Sprintf("%s/%d.txt", dir, seed), []byte(sim.actions.String()), 0o600))
		}
		digest := sha256.Sum256([]byte(sim.actions.String()))
		fmt.Fprintf(&digests, "%d %x submitted %d declined %d rolled-back %d revoked %d probed %d forgotten %d\n", seed, digest[:12],
			sim.counts["submit"], sim.counts["decline"], sim.counts["roll-back"], sim.counts["revoke"], sim.counts["probe"], sim.counts["forget"])
	}
	if *updateActions {
		require.NoError(t, os.WriteFile(actionsFile, []byte(digests.String()), 0o600))
	}
	recorded, err := os.ReadFile(actionsFile)
	require.NoError(t, err)
	assert.Equal(t, string(recorded), digests.String())
}

// simulation is the host of one instance, with simulated servers and clients.
type simulation struct {
	router   routing.Router
	random   *rand.Rand
	now      time.Duration
	timerAt  time.Duration
	types    []routing.RequestType
	servers  []server
	slots    []slot
	inFlight []attempt
	checks   []healthCheck
	actions  strings.Builder
	counts   map[string]int
}

// server is a simulated server.
type server struct {
	group   int
	primary bool
	state   routing.ServerState
	faulty  bool          // fails half of its attempts and health checks
	lag     time.Duration // log position behind the primary's
}

// slot holds the current request of a slot.
type slot struct {
	generation uint32
	write      bool
	inUse      bool
	finished   bool
	receivedAt time.Duration
	timeout    time.Duration
	attempts   int
	inFlight   int
}

// attempt is an attempt in flight.
type attempt struct {
	ref           routing.RequestRef
	attemptNumber int
	server        int
	sent          time.Duration
	due           time.Duration
	result        routing.AttemptResult
}

// healthCheck is a health check in flight.
type healthCheck struct {
	server int
	sent   time.Duration
	due    time.Duration
}

const (
	simulatedGroups    = 3
	simulatedGroupSize = 4
	simulatedSlots     = 40
)

// simulate runs recordedSteps steps of the deployment and events that the seed determines.
func simulate(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{random: random, slots: make([]slot, simulatedSlots), counts: map[string]int{}, types: simulatedTypes()}
	topology := routing.Topology{ZoneCount: 2, Zone: int(seed % 2), FleetSize: 1 + random.IntN(20), TickInterval: 5 * time.Millisecond, PullEndpoints: sim.chance(0.3),
		RetriesMarked: sim.chance(0.5), RoleListing: routing.RoleListing(random.IntN(3))}
	replication := routing.Replication{StalenessCheck: routing.StalenessCheck(seed % 3), FreshnessWait: 50 * time.Millisecond, ClientCarriesToken: sim.chance(0.3), PositionInResponses: sim.chance(0.7)}
	replication.LoadInResponses = !replication.PositionInResponses
	rules := routing.DeploymentRules{DeadlineGrace: 20 * time.Millisecond, DrainGrace: time.Second, MaxPollInterval: 10 * time.Second,
		InitialCapacity: 0.2, OverloadMultiple: 2.5, SlowStartDuration: 4 * time.Second, OverloadWindow: time.Second}
	limits := routing.Limits{MaxAttempts: 2 + random.IntN(6), HealthChecks: sim.chance(0.7), Cancellation: sim.chance(0.7), MaxRetryAfter: 400 * time.Millisecond,
		IdleConnTimeout: time.Second}
	sim.router = router.New(sim, routing.Options{Seed: seed, Topology: topology, RequestTypes: sim.types, Replication: replication, DeploymentRules: rules, Limits: limits})
	for i := range simulatedGroups * simulatedGroupSize {
		sim.servers = append(sim.servers, server{group: i / simulatedGroupSize, primary: i%simulatedGroupSize == 0, lag: time.Duration(random.IntN(200)) * time.Millisecond})
	}
	sim.updateEndpoints(routing.CachedSnapshot)
	for range recordedSteps {
		sim.step()
	}
	return sim
}

// simulatedTypes returns a request type of each consistency level, and a write of each idempotency level.
func simulatedTypes() (all []routing.RequestType) {
	for _, level := range []routing.Consistency{routing.Eventual, routing.BoundedStaleness, routing.ReadYourWrites, routing.Strong} {
		all = append(all, routing.RequestType{LatencyObjective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, PriorityWeight: 1, Consistency: level, MaxStaleness: 300 * time.Millisecond,
			LateFraction: float64(level%2) / 2})
	}
	for _, effect := range []routing.Idempotency{routing.Idempotent, routing.IdempotencyKey, routing.NonIdempotent} {
		all = append(all, routing.RequestType{LatencyObjective: 600 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 6, LateFraction: 0.3, Consistency: routing.Write, Idempotency: effect,
			DedupScope: routing.DedupScope(effect % 3), DedupWindow: 2 * time.Second})
	}
	return all
}

// chance returns true with the given probability.
func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

// step moves the clock a little, delivers the results that are due, and generates new events.
func (sim *simulation) step() {
	sim.now += time.Duration(sim.random.IntN(12_000_000))
	if sim.chance(0.002) {
		sim.now += time.Duration(sim.random.IntN(1_000_000_000)) // simulates a stall
	}
	if sim.now >= sim.timerAt {
		sim.router.TimerFired(sim.now)
	}
	sim.outcomes()
	sim.clientsLeave()
	for range sim.random.IntN(3) {
		sim.receive()
	}
	sim.change()
	sim.router.Reconcile(sim.now)
}

// outcomes finishes the attempts and health checks that are due.
func (sim *simulation) outcomes() {
	due := sim.inFlight
	sim.inFlight = nil
	for _, a := range due {
		if a.due > sim.now {
			sim.inFlight = append(sim.inFlight, a)
			continue
		}
		s := &sim.slots[a.ref.Slot]
		s.inFlight--
		s.finished = s.finished || a.result == routing.Succeeded
		srv := &sim.servers[a.server]
		o := routing.AttemptOutcome{Ref: a.ref, AttemptNumber: a.attemptNumber, Server: a.server, Result: a.result, RequestFinished: s.finished, Latency: sim.now - a.sent, Load: sim.report(srv)}
		if answered := a.result == routing.Succeeded || a.result == routing.Misrouted; answered && sim.chance(0.8) {
			o.Role, o.Position, o.HasPosition = o.Load.Role, o.Load.Position, true
		}
		sim.router.AttemptFinished(sim.now, o)
		sim.free(s)
	}
	checks := sim.checks
	sim.checks = nil
	for _, c := range checks {
		if c.due > sim.now {
			sim.checks = append(sim.checks, c)
			continue
		}
		srv := &sim.servers[c.server]
		result := routing.Succeeded
		if srv.faulty && sim.chance(0.5) {
			result = routing.Unreachable
		}
		sim.router.HealthCheckFinished(sim.now, c.server, result, sim.now-c.sent, sim.report(srv))
	}
}

// report returns a server's load report.
func (sim *simulation) report(srv *server) routing.LoadReport {
	if srv.primary {
		return routing.LoadReport{InFlight: float64(sim.random.IntN(3)), Role: routing.Primary, Position: sim.now, HasPosition: true}
	}
	return routing.LoadReport{InFlight: float64(sim.random.IntN(3)), Role: routing.Replica, Position: sim.now - srv.lag, HasPosition: true}
}

// clientsLeave simulates clients that leave, and requests whose answers are overdue.
func (sim *simulation) clientsLeave() {
	for i := range sim.slots {
		s := &sim.slots[i]
		if s.inUse && !s.finished && (sim.now > s.receivedAt+s.timeout || sim.chance(0.0005)) {
			s.finished = true
			sim.router.ClientGone(sim.now, routing.RequestRef{Slot: uint32(i), Generation: s.generation})
			sim.free(s)
		}
	}
}

// receive delivers a new request if the randomly chosen slot is free.
func (sim *simulation) receive() {
	i := sim.random.IntN(len(sim.slots))
	s := &sim.slots[i]
	if s.inUse {
		return
	}
	ty := sim.random.IntN(len(sim.types))
	timeout := sim.types[ty].Deadline
	if sim.chance(0.1) {
		timeout /= 2
	}
	*s = slot{generation: s.generation + 1, write: sim.types[ty].Consistency == routing.Write, inUse: true, receivedAt: sim.now, timeout: timeout}
	in := routing.Request{Ref: routing.RequestRef{Slot: uint32(i), Generation: s.generation}, Type: ty, Customer: routing.None, Session: uint64(sim.random.IntN(6)),
		Group: sim.random.IntN(simulatedGroups), Timeout: timeout, MaxStaleness: sim.types[ty].MaxStaleness, DedupWindow: sim.types[ty].DedupWindow, Retry: sim.chance(0.1),
		Write: sim.types[ty].Consistency == routing.Write}
	if sim.chance(0.1) {
		in.TokenAge = time.Duration(sim.random.IntN(300)) * time.Millisecond
	}
	sim.router.RequestReceived(sim.now, in)
}

// change simulates changes of servers, primaries, the endpoint list and clocks.
func (sim *simulation) change() {
	i := sim.random.IntN(len(sim.servers))
	srv := &sim.servers[i]
	if sim.chance(0.01) {
		srv.faulty = !srv.faulty
	}
	if sim.chance(0.004) { // another server of the group becomes primary
		for j := range sim.servers {
			if sim.servers[j].group == srv.group {
				sim.servers[j].primary = j == i
			}
		}
	}
	if sim.chance(0.02) {
		srv.state = routing.ServerState(sim.random.IntN(4))
		sim.updateEndpoints(routing.Delta, i)
	}
	if sim.chance(0.01) {
		srv.state = routing.Serving
		sim.updateEndpoints(routing.Delta, i)
	}
	if sim.chance(0.004) {
		sim.updateEndpoints(routing.Snapshot)
	}
	if sim.chance(0.004) {
		sim.router.EndpointsChanged(sim.now, routing.UpdateFailed, 1, nil)
	}
	if sim.chance(0.002) {
		sim.router.ClockCorrected(sim.now, time.Duration(sim.random.IntN(4000)-2000)*time.Millisecond)
	}
}

// updateEndpoints lists the given servers, or all servers if none is given.
func (sim *simulation) updateEndpoints(kind routing.UpdateKind, which ...int) {
	var entries []routing.Endpoint
	for i, srv := range sim.servers {
		included := len(which) == 0 || which[0] == i
		if !included || kind != routing.Delta && srv.state == routing.Removed {
			continue
		}
		e := routing.Endpoint{Server: i, Zone: i % 2, Group: srv.group, State: srv.state, Weight: 1, Primary: srv.primary}
		if sim.chance(0.2) {
			e.StartedAt, e.HasStartTime = sim.now-time.Duration(sim.random.IntN(5000))*time.Millisecond, true
		}
		entries = append(entries, e)
	}
	sim.router.EndpointsChanged(sim.now, kind, 1, entries)
}

// free frees a slot once its request has ended and no attempt is in flight.
func (sim *simulation) free(s *slot) { s.inUse = s.inUse && (!s.finished || s.inFlight > 0) }

// act records an action. The words for the kinds of action are part of the recorded digests.
func (sim *simulation) act(what, format string, args ...any) {
	sim.counts[what]++
	fmt.Fprintf(&sim.actions, "%v %s "+format+"\n", append([]any{sim.now, what}, args...)...)
}

// StartAttempt implements routing.Host, as do the methods below.
func (sim *simulation) StartAttempt(ref routing.RequestRef, server int, timeout time.Duration) {
	sim.act("submit", "%v to %d within %v", ref, server, timeout)
	s, srv := &sim.slots[ref.Slot], &sim.servers[server]
	latency := time.Duration(sim.random.ExpFloat64() * 40 * float64(time.Millisecond))
	result := routing.Succeeded
	write := s.write
	switch chance := sim.random.Float64(); {
	case srv.faulty && chance < 0.5:
		result = []routing.AttemptResult{routing.ServerError, routing.Overloaded, routing.TimedOut, routing.Unreachable, routing.ConnectionLost, routing.NotSent}[sim.random.IntN(6)]
	case chance < 0.03 || write && !srv.primary:
		result = routing.Misrouted
	case chance < 0.05:
		result = []routing.AttemptResult{routing.ServerError, routing.Overloaded, routing.TimedOut, routing.Unreachable, routing.ConnectionLost, routing.NotSent}[sim.random.IntN(6)]
	}
	if result == routing.TimedOut {
		latency += 500 * time.Millisecond
	}
	sim.inFlight = append(sim.inFlight, attempt{ref: ref, attemptNumber: s.attempts, server: server, sent: sim.now, due: sim.now + latency, result: result})
	s.attempts++
	s.inFlight++
}

func (sim *simulation) CancelAttempt(ref routing.RequestRef, attemptNumber int) {
	sim.act("revoke", "%v %d", ref, attemptNumber)
	for i := range sim.inFlight {
		if a := &sim.inFlight[i]; a.ref == ref && a.attemptNumber == attemptNumber {
			a.due, a.result = sim.now+time.Millisecond, routing.Cancelled
		}
	}
}

func (sim *simulation) Reject(ref routing.RequestRef, retryAfter time.Duration) {
	sim.act("decline", "%v back in %v", ref, retryAfter)
	sim.finish(ref)
}

func (sim *simulation) Fail(ref routing.RequestRef) {
	sim.act("roll-back", "%v", ref)
	sim.finish(ref)
}

// finish records that a request has its final answer.
func (sim *simulation) finish(ref routing.RequestRef) {
	s := &sim.slots[ref.Slot]
	s.finished = true
	sim.free(s)
}

func (sim *simulation) StartHealthCheck(server int) {
	sim.act("probe", "%d", server)
	sim.checks = append(sim.checks, healthCheck{server: server, sent: sim.now, due: sim.now + time.Duration(sim.random.IntN(20))*time.Millisecond})
}

func (sim *simulation) SetTimer(after time.Duration) {
	sim.act("wake", "in %v", after)
	sim.timerAt = sim.now + after
}

func (sim *simulation) ReleaseServer(server int)      { sim.act("forget", "%d", server) }
func (sim *simulation) WatchEndpoints(on bool)        { sim.act("watch", "%v", on) }
func (sim *simulation) FetchEndpoints()               { sim.act("fetch", "") }
func (sim *simulation) SendGossip(peer int, _ []byte) { sim.act("tell", "%d", peer) }
func (sim *simulation) Log(message string)            { sim.act("log", "%s", message) }
