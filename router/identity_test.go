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

	"dapplerouter/port"
	"dapplerouter/router"
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
	router  port.Decider
	random  *rand.Rand
	now     time.Duration
	wakeAt  time.Duration
	types   []port.RequestType
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
	state   port.State
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
	ref    port.Ref
	hop    int
	member int
	sent   time.Duration
	due    time.Duration
	ending port.Ending
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
	at := port.Topology{Zones: 2, Zone: int(seed % 2), Fronts: 1 + random.IntN(20), Tick: 5 * time.Millisecond, Ask: d.chance(0.3),
		RetriesMarked: d.chance(0.5), Roles: port.Listed(random.IntN(3))}
	copies := port.Replication{Check: port.Check(seed % 3), Hold: 50 * time.Millisecond, Carried: d.chance(0.3), AnswersTell: d.chance(0.7)}
	copies.PiggybackLoad = !copies.AnswersTell
	rules := port.Guardrails{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, AskWithin: 10 * time.Second,
		ColdShare: 0.2, FallMultiple: 2.5, Cold: 4 * time.Second, Fall: time.Second}
	allowed := port.Allowance{Attempts: 2 + random.IntN(6), Probes: d.chance(0.7), Cancels: d.chance(0.7), ComeBackMax: 400 * time.Millisecond,
		LinkIdle: time.Second}
	d.router = router.New(d, seed, at, d.types, nil, copies, rules, allowed, port.Tariff{})
	for i := range daysGroups * daysGroupSize {
		d.members = append(d.members, server{group: i / daysGroupSize, primary: i%daysGroupSize == 0, lag: time.Duration(random.IntN(200)) * time.Millisecond})
	}
	d.list(port.Cached)
	for range recordedSteps {
		d.step()
	}
	return d
}

// dayTypes has a type of each level, and writes of each effect.
func dayTypes() (all []port.RequestType) {
	for _, level := range []port.ReadLevel{port.AnyData, port.Bounded, port.Session, port.Current} {
		all = append(all, port.RequestType{TargetLatency: 200 * time.Millisecond, Deadline: 800 * time.Millisecond, Value: 1, Level: level, Bound: 300 * time.Millisecond,
			Late: float64(level%2) / 2})
	}
	for _, effect := range []port.Effect{port.Repeatable, port.Referenced, port.OnceOnly} {
		all = append(all, port.RequestType{TargetLatency: 600 * time.Millisecond, Deadline: 2 * time.Second, Value: 6, Late: 0.3, Level: port.Write, Effect: effect,
			Scope: port.Scope(effect % 3), Window: 2 * time.Second})
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
		d.router.Woken(d.now)
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
		p := &d.places[a.ref.Place]
		p.out--
		p.ended = p.ended || a.ending == port.Succeeded
		m := &d.members[a.member]
		o := port.Outcome{Ref: a.ref, Hop: a.hop, Member: a.member, Ending: a.ending, Closed: p.ended, Latency: d.now - a.sent, Load: d.report(m)}
		if answered := a.ending == port.Succeeded || a.ending == port.Missed; answered && d.chance(0.8) {
			o.Role, o.Position, o.HasPosition = o.Load.Role, o.Load.Position, true
		}
		d.router.Ended(d.now, o)
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
		ending := port.Succeeded
		if m.faulty && d.chance(0.5) {
			ending = port.Unreachable
		}
		d.router.Probed(d.now, q.member, ending, d.now-q.sent, d.report(m))
	}
}

// report is what a server tells of itself.
func (d *day) report(m *server) port.Load {
	if m.primary {
		return port.Load{Held: float64(d.random.IntN(3)), Role: port.Primary, Position: d.now, HasPosition: true}
	}
	return port.Load{Held: float64(d.random.IntN(3)), Role: port.Replica, Position: d.now - m.lag, HasPosition: true}
}

