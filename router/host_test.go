package router

import (
	"fmt"
	"testing"
	"time"

	"dapplerouter/port"
)

const ms = time.Millisecond

// Request types of the little site that the stories play on.
const (
	anyRead = iota
	bounded
	session
	current
	write
	onceOnly
)

// site is what a story may vary before it begins.
type site struct {
	at      port.Topology
	types   []port.RequestType
	copies  port.Replication
	rules   port.Guardrails
	allowed port.Allowance
}

func littleSite() site {
	read := port.RequestType{TargetLatency: 200 * ms, Deadline: 800 * ms, Value: 1, Effect: port.Repeatable}
	s := site{
		at:     port.Topology{Zones: 2, Fronts: 1, Tick: 5 * ms, Roles: port.RoleLate},
		copies: port.Replication{Check: port.Holds, Hold: 50 * ms, AnswersTell: true},
		rules: port.Guardrails{AnswerSlack: 20 * ms, DrainGrace: time.Second, AskWithin: 10 * time.Second,
			ColdShare: 0.2, FallMultiple: 2.5, Cold: 10 * time.Second, Fall: 2 * time.Second},
		allowed: port.Allowance{Attempts: 6, Probes: true, Cancels: true,
			ComeBackMax: 400 * ms},
	}
	for _, level := range []port.ReadLevel{port.AnyData, port.Bounded, port.Session, port.Current} {
		read.Level, read.Bound = level, 300*ms
		s.types = append(s.types, read)
	}
	w := port.RequestType{TargetLatency: 600 * ms, Deadline: 2 * time.Second, Value: 6, Late: 0.3, Level: port.Write,
		Effect: port.Referenced, Scope: port.ScopeGroup, Window: 2 * time.Second}
	once := w
	once.Effect = port.OnceOnly
	s.types = append(s.types, w, once)
	return s
}

// story drives one instance and writes down what it asks for.
type story struct {
	*Router
	now   time.Duration
	asked []string
	turns uint32
	subs  map[port.Ref]int
	where map[port.Ref]int
}

func tell(_ *testing.T, s site) *story {
	y := &story{subs: map[port.Ref]int{}, where: map[port.Ref]int{}}
	y.Router = New(y, 7, s.at, s.types, nil, s.copies, s.rules, s.allowed, port.Tariff{}).(*Router)
	return y
}

// group lists members 0..n-1 of group 0, member 0 as primary; odd ones stand in the other zone.
func (y *story) group(n int) *story {
	var list []port.Entry
	for i := range n {
		list = append(list, port.Entry{Member: i, Zone: i % 2, Primary: i == 0})
	}
	y.list(port.Cached, list...)
	return y
}

func (y *story) list(kind port.ListKind, entries ...port.Entry) {
	y.List(y.now, kind, 1, entries)
	y.settle()
}

func (y *story) settle() { y.Reconcile(y.now) }

// pass lets time go by, with its beats.
func (y *story) pass(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now = min(end, y.now+y.tick)
		y.Woken(y.now)
		y.settle()
	}
}

func (y *story) begin(ty int, change ...func(*port.Request)) port.Ref {
	y.turns++
	t := port.Request{Ref: port.Ref{Place: y.turns, Turn: y.turns}, Type: ty, Customer: port.None, Session: 9,
		Budget: y.types[ty].Deadline, Bound: y.types[ty].Bound, Window: y.types[ty].Window}
	for _, c := range change {
		c(&t)
	}
	y.Begin(y.now, t)
	y.settle()
	return t.Ref
}

// ends gives the last attempt of a request an ending; pos 0 leaves the position out.
func (y *story) ends(r port.Ref, e port.Ending, role port.Role, pos time.Duration) {
	y.Ended(y.now, port.Outcome{Ref: r, Hop: y.subs[r] - 1, Member: y.where[r], Ending: e, Role: role,
		Closed: e == port.Succeeded, Latency: 30 * ms, Position: pos, HasPosition: pos != 0})
	y.settle()
}

// dies ends an attempt by a failure, and the next one of its request at the same member by being refused.
func (y *story) dies(r port.Ref, e port.Ending) {
	member := y.where[r]
	n := y.subs[r]
	y.ends(r, e, port.Unknown, 0)
	y.pass(2 * y.tick) // a new link is not tried at once
	if y.subs[r] > n && y.where[r] == member {
		y.ends(r, port.Unreachable, port.Unknown, 0)
	}
}

// knows tells the instance what a member says of itself, as a probe would.
func (y *story) knows(i int, role port.Role, pos time.Duration) {
	y.Probed(y.now, i, port.Succeeded, ms, port.Load{Held: 0, Role: role, Position: pos, HasPosition: true})
	y.settle()
}

// last is the last thing asked for of a kind, or nothing.
func (y *story) last(kind string) string {
	for i := len(y.asked) - 1; i >= 0; i-- {
		if len(y.asked[i]) >= len(kind) && y.asked[i][:len(kind)] == kind {
			return y.asked[i]
		}
	}
	return ""
}

func (y *story) count(kind string) (n int) {
	for _, a := range y.asked {
		if len(a) >= len(kind) && a[:len(kind)] == kind {
			n++
		}
	}
	return n
}

func (y *story) ask(format string, args ...any) {
	y.asked = append(y.asked, fmt.Sprintf(format, args...))
}

func (y *story) Submit(r port.Ref, m int, _ time.Duration) {
	y.subs[r]++
	y.where[r] = m
	y.ask("submit %d to %d", r.Place, m)
}
func (y *story) Cancel(r port.Ref, hop int) { y.ask("revoke %d.%d", r.Place, hop) }
func (y *story) Reject(r port.Ref, back time.Duration) {
	y.ask("decline %d, back in %v", r.Place, back)
}
func (y *story) Fail(r port.Ref)         { y.ask("roll back %d", r.Place) }
func (y *story) Probe(m int)             { y.ask("probe %d", m) }
func (y *story) Forget(m int)            { y.ask("forget %d", m) }
func (y *story) Watch(on bool)           { y.ask("watch %v", on) }
func (y *story) Fetch()                  { y.ask("fetch") }
func (y *story) Tell(peer int, _ []byte) { y.ask("tell %d", peer) }
func (y *story) Wake(time.Duration)      {}
func (y *story) Log(message string)      { y.ask("log %s", message) }
