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

var updateActions = flag.Bool("update-actions", false, "write testdata/actions.txt anew: decisions were changed on purpose")

const (
	recordedSeeds = 48
	recordedSteps = 1500
	actionsFile   = "testdata/actions.txt"
)

// The Router's decisions, to the last action: each seed is a deployment and a day of events, and the file has a digest of the actions.
// A change that only moves code leaves the file as it is; one of decisions writes it anew, and says so in its commit.
// The digests are of amd64, where a product and a sum are rounded apart. ROUTER_ACTIONS=DIR writes the actions themselves, so that two revisions can be compared by diff.
func TestActionsAreAsRecorded(t *testing.T) {
	var digests strings.Builder
	for seed := range uint64(recordedSeeds) {
		d := playDay(seed)
		if dir := os.Getenv("ROUTER_ACTIONS"); dir != "" {
			require.NoError(t, os.WriteFile(fmt.Sprintf("%s/%d.txt", dir, seed), []byte(d.actions.String()), 0o600))
		}
		digest := sha256.Sum256([]byte(d.actions.String()))
		fmt.Fprintf(&digests, "%d %x submitted %d declined %d rolled-back %d revoked %d probed %d forgotten %d\n", seed, digest[:12],
			d.counts["submit"], d.counts["decline"], d.counts["roll-back"], d.counts["revoke"], d.counts["probe"], d.counts["forget"])
	}
	if *updateActions {
		require.NoError(t, os.WriteFile(actionsFile, []byte(digests.String()), 0o600))
	}
	recorded, err := os.ReadFile(actionsFile)
	require.NoError(t, err)
	assert.Equal(t, string(recorded), digests.String())
}

