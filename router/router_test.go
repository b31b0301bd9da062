package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestEqualEventsGiveEqualActionsAndOrdinaryPathAllocatesNothing(t *testing.T) {
	play := func() *harness {
		h := newHarness(testDeployment()).withGroup(4)
		for range 50 {
			h.now += 7 * ms
			h.finish(h.receive(sessionRead), routing.Succeeded, routing.Replica, h.now)
		}
		return h
	}
	assert.Equal(t, play().actions, play().actions)

	round := ordinaryPath()
	round()
	assert.Zero(t, testing.AllocsPerRun(1000, round))
}

// ordinaryPath returns a function that plays four requests which are all answered.
func ordinaryPath() (round func()) {
	host := discardingHost{}
	o := testDeployment()
	r := New(&host, o)
	var entries []routing.Endpoint
	for i := range 4 {
		entries = append(entries, routing.Endpoint{Server: i, Primary: i == 0})
	}
	r.EndpointsChanged(0, routing.CachedSnapshot, 1, entries)
	now, turn := time.Duration(0), uint32(0)
	return func() {
		for _, ty := range []int{write, sessionRead, anyRead, boundedRead} {
			now, turn = now+5*ms, turn+1
			ref := routing.RequestRef{Slot: turn % 8, Generation: turn}
			r.RequestReceived(now, routing.Request{Ref: ref, Type: ty, Customer: routing.None, Session: uint64(turn), Timeout: time.Second})
			r.Reconcile(now)
			r.AttemptFinished(now, routing.AttemptOutcome{Ref: ref, Server: host.to, Result: routing.Succeeded, RequestFinished: true, Latency: 20 * ms,
				Role: routing.Replica, Position: now, HasPosition: true})
			r.Reconcile(now)
		}
	}
}

// discardingHost records only the server of the latest attempt.
type discardingHost struct {
	harness
	to int
}

func (host *discardingHost) StartAttempt(_ routing.RequestRef, server int, _ time.Duration) {
	host.to = server
}
func (host *discardingHost) StartHealthCheck(int) {}

// Guards against unsafe decisions of an instance that has just started and knows nothing of earlier events.
func TestFirstSecondsAfterRestartAreSafe(t *testing.T) {
	o := testDeployment()
	o.Topology.FleetSize = 250
	o.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	h := newHarness(o)
	list := []routing.Endpoint{{Server: 0, Primary: true}, {Server: 1}, {Server: 2, HasStartTime: true, StartedAt: -time.Second},
		{Server: 3, Group: 1, Primary: true}, {Server: 4, Group: 1}}
	h.updateEndpoints(routing.CachedSnapshot, list...)
	h.advance(100 * ms)
	r := h.receive(sessionRead)
	assert.Equal(t, 1, h.sentTo[r], "a replica, which checks its own position")
	h.finish(r, routing.Misrouted, routing.Replica, 0)
	assert.Equal(t, 0, h.sentTo[r], "the primary, after a misrouted attempt")
	h.finish(r, routing.Succeeded, routing.Primary, 0)
	for range 40 {
		h.advance(50 * ms)
		r := h.receive(anyRead)
		if h.attempts[r] > 0 {
			h.finish(r, routing.Succeeded, routing.Replica, 0)
		}
	}
	warmingUpSends := 0
	for _, server := range h.sentTo {
		if server == 2 {
			warmingUpSends++
		}
	}
	assert.LessOrEqual(t, warmingUpSends, 2, "a warming-up server gets a share divided among 250 instances")
	h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: routing.RequestRef{Slot: 1}, Server: 4, Result: routing.Succeeded, Role: routing.Primary,
		Position: h.now, HasPosition: true}) // a claim in the other group
	assert.Equal(t, 0, h.groups[0].primary, "a claim in another group does not count in this group")
	assert.Equal(t, 4, h.groups[1].primary)
	h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: routing.RequestRef{Slot: 1}, Server: 3, Result: routing.Succeeded, Role: routing.Primary,
		Position: h.now - time.Second, HasPosition: true})
	assert.Equal(t, 4, h.groups[1].primary, "a claim of an older term does not count")
}
