package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestLoadReportAgeIsSubtractedFromPositions(t *testing.T) {
	o := testDeployment()
	o.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	h := newHarness(o).withGroup(3)
	h.receive(anyRead)
	answers := func(server int, role routing.Role, reported time.Duration) {
		h.servers[server].inFlight++
		h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: routing.RequestRef{}, Server: server, Result: routing.Succeeded, Role: role, Latency: 30 * ms,
			Load: routing.LoadReport{Role: role, Position: reported, HasPosition: true}})
	}
	for range 20 { // all reports are three seconds old
		h.advance(100 * ms)
		answers(0, routing.Primary, h.now-3*time.Second)
		answers(1, routing.Replica, h.now-3*time.Second)
		answers(2, routing.Replica, h.now-5*time.Second)
	}
	assert.InDelta(t, 3*time.Second, h.reportAge, float64(50*ms))
	assert.Less(t, h.now-h.estimatedPosition(&h.servers[1], h.now), 100*ms, "the report is old, but the server is not behind")
	assert.Greater(t, h.now-h.estimatedPosition(&h.servers[2], h.now), time.Second, "this server is behind")
	h.receive(boundedRead)
	assert.Equal(t, "send 2 to 1", h.lastAction("send"))
}

func TestReadIsOnlySentWhileDataOfUncheckedReplicaIsFresh(t *testing.T) {
	o := testDeployment()
	o.Replication.StalenessCheck = routing.NoStalenessCheck
	h := newHarness(o).withGroup(3)
	h.now = time.Second
	h.reportRole(0, routing.Primary, h.now)
	h.reportRole(1, routing.Replica, h.now-100*ms)
	h.eject(h.now, 0)
	r := h.receive(boundedRead) // bound 300 ms, of which a quarter may pass in the host
	until, ok := h.FreshUntil(r)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
	assert.True(t, ok)
	assert.Equal(t, h.now+125*ms, until)
	h.now = until + ms
	late := h.receive(boundedRead)
	assert.Zero(t, h.attempts[late], "nobody notices that the data is too old")
	_, ok = h.FreshUntil(late)
	assert.False(t, ok)
}

func TestOnlyBoundedReadsAtUncheckedReplicasHaveToBeSentInTime(t *testing.T) {
	for check, limited := range map[routing.StalenessCheck]bool{routing.NoStalenessCheck: true, routing.RejectIfStale: false, routing.WaitUntilFresh: false} {
		o := testDeployment()
		o.Replication.StalenessCheck = check
		h := newHarness(o).withGroup(2)
		h.now = time.Second
		h.reportRole(0, routing.Primary, h.now)
		h.reportRole(1, routing.Replica, h.now)
		for read, bounded := range map[int]bool{boundedRead: true, anyRead: false, sessionRead: false} {
			r := h.receive(read)
			_, ok := h.FreshUntil(r)
			assert.Equal(t, limited && bounded && h.sentTo[r] == 1, ok, "type %d, check %v, sent to %d", read, check, h.sentTo[r])
		}
	}
}

// staleGroup is a group whose servers don't check staleness. Server 0 is the primary and answers the next read as a replica.
func staleGroup() *harness {
	o := testDeployment()
	o.Replication.StalenessCheck = routing.NoStalenessCheck
	o.RequestTypes = append(o.RequestTypes, o.RequestTypes[boundedRead])
	o.RequestTypes[onceOnlyBoundedRead].Idempotency = routing.NonIdempotent
	h := newHarness(o).withGroup(2)
	h.now = 10 * time.Second
	h.reportRole(0, routing.Primary, h.now)
	return h
}

const onceOnlyBoundedRead = nonIdempotentWrite + 1