// day is the host of one instance, with its servers and clients.
type day struct {
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

// server is a server of a group of the endpoint list.
type server struct {
	group   int
	primary bool
	state   routing.ServerState
	faulty  bool // fails and drops half of the attempts
	lag     time.Duration
}

// slot is a request's.
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

// attempt is one in flight.
type attempt struct {
	ref           routing.RequestRef
	attemptNumber int
	server        int
	sent          time.Duration
	due           time.Duration
	result        routing.AttemptResult
}

type healthCheck struct {
	server int
	sent   time.Duration
	due    time.Duration
}

const (
	dayGroups    = 3
	dayGroupSize = 4
	daySlots     = 40
)

// playDay plays the day of a seed.
func playDay(seed uint64) *day {
	random := rand.New(rand.NewPCG(seed, 1))
	d := &day{random: random, slots: make([]slot, daySlots), counts: map[string]int{}, types: dayTypes()}
	topology := routing.Topology{ZoneCount: 2, Zone: int(seed % 2), FleetSize: 1 + random.IntN(20), TickInterval: 5 * time.Millisecond, PullEndpoints: d.chance(0.3),
		RetriesMarked: d.chance(0.5), RoleListing: routing.RoleListing(random.IntN(3))}
	replication := routing.Replication{StalenessCheck: routing.StalenessCheck(seed % 3), FreshnessWait: 50 * time.Millisecond, ClientCarriesToken: d.chance(0.3), PositionInResponses: d.chance(0.7)}
	replication.LoadInResponses = !replication.PositionInResponses
	guardrails := routing.Guardrails{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, MaxPollInterval: 10 * time.Second,
		InitialCapacity: 0.2, OverloadMultiple: 2.5, SlowStartDuration: 4 * time.Second, OverloadWindow: time.Second}
	limits := routing.Limits{MaxAttempts: 2 + random.IntN(6), HealthChecks: d.chance(0.7), Cancellation: d.chance(0.7), MaxRetryAfter: 400 * time.Millisecond,
		IdleConnTimeout: time.Second}
	d.router = router.New(d, routing.Options{Seed: seed, Topology: topology, RequestTypes: d.types, Replication: replication, Guardrails: guardrails, Limits: limits})
	for i := range dayGroups * dayGroupSize {
		d.servers = append(d.servers, server{group: i / dayGroupSize, primary: i%dayGroupSize == 0, lag: time.Duration(random.IntN(200)) * time.Millisecond})
	}
	d.updateEndpoints(routing.CachedSnapshot)
	for range recordedSteps {
		d.step()
	}
	return d
}

// dayTypes has a type of each consistency, and writes of each idempotency.
func dayTypes() (all []routing.RequestType) {
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

func (d *day) chance(of float64) bool { return d.random.Float64() < of }

// step moves the clock a little and plays what is due, then new events.
func (d *day) step() {
	d.now += time.Duration(d.random.IntN(12_000_000))
	if d.chance(0.002) {
		d.now += time.Duration(d.random.IntN(1_000_000_000)) // a stall
	}
	if d.now >= d.timerAt {
		d.router.TimerFired(d.now)
	}
	d.outcomes()
	d.clientsLeave()
	for range d.random.IntN(3) {
		d.receive()
	}
	d.change()
	d.router.Reconcile(d.now)
}

// outcomes finishes the attempts and health checks that are due.
func (d *day) outcomes() {
	due := d.inFlight
	d.inFlight = nil
	for _, a := range due {
		if a.due > d.now {
			d.inFlight = append(d.inFlight, a)
			continue
		}
		p := &d.slots[a.ref.Slot]
		p.inFlight--
		p.finished = p.finished || a.result == routing.Succeeded
		m := &d.servers[a.server]
		o := routing.AttemptOutcome{Ref: a.ref, AttemptNumber: a.attemptNumber, Server: a.server, Result: a.result, RequestFinished: p.finished, Latency: d.now - a.sent, Load: d.report(m)}
		if answered := a.result == routing.Succeeded || a.result == routing.Misrouted; answered && d.chance(0.8) {
			o.Role, o.Position, o.HasPosition = o.Load.Role, o.Load.Position, true
		}
		d.router.AttemptFinished(d.now, o)
		d.free(p)
	}
	checks := d.checks
	d.checks = nil
	for _, q := range checks {
		if q.due > d.now {
			d.checks = append(d.checks, q)
			continue
		}
		m := &d.servers[q.server]
		result := routing.Succeeded
		if m.faulty && d.chance(0.5) {
			result = routing.Unreachable
		}
		d.router.HealthCheckFinished(d.now, q.server, result, d.now-q.sent, d.report(m))
	}
}

// report is a server's load report.
func (d *day) report(m *server) routing.LoadReport {
	if m.primary {
		return routing.LoadReport{InFlight: float64(d.random.IntN(3)), Role: routing.Primary, Position: d.now, HasPosition: true}
	}
	return routing.LoadReport{InFlight: float64(d.random.IntN(3)), Role: routing.Replica, Position: d.now - m.lag, HasPosition: true}
}

// clientsLeave plays clients that leave, and answers that are overdue.
func (d *day) clientsLeave() {
	for i := range d.slots {
		p := &d.slots[i]
		if p.inUse && !p.finished && (d.now > p.receivedAt+p.timeout || d.chance(0.0005)) {
			p.finished = true
			d.router.ClientGone(d.now, routing.RequestRef{Slot: uint32(i), Generation: p.generation})
			d.free(p)
		}
	}
}

func (d *day) receive() {
	i := d.random.IntN(len(d.slots))
	p := &d.slots[i]
	if p.inUse {
		return
	}
	ty := d.random.IntN(len(d.types))
	timeout := d.types[ty].Deadline
	if d.chance(0.1) {
		timeout /= 2
	}
	*p = slot{generation: p.generation + 1, write: d.types[ty].Consistency == routing.Write, inUse: true, receivedAt: d.now, timeout: timeout}
	t := routing.Request{Ref: routing.RequestRef{Slot: uint32(i), Generation: p.generation}, Type: ty, Customer: routing.None, Session: uint64(d.random.IntN(6)),
		Group: d.random.IntN(dayGroups), Timeout: timeout, MaxStaleness: d.types[ty].MaxStaleness, DedupWindow: d.types[ty].DedupWindow, Retry: d.chance(0.1),
		Write: d.types[ty].Consistency == routing.Write}
	if d.chance(0.1) {
		t.TokenAge = time.Duration(d.random.IntN(300)) * time.Millisecond
	}
	d.router.RequestReceived(d.now, t)
}

// change plays changes of servers, primaries, the endpoint list and clocks.
func (d *day) change() {
	i := d.random.IntN(len(d.servers))
	m := &d.servers[i]
	if d.chance(0.01) {
		m.faulty = !m.faulty
	}
	if d.chance(0.004) { // another server of the group becomes primary
		for j := range d.servers {
			if d.servers[j].group == m.group {
				d.servers[j].primary = j == i
			}
		}
	}
	if d.chance(0.02) {
		m.state = routing.ServerState(d.random.IntN(4))
		d.updateEndpoints(routing.Delta, i)
	}
	if d.chance(0.01) {
		m.state = routing.Serving
		d.updateEndpoints(routing.Delta, i)
	}
	if d.chance(0.004) {
		d.updateEndpoints(routing.Snapshot)
	}
	if d.chance(0.004) {
		d.router.EndpointsChanged(d.now, routing.UpdateFailed, 1, nil)
	}
	if d.chance(0.002) {
		d.router.ClockCorrected(d.now, time.Duration(d.random.IntN(4000)-2000)*time.Millisecond)
	}
}

// updateEndpoints lists these servers, or all.
func (d *day) updateEndpoints(kind routing.UpdateKind, which ...int) {
	var entries []routing.Endpoint
	for i, m := range d.servers {
		included := len(which) == 0 || which[0] == i
		if !included || kind != routing.Delta && m.state == routing.Removed {
			continue
		}
		e := routing.Endpoint{Server: i, Zone: i % 2, Group: m.group, State: m.state, Weight: 1, Primary: m.primary}
		if d.chance(0.2) {
			e.StartedAt, e.HasStartTime = d.now-time.Duration(d.random.IntN(5000))*time.Millisecond, true
		}
		entries = append(entries, e)
	}
	d.router.EndpointsChanged(d.now, kind, 1, entries)
}

// free frees a slot once its request has ended and none of its attempts is in flight.
func (d *day) free(p *slot) { p.inUse = p.inUse && (!p.finished || p.inFlight > 0) }

func (d *day) act(what, format string, args ...any) {
	d.counts[what]++
	fmt.Fprintf(&d.actions, "%v %s "+format+"\n", append([]any{d.now, what}, args...)...)
}

// StartAttempt implements routing.Host, as do the methods below it. The words of the actions are those of the recorded digests.
func (d *day) StartAttempt(ref routing.RequestRef, server int, timeout time.Duration) {
	d.act("submit", "%v to %d within %v", ref, server, timeout)
	p, m := &d.slots[ref.Slot], &d.servers[server]
	latency := time.Duration(d.random.ExpFloat64() * 40 * float64(time.Millisecond))
	result := routing.Succeeded
	write := p.write
	switch chance := d.random.Float64(); {
	case m.faulty && chance < 0.5:
		result = []routing.AttemptResult{routing.ServerError, routing.Overloaded, routing.TimedOut, routing.Unreachable, routing.ConnectionLost, routing.NotSent}[d.random.IntN(6)]
	case chance < 0.03 || write && !m.primary:
		result = routing.Misrouted
	case chance < 0.05:
		result = []routing.AttemptResult{routing.ServerError, routing.Overloaded, routing.TimedOut, routing.Unreachable, routing.ConnectionLost, routing.NotSent}[d.random.IntN(6)]
	}
	if result == routing.TimedOut {
		latency += 500 * time.Millisecond
	}
	d.inFlight = append(d.inFlight, attempt{ref: ref, attemptNumber: p.attempts, server: server, sent: d.now, due: d.now + latency, result: result})
	p.attempts++
	p.inFlight++
}

func (d *day) CancelAttempt(ref routing.RequestRef, attemptNumber int) {
	d.act("revoke", "%v %d", ref, attemptNumber)
	for i := range d.inFlight {
		if a := &d.inFlight[i]; a.ref == ref && a.attemptNumber == attemptNumber {
			a.due, a.result = d.now+time.Millisecond, routing.Cancelled
		}
	}
}

func (d *day) Reject(ref routing.RequestRef, retryAfter time.Duration) {
	d.act("decline", "%v back in %v", ref, retryAfter)
	d.finish(ref)
}

func (d *day) Fail(ref routing.RequestRef) {
	d.act("roll-back", "%v", ref)
	d.finish(ref)
}

func (d *day) finish(ref routing.RequestRef) {
	p := &d.slots[ref.Slot]
	p.finished = true
	d.free(p)
}

func (d *day) StartHealthCheck(server int) {
	d.act("probe", "%d", server)
	d.checks = append(d.checks, healthCheck{server: server, sent: d.now, due: d.now + time.Duration(d.random.IntN(20))*time.Millisecond})
}

func (d *day) SetTimer(after time.Duration) {
	d.act("wake", "in %v", after)
	d.timerAt = d.now + after
}

func (d *day) ReleaseServer(server int)      { d.act("forget", "%d", server) }
func (d *day) WatchEndpoints(on bool)        { d.act("watch", "%v", on) }
func (d *day) FetchEndpoints()               { d.act("fetch", "") }
func (d *day) SendGossip(peer int, _ []byte) { d.act("tell", "%d", peer) }
func (d *day) Log(message string)            { d.act("log", "%s", message) }