// departures tells of clients that leave, and of answers that are overdue.
func (d *day) departures() {
	for i := range d.places {
		p := &d.places[i]
		if p.taken && !p.ended && (d.now > p.begun+p.budget || d.chance(0.0005)) {
			p.ended = true
			d.router.Left(d.now, port.Ref{Place: uint32(i), Turn: p.turn})
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
	*p = place{turn: p.turn + 1, write: d.types[ty].Level == port.Write, taken: true, begun: d.now, budget: budget}
	t := port.Request{Ref: port.Ref{Place: uint32(i), Turn: p.turn}, Type: ty, Customer: port.None, Session: uint64(d.random.IntN(6)),
		Group: d.random.IntN(daysGroups), Budget: budget, Bound: d.types[ty].Bound, Window: d.types[ty].Window, Retry: d.chance(0.1),
		Write: d.types[ty].Level == port.Write}
	if d.chance(0.1) {
		t.TokenAge = time.Duration(d.random.IntN(300)) * time.Millisecond
	}
	d.router.Begin(d.now, t)
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
		m.state = port.State(d.random.IntN(4))
		d.list(port.Changes, i)
	}
	if d.chance(0.01) {
		m.state = port.Serving
		d.list(port.Changes, i)
	}
	if d.chance(0.004) {
		d.list(port.Whole)
	}
	if d.chance(0.004) {
		d.router.List(d.now, port.Failed, 1, nil)
	}
	if d.chance(0.002) {
		d.router.Redate(d.now, time.Duration(d.random.IntN(4000)-2000)*time.Millisecond)
	}
}

// list tells of these members, or of all.
func (d *day) list(kind port.ListKind, which ...int) {
	var entries []port.Entry
	for i, m := range d.members {
		told := len(which) == 0 || which[0] == i
		if !told || kind != port.Changes && m.state == port.Removed {
			continue
		}
		e := port.Entry{Member: i, Zone: i % 2, Group: m.group, State: m.state, Weight: 1, Primary: m.primary}
		if d.chance(0.2) {
			e.Started, e.HasStarted = d.now-time.Duration(d.random.IntN(5000))*time.Millisecond, true
		}
		entries = append(entries, e)
	}
	d.router.List(d.now, kind, 1, entries)
}

// free gives a place back once its request has ended and nothing of it is out.
func (d *day) free(p *place) { p.taken = p.taken && !(p.ended && p.out == 0) }

func (d *day) acted(what, format string, args ...any) {
	d.counts[what]++
	fmt.Fprintf(&d.actions, "%v %s "+format+"\n", append([]any{d.now, what}, args...)...)
}

// Submit implements port.Host, as do the methods below it.
func (d *day) Submit(ref port.Ref, member int, giveUpAfter time.Duration) {
	d.acted("submit", "%v to %d within %v", ref, member, giveUpAfter)
	p, m := &d.places[ref.Place], &d.members[member]
	latency := time.Duration(d.random.ExpFloat64() * 40 * float64(time.Millisecond))
	ending := port.Succeeded
	write := p.write
	switch chance := d.random.Float64(); {
	case m.faulty && chance < 0.5:
		ending = []port.Ending{port.Errored, port.Full, port.TimedOut, port.Unreachable, port.Broken, port.Void}[d.random.IntN(6)]
	case chance < 0.03 || write && !m.primary:
		ending = port.Missed
	case chance < 0.05:
		ending = []port.Ending{port.Errored, port.Full, port.TimedOut, port.Unreachable, port.Broken, port.Void}[d.random.IntN(6)]
	}
	if ending == port.TimedOut {
		latency += 500 * time.Millisecond
	}
	d.out = append(d.out, attempt{ref: ref, hop: p.attempts, member: member, sent: d.now, due: d.now + latency, ending: ending})
	p.attempts++
	p.out++
}

func (d *day) Cancel(ref port.Ref, hop int) {
	d.acted("revoke", "%v %d", ref, hop)
	for i := range d.out {
		if a := &d.out[i]; a.ref == ref && a.hop == hop {
			a.due, a.ending = d.now+time.Millisecond, port.Cancelled
		}
	}
}

func (d *day) Reject(ref port.Ref, comeBackIn time.Duration) {
	d.acted("decline", "%v back in %v", ref, comeBackIn)
	d.conclude(ref)
}

func (d *day) Fail(ref port.Ref) {
	d.acted("roll-back", "%v", ref)
	d.conclude(ref)
}

func (d *day) conclude(ref port.Ref) {
	p := &d.places[ref.Place]
	p.ended = true
	d.free(p)
}

func (d *day) Probe(member int) {
	d.acted("probe", "%d", member)
	d.probes = append(d.probes, probe{member: member, sent: d.now, due: d.now + time.Duration(d.random.IntN(20))*time.Millisecond})
}

func (d *day) Wake(after time.Duration) {
	d.acted("wake", "in %v", after)
	d.wakeAt = d.now + after
}

func (d *day) Forget(member int)       { d.acted("forget", "%d", member) }
func (d *day) Watch(on bool)           { d.acted("watch", "%v", on) }
func (d *day) Fetch()                  { d.acted("fetch", "") }
func (d *day) Tell(peer int, _ []byte) { d.acted("tell", "%d", peer) }
func (d *day) Log(message string)      { d.acted("log", "%s", message) }