func TestResultOfFormerPrimaryIsServedOnlyIfItsPositionSuffices(t *testing.T) {
	for name, x := range map[string]struct {
		read   int
		behind time.Duration // position of the answer, before the time of sending
		serve  bool
	}{
		"bounded, within the bound": {boundedRead, 300 * ms, true}, "bounded, beyond it": {boundedRead, 302 * ms, false},
		"strong, applied": {strongRead, 0, true}, "strong, not applied": {strongRead, 2 * ms, false},
		"session, applied": {sessionRead, 50 * ms, true}, "session, not applied": {sessionRead, 52 * ms, false},
		"any data": {anyRead, time.Hour, true},
	} {
		h := staleGroup()
		h.servers[0].appliedPosition = never
		h.recordWrite(sessionKey(&routing.Request{Session: 9}), h.groups[0], h.now-50*ms)
		r := h.receive(x.read, func(in *routing.Request) { in.MaxStaleness = 300 * ms })
		result := routing.ReadResult{SentAt: h.now, Role: routing.Replica, Position: h.now - x.behind, HasPosition: true}
		assert.Equal(t, x.serve, h.MayServe(r, result), name)
		result.Role = routing.Primary
		assert.True(t, h.MayServe(r, result), "%s, from the primary", name)
	}
}

func TestReadWithStaleResultGoesToThePrimary(t *testing.T) {
	h := staleGroup()
	r := h.receive(boundedRead)
	h.finish(r, routing.Stale, routing.Replica, h.now-time.Second)
	assert.Equal(t, 1, h.attempts[r])
	h.now += ms
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
}

func TestReadThatMayNotRunTwiceFailsAfterStaleResult(t *testing.T) {
	h := staleGroup()
	r := h.receive(onceOnlyBoundedRead)
	h.finish(r, routing.Stale, routing.Replica, h.now-time.Second)
	h.now += ms
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, 1, h.attempts[r])
	assert.Equal(t, "fail 1", h.lastAction("fail"))
}

func TestReplicaThatAnswersWithLowerPositionIsNoLongerFresh(t *testing.T) {
	h := staleGroup()
	h.reportRole(1, routing.Replica, h.now)
	h.eject(h.now, 0)
	r := h.receive(boundedRead)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
	h.finish(r, routing.Stale, routing.Replica, h.now-time.Second) // it has lost the end of its log
	assert.Zero(t, h.attempts[h.receive(boundedRead)])
}

func TestServersThatCheckWiderBoundAreNotReliedOnForTighterOne(t *testing.T) {
	for _, check := range []routing.StalenessCheck{routing.RejectIfStale, routing.WaitUntilFresh} {
		o := testDeployment()
		o.Replication.StalenessCheck = check
		h := newHarness(o).withGroup(2)
		h.now = 10 * time.Second
		h.reportRole(0, routing.Primary, h.now)
		h.reportRole(1, routing.Replica, h.now-100*ms)
		h.eject(h.now, 0)
		tighter := func(in *routing.Request) { in.MaxStaleness = 100 * ms }
		assert.Zero(t, h.attempts[h.receive(boundedRead, tighter)], "the known position is too old, and the server checks for 300 ms")
		r := h.receive(boundedRead)
		assert.Equal(t, 1, h.sentTo[r], "the server checks the bound of the type itself")
		h.finish(r, routing.Succeeded, routing.Replica, h.now-10*ms)
		r = h.receive(boundedRead, tighter)
		assert.Equal(t, 1, h.sentTo[r])
		assert.False(t, h.MayServe(r, routing.ReadResult{SentAt: h.now, Role: routing.Replica, Position: h.now - 150*ms, HasPosition: true}))
	}
}

func TestFormerPrimaryWithoutTrustedPositionIsNotFresh(t *testing.T) {
	h := staleGroup()
	r := h.receive(boundedRead)
	assert.Equal(t, 0, h.sentTo[r])
	assert.False(t, h.MayServe(r, routing.ReadResult{SentAt: h.now, Role: routing.Replica}), "what it had applied as the primary may be lost")
	h.finish(r, routing.Stale, routing.Replica, 0)
	h.now += ms
	assert.Zero(t, h.attempts[h.receive(boundedRead)])
}
