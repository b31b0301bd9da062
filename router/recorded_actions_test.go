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

// What the module decides, to the last action: each seed is a site and a day of events, and the file has a digest of what an instance
// asked for. A change that only moves code leaves the file as it is; one of decisions writes it anew, and says so in its commit.
// The digests are of amd64, where a product and a sum are rounded apart. ROUTER_ACTIONS=DIR writes the actions themselves, so that two revisions can be compared by diff.
func TestTheSameEventsGiveTheSameActionsAsRecorded(t *testing.T) {
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

// day is the host of one instance, and the servers and clients around it.
type day struct {
	router  routing.Router
	random  *rand.Rand
	now     time.Duration
	wakeAt  time.Duration
	types   []routing.RequestType
	members []server
	places  []place
	out     []attempt
	probes  []probe
	actions strings.Builder
	counts  map[string]int
}

// server is a member of a group of the list.
type server struct {
	group   int
	primary bool
	state   routing.ServerState
	faulty  bool // fails and drops half of what comes
	lag     time.Duration
}

// place is one of the slab's, with the request in it.
type place struct {
	turn     uint32
	write    bool
	taken    bool
	ended    bool
	begun    time.Duration
	budget   time.Duration
	attempts int
	out      int
}

// attempt is an attempt on its way.
type attempt struct {
	ref    routing.RequestRef
	hop    int
	member int
	sent   time.Duration
	due    time.Duration
	ending routing.AttemptResult
}

type probe struct {
	member int
	sent   time.Duration
	due    time.Duration
}

const (
	daysGroups    = 3
	daysGroupSize = 4
	daysPlaces    = 40
)

// playDay plays the day of a seed.
func playDay(seed uint64) *day {
	random := rand.New(rand.NewPCG(seed, 1))
	d := &day{random: random, places: make([]place, daysPlaces), counts: map[string]int{}, types: dayTypes()}
	at := routing.Topology{ZoneCount: 2, Zone: int(seed % 2), FleetSize: 1 + random.IntN(20), TickInterval: 5 * time.Millisecond, PullEndpoints: d.chance(0.3),
		RetriesMarked: d.chance(0.5), RoleListing: routing.RoleListing(random.IntN(3))}
	copies := routing.Replication{StalenessCheck: routing.StalenessCheck(seed % 3), FreshnessWait: 50 * time.Millisecond, ClientCarriesToken: d.chance(0.3), PositionInResponses: d.chance(0.7)}
	copies.LoadInResponses = !copies.PositionInResponses
	rules := routing.Guardrails{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, MaxPollInterval: 10 * time.Second,
		InitialCapacity: 0.2, OverloadMultiple: 2.5, SlowStartDuration: 4 * time.Second, OverloadWindow: time.Second}
	allowed := routing.Limits{MaxAttempts: 2 + random.IntN(6), HealthChecks: d.chance(0.7), Cancellation: d.chance(0.7), MaxRetryAfter: 400 * time.Millisecond,
		IdleConnTimeout: time.Second}
	d.router = router.New(d, routing.Options{Seed: seed, Topology: at, RequestTypes: d.types, Replication: copies, Guardrails: rules, Limits: allowed})
	for i := range daysGroups * daysGroupSize {
		d.members = append(d.members, server{group: i / daysGroupSize, primary: i%daysGroupSize == 0, lag: time.Duration(random.IntN(200)) * time.Millisecond})
	}
	d.list(routing.CachedSnapshot)
	for range recordedSteps {
		d.step()
	}
	return d
}

// dayTypes has a type of each level, and writes of each effect.
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

// step lets a little time go by and plays what falls due, then what comes.
func (d *day) step() {
	d.now += time.Duration(d.random.IntN(12_000_000))
	if d.chance(0.002) {
		d.now += time.Duration(d.random.IntN(1_000_000_000)) // the front stands still
	}
	if d.now >= d.wakeAt {
		d.router.TimerFired(d.now)
	}
	d.endings()
	d.departures()
	for range d.random.IntN(3) {
		d.arrival()
	}
	d.changes()
	d.router.Reconcile(d.now)
}

// endings tells of attempts and probes that are due.
func (d *day) endings() {
	due := d.out
	d.out = nil
	for _, a := range due {
		if a.due > d.now {
			d.out = append(d.out, a)
			continue
		}
		p := &d.places[a.ref.Slot]
		p.out--
		p.ended = p.ended || a.ending == routing.Succeeded
		m := &d.members[a.member]
		o := routing.AttemptOutcome{Ref: a.ref, AttemptNumber: a.hop, Server: a.member, Result: a.ending, RequestFinished: p.ended, Latency: d.now - a.sent, Load: d.report(m)}
		if answered := a.ending == routing.Succeeded || a.ending == routing.Misrouted; answered && d.chance(0.8) {
			o.Role, o.Position, o.HasPosition = o.Load.Role, o.Load.Position, true
		}
		d.router.AttemptFinished(d.now, o)
		d.free(p)
	}
	asked := d.probes
	d.probes = nil
	for _, q := range asked {
		if q.due > d.now {
			d.probes = append(d.probes, q)
			continue
		}
		m := &d.members[q.member]
		ending := routing.Succeeded
		if m.faulty && d.chance(0.5) {
			ending = routing.Unreachable
		}
		d.router.HealthCheckFinished(d.now, q.member, ending, d.now-q.sent, d.report(m))
	}
}

// report is what a server tells of itself.
func (d *day) report(m *server) routing.LoadReport {
	if m.primary {
		return routing.LoadReport{InFlight: float64(d.random.IntN(3)), Role: routing.Primary, Position: d.now, HasPosition: true}
	}
	return routing.LoadReport{InFlight: float64(d.random.IntN(3)), Role: routing.Replica, Position: d.now - m.lag, HasPosition: true}
}

// departures tells of clients that leave, and of answers that are overdue.
func (d *day) departures() {
	for i := range d.places {
		p := &d.places[i]
		if p.taken && !p.ended && (d.now > p.begun+p.budget || d.chance(0.0005)) {
			p.ended = true
			d.router.ClientGone(d.now, routing.RequestRef{Slot: uint32(i), Generation: p.turn})
			d.free(p)
		}
	}
}

func (d *day) arrival() {
	i := d.random.IntN(len(d.places))
	p := &d.places[i]
	if p.taken {
		return
	}
	ty := d.random.IntN(len(d.types))
	budget := d.types[ty].Deadline
	if d.chance(0.1) {
		budget /= 2
	}
	*p = place{turn: p.turn + 1, write: d.types[ty].Consistency == routing.Write, taken: true, begun: d.now, budget: budget}
	t := routing.Request{Ref: routing.RequestRef{Slot: uint32(i), Generation: p.turn}, Type: ty, Customer: routing.None, Session: uint64(d.random.IntN(6)),
		Group: d.random.IntN(daysGroups), Timeout: budget, MaxStaleness: d.types[ty].MaxStaleness, DedupWindow: d.types[ty].DedupWindow, Retry: d.chance(0.1),
		Write: d.types[ty].Consistency == routing.Write}
	if d.chance(0.1) {
		t.TokenAge = time.Duration(d.random.IntN(300)) * time.Millisecond
	}
	d.router.RequestReceived(d.now, t)
}

// changes are of servers, of primaries, of the list and of clocks.
func (d *day) changes() {
	i := d.random.IntN(len(d.members))
	m := &d.members[i]
	if d.chance(0.01) {
		m.faulty = !m.faulty
	}
	if d.chance(0.004) { // the primary moves to another of its group
		for j := range d.members {
			if d.members[j].group == m.group {
				d.members[j].primary = j == i
			}
		}
	}
	if d.chance(0.02) {
		m.state = routing.ServerState(d.random.IntN(4))
		d.list(routing.Delta, i)
	}
	if d.chance(0.01) {
		m.state = routing.Serving
		d.list(routing.Delta, i)
	}
	if d.chance(0.004) {
		d.list(routing.Snapshot)
	}
	if d.chance(0.004) {
		d.router.EndpointsChanged(d.now, routing.UpdateFailed, 1, nil)
	}
	if d.chance(0.002) {
		d.router.ClockCorrected(d.now, time.Duration(d.random.IntN(4000)-2000)*time.Millisecond)
	}
}

// list tells of these members, or of all.
func (d *day) list(kind routing.UpdateKind, which ...int) {
	var entries []routing.Endpoint
	for i, m := range d.members {
		told := len(which) == 0 || which[0] == i
		if !told || kind != routing.Delta && m.state == routing.Removed {
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

// free gives a place back once its request has ended and nothing of it is out.
func (d *day) free(p *place) { p.taken = p.taken && !(p.ended && p.out == 0) }

func (d *day) acted(what, format string, args ...any) {
	d.counts[what]++
	fmt.Fprintf(&d.actions, "%v %s "+format+"\n", append([]any{d.now, what}, args...)...)
}

// StartAttempt implements port.Host, as do the methods below it.
func (d *day) StartAttempt(ref routing.RequestRef, member int, giveUpAfter time.Duration) {
	d.acted("submit", "%v to %d within %v", ref, member, giveUpAfter)
	p, m := &d.places[ref.Slot], &d.members[member]
	latency := time.Duration(d.random.ExpFloat64() * 40 * float64(time.Millisecond))
	ending := routing.Succeeded
	write := p.write
	switch chance := d.random.Float64(); {
	case m.faulty && chance < 0.5:
		ending = []routing.AttemptResult{routing.ServerError, routing.Overloaded, routing.TimedOut, routing.Unreachable, routing.ConnectionLost, routing.NotSent}[d.random.IntN(6)]
	case chance < 0.03 || write && !m.primary:
		ending = routing.Misrouted
	case chance < 0.05:
		ending = []routing.AttemptResult{routing.ServerError, routing.Overloaded, routing.TimedOut, routing.Unreachable, routing.ConnectionLost, routing.NotSent}[d.random.IntN(6)]
	}
	if ending == routing.TimedOut {
		latency += 500 * time.Millisecond
	}
	d.out = append(d.out, attempt{ref: ref, hop: p.attempts, member: member, sent: d.now, due: d.now + latency, ending: ending})
	p.attempts++
	p.out++
}

func (d *day) CancelAttempt(ref routing.RequestRef, hop int) {
	d.acted("revoke", "%v %d", ref, hop)
	for i := range d.out {
		if a := &d.out[i]; a.ref == ref && a.hop == hop {
			a.due, a.ending = d.now+time.Millisecond, routing.Cancelled
		}
	}
}

func (d *day) Reject(ref routing.RequestRef, comeBackIn time.Duration) {
	d.acted("decline", "%v back in %v", ref, comeBackIn)
	d.conclude(ref)
}

func (d *day) Fail(ref routing.RequestRef) {
	d.acted("roll-back", "%v", ref)
	d.conclude(ref)
}

func (d *day) conclude(ref routing.RequestRef) {
	p := &d.places[ref.Slot]
	p.ended = true
	d.free(p)
}

func (d *day) StartHealthCheck(member int) {
	d.acted("probe", "%d", member)
	d.probes = append(d.probes, probe{member: member, sent: d.now, due: d.now + time.Duration(d.random.IntN(20))*time.Millisecond})
}

func (d *day) SetTimer(after time.Duration) {
	d.acted("wake", "in %v", after)
	d.wakeAt = d.now + after
}

func (d *day) ReleaseServer(member int)      { d.acted("forget", "%d", member) }
func (d *day) WatchEndpoints(on bool)        { d.acted("watch", "%v", on) }
func (d *day) FetchEndpoints()               { d.acted("fetch", "") }
func (d *day) SendGossip(peer int, _ []byte) { d.acted("tell", "%d", peer) }
func (d *day) Log(message string)            { d.acted("log", "%s", message) }
