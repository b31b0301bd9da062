package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// The ordinary path.

func TestASessionsReadGoesToAReplicaThatHasItsWrite(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(4)
	y.now = time.Second
	w := y.receive(write)
	assert.Equal(t, "submit 1 to 0", y.lastAction("submit"))
	y.finish(w, routing.Succeeded, routing.Primary, y.now)
	y.reportRole(2, routing.Replica, y.now-100*ms)
	y.reportRole(1, routing.Replica, y.now)
	y.reportRole(3, routing.Replica, y.now-100*ms)
	y.receive(sessionRead)
	assert.Equal(t, "submit 2 to 1", y.lastAction("submit"), "a fresh one elsewhere before a stale one here")
	y.reportRole(2, routing.Replica, y.now)
	y.receive(sessionRead)
	assert.Equal(t, "submit 3 to 2", y.lastAction("submit"), "among fresh ones the zone's own")
}

func TestWhereNoneIsKnownFreshTheLeastBehindChecksForItself(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.now = time.Second
	y.finish(y.receive(write), routing.Succeeded, routing.Primary, y.now)
	y.reportRole(1, routing.Replica, y.now-40*ms)
	y.reportRole(2, routing.Replica, y.now-30*ms)
	r := y.receive(sessionRead)
	assert.Equal(t, "submit 2 to 2", y.lastAction("submit"))
	y.finish(r, routing.Misrouted, routing.Replica, y.now-20*ms)
	assert.Equal(t, "submit 2 to 0", y.lastAction("submit"), "after the miss the primary")
}

func TestAHoldThatCannotDoItIsNotSpent(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.now = 5 * time.Second
	y.finish(y.receive(write), routing.Succeeded, routing.Primary, y.now)
	y.reportRole(1, routing.Replica, y.now-2*time.Second)
	y.reportRole(2, routing.Replica, y.now-2*time.Second)
	y.receive(sessionRead)
	assert.Equal(t, "submit 2 to 0", y.lastAction("submit"), "a whole group behind: straight to the primary")
}

func TestATargetIsNeverLoweredWithinATermAndRaisedToTheStartOfTheNext(t *testing.T) {
	s := newSessions(false)
	g := &group{term: 1}
	in := &routing.Request{Session: 9}
	s.recordWrite(9, g, 500*ms)
	s.recordWrite(9, g, 400*ms)
	assert.Equal(t, 500*ms, s.requiredPosition(0, in, g))
	g.term, g.termStart = 2, 900*ms
	assert.Equal(t, 900*ms, s.requiredPosition(0, in, g))
	s.recordWrite(9, g, 950*ms)
	s.recordWrite(9, &group{term: 1}, 990*ms)
	assert.Equal(t, 950*ms, s.requiredPosition(0, in, g), "an older term's position does not count in this one")
}

func TestAForgottenTargetStaysInTheFloor(t *testing.T) {
	s := newSessions(false)
	s.entries = s.entries[:bucketSize]
	g := &group{}
	for i := range uint64(bucketSize + 1) {
		s.recordWrite(i+1, g, time.Duration(i+1)*ms)
	}
	assert.Equal(t, ms, s.requiredPosition(0, &routing.Request{Session: 1}, g), "the one that was forgotten")
	assert.Equal(t, 3*ms, s.requiredPosition(0, &routing.Request{Session: 3}, g))
}

func TestACarriedTokenIsAnAge(t *testing.T) {
	s := newSessions(true)
	assert.Equal(t, 700*ms, s.requiredPosition(time.Second, &routing.Request{TokenAge: 300 * ms}, &group{termStart: never}))
	assert.Equal(t, never, s.requiredPosition(time.Second, &routing.Request{Session: 9}, &group{}))
}

func TestWhereNothingIsCheckedOnlyAProofWillDo(t *testing.T) {
	p := testDeployment()
	p.Replication.StalenessCheck = routing.NoStalenessCheck
	y := newHarness(t, p).withGroup(3)
	y.now = time.Second
	y.finish(y.receive(write), routing.Succeeded, routing.Primary, y.now)
	y.reportRole(1, routing.Replica, y.now-20*ms)
	y.reportRole(2, routing.Replica, y.now-20*ms)
	y.now += 100 * ms // by their pace both have it now, but nobody said so
	y.receive(sessionRead)
	assert.Equal(t, "submit 2 to 0", y.lastAction("submit"))
	y.reportRole(2, routing.Replica, y.now)
	y.receive(sessionRead)
	assert.Equal(t, "submit 3 to 2", y.lastAction("submit"))
}

func TestReadsThatMustBeCurrentGoToThePrimary(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.receive(strongRead)
	assert.Equal(t, "submit 1 to 0", y.lastAction("submit"))
}

// Finding the primary.

func TestWritesWaitForAPrimaryAndGoOutWhenOneShows(t *testing.T) {
	p := testDeployment()
	p.Topology.RoleListing = routing.RolesNotListed
	y := newHarness(t, p).withGroup(3)
	y.receive(write)
	assert.Empty(t, y.lastAction("submit"), "none is sent blindly")
	assert.Equal(t, 3, y.countActions("probe"), "and the primary is looked for")
	y.reportRole(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.lastAction("submit"))
}

func TestWithoutProbesAWriteAsksForThePrimaryItself(t *testing.T) {
	p := testDeployment()
	p.Topology.RoleListing, p.Limits.HealthChecks = routing.RolesNotListed, false
	y := newHarness(t, p).withGroup(2)
	w := y.receive(write)
	first := y.sentTo[w]
	y.finish(w, routing.Misrouted, routing.Replica, y.now+ms)
	assert.Equal(t, 2, y.attempts[w])
	assert.NotEqual(t, first, y.sentTo[w])
	y.finish(w, routing.Succeeded, routing.Primary, y.now+ms)
	assert.Equal(t, y.sentTo[w], y.groups[0].primary)
}

func TestTheClaimFurtherOnInTheLogWins(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.now = 10 * time.Second
	y.reportRole(1, routing.Primary, 9*time.Second)
	y.reportRole(0, routing.Primary, 5*time.Second) // an old report of the old primary
	y.receive(write)
	assert.Equal(t, "submit 1 to 1", y.lastAction("submit"))
	y.reportRole(1, routing.Replica, 8*time.Second) // older than its own claim
	y.receive(write)
	assert.Equal(t, "submit 2 to 1", y.lastAction("submit"))
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 2, Primary: true}) // the list is late
	y.receive(write)
	assert.Equal(t, "submit 3 to 1", y.lastAction("submit"))
}

func TestAWriteMissedByAnOldPrimaryLooksForTheNewOne(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.now = time.Second
	w := y.receive(write)
	y.finish(w, routing.Misrouted, routing.Replica, 900*ms)
	assert.Equal(t, 1, y.countActions("submit"))
	y.reportRole(2, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 2", y.lastAction("submit"))
}

func TestADrainingPrimaryIsReplaced(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.advance(time.Second)
	n := y.countActions("probe")
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Draining, Primary: true})
	y.receive(write)
	assert.Empty(t, y.lastAction("submit"))
	assert.Equal(t, n+2, y.countActions("probe"), "the others are asked for the new one")
	y.reportRole(1, routing.Primary, y.now+ms)
	assert.Equal(t, "submit 1 to 1", y.lastAction("submit"))
}

// One answer each, and no effect twice.

func TestAWriteThatIsKeptIsDeclinedAtHalfItsTimeWithATimeToComeBack(t *testing.T) {
	for name, why := range map[string]func(*harness){
		"no primary is known": func(*harness) {},
		"the primary is full": func(y *harness) { y.reportRole(0, routing.Primary, 0); y.servers[0].inFlight = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			p := testDeployment()
			p.Topology.RoleListing = routing.RolesNotListed
			y := newHarness(t, p).withGroup(3)
			why(y)
			n := y.countActions("decline")
			y.receive(write)
			y.advance(950 * ms)
			assert.Equal(t, n, y.countActions("decline"))
			y.advance(50 * ms)
			assert.Contains(t, y.lastAction("decline"), "back in 200ms")
			y.advance(time.Second)
			assert.Equal(t, n+1, y.countActions("decline"))
		})
	}
}

func TestARetryThatIsKeptIsDeclinedAtHalfOfWhatIsLeftToIt(t *testing.T) {
	p := testDeployment()
	p.Topology.RetriesMarked, p.RequestTypes[anyRead].LateFraction = true, 0.5
	y := newHarness(t, p).withGroup(1)
	y.servers[0].inFlight = 9
	y.receive(anyRead, func(in *routing.Request) { in.Retry, in.Timeout = true, 120*ms })
	y.advance(15 * ms)
	assert.Zero(t, y.countActions("decline"))
	y.advance(25 * ms)
	assert.Equal(t, 1, y.countActions("decline"), "long before its SLA time or its expiry")
}

func TestWhatHasWaitedOutItsSLATimeElsewhereIsDeclinedAtOnceWhereLateIsWorthNothing(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	for range 20 {
		y.finish(y.receive(anyRead), routing.Succeeded, routing.Replica, 0)
	}
	n := y.countActions("submit")
	y.receive(anyRead, func(in *routing.Request) { in.Timeout = 560 * ms })
	assert.Equal(t, n, y.countActions("submit"), "240 ms of its budget are gone, and its SLA time is 200")
	assert.Equal(t, 1, y.countActions("decline"))
}

func TestFewFrontsDoNotLeaveASlowMembersCoresIdle(t *testing.T) {
	for fronts, want := range map[int]int{1: 4, 2: 2, 3: 2, 4: 1, 9: 1} {
		p := testDeployment()
		p.Topology.FleetSize = fronts
		y := newHarness(t, p).withGroup(1)
		y.servers[0].limit = 0.1
		for range 9 {
			y.receive(write)
		}
		assert.Equal(t, want, y.countActions("submit"), "%d fronts", fronts)
	}
}

func TestAReferencedTxnThatMayHaveRunStaysWithinItsWindowAndIsRolledBack(t *testing.T) {
	p := testDeployment()
	p.RequestTypes[write].DedupWindow = time.Second
	y := newHarness(t, p).withGroup(3)
	w := y.receive(write)
	y.fail(w, routing.ConnectionLost)
	y.advance(500 * ms)
	y.reportRole(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.lastAction("submit"), "within the window it goes on")
	y.advance(210 * ms)
	y.fail(w, routing.ConnectionLost)
	y.advance(600 * ms)
	y.reportRole(2, routing.Primary, y.now)
	assert.Equal(t, 4, y.countActions("submit"), "past it no more")
	assert.Equal(t, "roll back 1", y.lastAction("roll back"))
	assert.Zero(t, y.countActions("decline"))
}

func TestATxnThatOnlyItsZoneKnowsIsNotRepeated(t *testing.T) {
	p := testDeployment()
	p.RequestTypes[write].DedupScope = routing.ScopeZone
	y := newHarness(t, p).withGroup(3)
	y.finish(y.receive(write), routing.ConnectionLost, routing.UnknownRole, 0)
	y.advance(100 * ms)
	assert.Equal(t, 1, y.countActions("submit"))
	assert.Equal(t, "roll back 1", y.lastAction("roll back"))
}

func TestAOnceOnlyTxnGoesOnOnlyWhenItNeverRan(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	a := y.receive(nonIdempotentWrite)
	y.fail(a, routing.Unreachable)
	y.reportRole(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.lastAction("submit"))
	y.finish(a, routing.ServerError, routing.Primary, y.now)
	assert.Equal(t, "roll back 1", y.lastAction("roll back"))
	assert.Zero(t, y.countActions("decline"))
}

func TestALateEndingDoesNotHitTheNewTxnOfItsPlace(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	old := y.receive(anyRead)
	y.ClientGone(y.now, old)
	y.reconcile()
	assert.Equal(t, "revoke 1.0", y.lastAction("revoke"))
	assert.Equal(t, 2.0, y.servers[y.sentTo[old]].limit, "it left too early to be served: a sign of a queue")
	ref := routing.RequestRef{Slot: old.Slot, Generation: old.Generation + 1}
	y.RequestReceived(y.now, routing.Request{Ref: ref, Type: anyRead, Customer: routing.None, Timeout: time.Second})
	y.slots[ref.Slot].rank = 0
	y.reconcile()
	y.finish(old, routing.Cancelled, routing.UnknownRole, 0)
	assert.Equal(t, pending, y.slots[ref.Slot].state)
	assert.Equal(t, 2, y.countActions("submit"), "and brings it no further submission")
}

func TestAHopelessReadIsDeclinedAtOnceBeforeItsSLATime(t *testing.T) {
	y := newHarness(t, testDeployment()) // no member at all
	y.receive(anyRead)
	y.advance(140 * ms)
	assert.Zero(t, y.countActions("decline"))
	y.advance(40 * ms)
	assert.Equal(t, 1, y.countActions("decline"))
}

func TestASlowSpellDoesNotShutATypeOut(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.typical[anyRead] = time.Second
	y.receive(anyRead)
	assert.Equal(t, 1, y.countActions("submit"))
}

func TestAMissedReadDoesNotCircleAmongReplicas(t *testing.T) {
	p := testDeployment()
	p.Topology.RoleListing = routing.RolesNotListed
	y := newHarness(t, p).withGroup(4)
	y.now = time.Second
	for i := range 4 {
		y.reportRole(i, routing.Replica, 200*ms)
	}
	r := y.receive(boundedRead)
	for range 5 {
		if y.slots[r.Slot].sentTo != none {
			y.finish(r, routing.Misrouted, routing.Replica, 200*ms)
		}
	}
	assert.Equal(t, 1, y.attempts[r])
}

// Guards.

func TestNothingNewGoesToADrainingOrMissingMember(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, State: routing.Draining})
	y.updateEndpoints(routing.Snapshot, routing.Endpoint{Server: 1, Zone: 1, State: routing.Draining})
	y.receive(anyRead)
	assert.Zero(t, y.countActions("submit"))
}

// On a long day members come and go without end.
func TestAMembersPlaceIsGivenBackOnceItIsGoneAndNothingIsOut(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	r := y.receive(write)
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Removed})
	y.advance(11 * time.Second)
	assert.Zero(t, y.countActions("forget"), "its submission is out")
	y.finish(r, routing.Succeeded, routing.Primary, time.Second)
	y.groups[0].primary = 0 // as when it shows as primary while it is down
	y.advance(time.Second)
	assert.Equal(t, "forget 0", y.lastAction("forget"))
	assert.Equal(t, none, y.groups[0].primary)
	assert.Equal(t, []int{1}, y.groups[0].servers)
	y.advance(time.Minute)
	assert.Equal(t, 1, y.countActions("forget"))
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, Group: 1, Primary: true})
	y.reportRole(1, routing.Primary, 2*time.Second)
	assert.Equal(t, 0, y.groups[1].primary, "another's by now")
	assert.Equal(t, 1, y.groups[0].primary, "the claim of the one that is gone does not stand against it")
	assert.Equal(t, unknownServer.limit, y.servers[0].limit)
	y.updateEndpoints(routing.Snapshot, routing.Endpoint{Server: 0, Group: 1})
	y.advance(11 * time.Second)
	assert.Equal(t, "forget 1", y.lastAction("forget"), "missing from a whole list")
}

func TestAColdMemberGetsItsPartOnly(t *testing.T) {
	sends := func(cold bool) (n int) {
		y := newHarness(t, testDeployment()).withGroup(3)
		y.now = 20 * time.Second
		if cold {
			y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 2, HasStartTime: true, StartedAt: y.now})
		}
		for range 400 {
			y.now += 5 * ms
			r := y.receive(anyRead)
			if y.attempts[r] == 0 {
				continue
			}
			if y.sentTo[r] == 2 {
				n++
			}
			y.finish(r, routing.Succeeded, routing.Replica, y.now)
		}
		return n
	}
	assert.Less(t, float64(sends(true)), 0.5*float64(sends(false)))
}

func TestAColdMemberThatTurnsReadsAwayIsNotFloodedWithThem(t *testing.T) {
	p := testDeployment()
	p.Topology.RoleListing = routing.RolesNotListed
	y := newHarness(t, p).withGroup(2)
	y.now = 20 * time.Second
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: y.now})
	y.servers[0].ejected, y.servers[0].trialAt = true, time.Hour
	n := 0
	for range 200 { // a second in which the group has no primary and the member is behind
		y.now += 5 * ms
		r := y.receive(sessionRead, func(t *routing.Request) { t.Session = 0 })
		for y.attempts[r] > 0 && y.slots[r.Slot].sentTo != none {
			n++
			y.finish(r, routing.Misrouted, routing.Replica, 10*time.Second)
		}
		y.advance(5 * ms)
	}
	assert.LessOrEqual(t, n, 5)
}

func TestAMemberThatCouldNotBeReachedCountsAsStarted(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	y.now = time.Minute
	y.finish(y.receive(write), routing.Unreachable, routing.UnknownRole, 0)
	y.HealthCheckFinished(y.now, 0, routing.Unreachable, ms, routing.LoadReport{})
	y.now += time.Second
	y.reportRole(0, routing.Primary, y.now)
	y.finish(y.receive(write), routing.Succeeded, routing.Primary, y.now)
	assert.True(t, y.servers[0].warmingUp)
}

func TestTheListIsSubscribedToFromTheStartAndAgainAfterAFailure(t *testing.T) {
	p := testDeployment()
	p.Topology.PullEndpoints = true
	y := newHarness(t, p).withGroup(2)
	assert.Equal(t, 1, y.countActions("watch"))
	y.updateEndpoints(routing.UpdateFailed)
	assert.Equal(t, 1, y.countActions("watch"), "spread out, not at once")
	y.advance(time.Second)
	assert.Equal(t, 2, y.countActions("watch"))
}

// Health and overload.

func TestASilentMemberIsLeftAndItsTxnsMoved(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	w := y.receive(write)
	y.advance(900 * ms)
	assert.Zero(t, y.countActions("revoke"), "one alone may be lost or long")
	y.receive(write)
	y.receive(write)
	y.advance(900 * ms)
	assert.Equal(t, 3, y.countActions("revoke"))
	assert.Equal(t, 3, y.countActions("submit"), "no second one while the first is out")
	y.finish(w, routing.Cancelled, routing.UnknownRole, 0)
	y.reportRole(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.lastAction("submit"))
}

func TestACrowdedMemberIsNotSilent(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	y.receive(write)
	y.receive(write)
	for range 20 {
		y.servers[0].load.add(y.now, maxLoad, &y.latencies)
	}
	y.advance(900 * ms)
	assert.Equal(t, 2, y.servers[0].inFlight)
	assert.Zero(t, y.countActions("revoke"))
}

func TestAMemberThatFailsAtGreatSpeedDrawsNoTraffic(t *testing.T) {
	for _, e := range []routing.AttemptResult{routing.Overloaded, routing.ServerError, routing.Unreachable} {
		y := newHarness(t, testDeployment()).withGroup(3)
		n := 0
		for range 200 {
			y.now += 5 * ms
			r := y.receive(anyRead)
			for y.attempts[r] > 0 && y.slots[r.Slot].sentTo != none {
				if y.sentTo[r] == 2 {
					n++
					y.finish(r, e, routing.UnknownRole, 0)
				} else {
					y.finish(r, routing.Succeeded, routing.Replica, 0)
				}
			}
		}
		assert.Less(t, n, 40, "ending %d", e)
	}
}

func TestLateAnswersNarrowTheWindowAndTheRestWaitsHere(t *testing.T) {
	p := testDeployment()
	p.Topology.FleetSize = 4
	y := newHarness(t, p).withGroup(1)
	for range 20 {
		y.advance(100 * ms)
		r := y.receive(write)
		if y.attempts[r] > 0 {
			y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: r, Result: routing.Succeeded, RequestFinished: true, Latency: 500 * ms})
			y.reconcile()
		}
	}
	assert.Less(t, y.servers[0].limit, 1.0)
	y.now += time.Minute // the strain is forgotten, the window is not
	y.receive(write)
	n := y.countActions("submit")
	y.receive(write)
	assert.Equal(t, n, y.countActions("submit"))
}

func TestAStrainedMemberGetsWhatIsWorthMostAndTheRestWaitsHere(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	for i := range y.servers {
		y.servers[i].limit = 99
		for range 20 {
			y.observeLoad(y.now, &y.servers[i], (normalLoad+overloadedLoad)/2)
		}
	}
	sent := func(ty int) (n int) {
		for range 40 {
			n += y.attempts[y.receive(ty)]
		}
		return n
	}
	cheap, dear := sent(anyRead), sent(write)
	assert.InDelta(t, 20, cheap, 6, "half of them, where nothing else comes")
	assert.Greater(t, dear, cheap+5, "a write is worth more for its length")
	y.now += time.Minute
	y.actions = y.actions[:0]
	y.receive(anyRead)
	assert.Equal(t, 1, y.countActions("submit"), "strain that nobody reports any more is forgotten")
}

func TestAFewAnswersAreDrawnToWhatTheOthersSay(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(4)
	m := &y.servers[2]
	y.observeLoad(0, m, maxLoad)
	assert.Less(t, y.loadEstimate(0, m), overloadedLoad, "one answer is no verdict")
	for range 30 {
		y.observeLoad(0, &y.servers[3], maxLoad)
	}
	assert.Greater(t, y.loadEstimate(0, m), overloadedLoad, "but a whole group in a jam tells of the member that was not heard")
}

func TestAClientThatLeavesAndATimeOutAreTheWorstStrain(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(1)
	y.ClientGone(y.now, y.receive(write))
	assert.Equal(t, maxLoad, y.servers[0].load.sum)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: ms}, write)
	assert.Equal(t, 2*maxLoad, y.servers[0].load.sum)
}

func TestErrorsThatComeEverywhereAlikeAreNoMembersFault(t *testing.T) {
	for _, faulty := range []int{none, 2} { // half of all that is sent, or all that is sent to one
		y := newHarness(t, testDeployment()).withGroup(4)
		for k := range 400 {
			e := routing.Succeeded
			if faulty == none && k/4%2 == 0 || k%4 == faulty {
				e = routing.ServerError
			}
			y.observeOutcome(y.now, routing.AttemptOutcome{Server: k % 4, Result: e, Latency: 10 * ms}, anyRead)
		}
		assert.Equal(t, faulty == 2, y.servers[2].limit < 1)
		if faulty == 2 {
			assert.Zero(t, y.servers[2].load.n, "a quick failure is no strain: where there is no other member, it goes on")
			assert.Greater(t, y.cost(y.now, &y.servers[2]), 10*y.cost(y.now, &y.servers[0]), "where there is, that one")
		}
		assert.GreaterOrEqual(t, y.servers[1].limit, 1.0)
	}
}

func TestAFailedConnectionToAMemberThatAnswersOthersIsNoDeath(t *testing.T) {
	for _, e := range []routing.AttemptResult{routing.ConnectionLost, routing.Unreachable} {
		y := newHarness(t, testDeployment()).withGroup(2)
		y.now = time.Minute
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, write)
		y.observeOutcome(y.now+100*ms, routing.AttemptOutcome{Result: e, Latency: 250 * ms}, write)
		assert.False(t, y.servers[0].ejected, "it answered while this one was tried")
		y.now += time.Second
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: e, Latency: 250 * ms}, write)
		assert.False(t, y.servers[0].ejected, "one link may break where the member is well")
		assert.Equal(t, "probe 0", y.lastAction("probe"))
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: e, Latency: 250 * ms}, write)
		assert.True(t, y.servers[0].ejected, "the second in a row")
		y.reportRole(0, routing.Primary, y.now)
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, write)
		assert.False(t, y.servers[0].warmingUp, "the probe found it running: it did not start anew")
	}
}

func TestOneTimeOutTakesNoMemberDownAndTwoInARowDo(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(1)
	out := routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}
	y.advance(time.Second)
	y.observeOutcome(y.now, out, anyRead)
	assert.False(t, y.servers[0].ejected)
	assert.Equal(t, 1, y.countActions("probe"))
	y.advance(time.Second)
	y.observeOutcome(y.now, out, anyRead)
	assert.True(t, y.servers[0].ejected)
}

func TestManyQuietFrontsTogetherDoNotPushAColdMemberOver(t *testing.T) {
	p := testDeployment()
	p.Topology.FleetSize = 100
	y := newHarness(t, p).withGroup(2)
	y.now = 20 * time.Second
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: y.now})
	assert.True(t, y.servers[1].warmingUp)
	y.now += p.Guardrails.OverloadWindow
	assert.False(t, y.slowStartAdmits(y.now, &y.servers[1], 0.05), "a front that sent nothing has a hundredth of one")
}

func TestAColdMembersPartIsMeasuredByWhatTheWarmOnesBear(t *testing.T) {
	part := func(down int) float64 {
		y := newHarness(t, testDeployment()).withGroup(5)
		y.now, y.servedWork = 20*time.Second, decayingMean{sum: 50, at: 20 * time.Second}
		for i := range down {
			y.servers[i].ejected = true
		}
		y.beginSlowStart(y.now, &y.servers[4], y.now)
		y.servers[4].budget = 0
		y.TimerFired(y.now)
		y.slowStartAdmits(y.now+100*ms, &y.servers[4], 1)
		return y.servers[4].budget
	}
	assert.InDelta(t, 2*part(0), part(2), 1e-9, "with two of four down the other two bear it all")
}

func TestTheLeastLatencyOutlastsABusySpell(t *testing.T) {
	y := newHarness(t, testDeployment())
	for range 100 {
		y.observeLatency(time.Second, anyRead, 40*ms)
	}
	least := y.minimum[anyRead]
	for k := range 4000 { // ten seconds of a busy front in trouble
		y.observeLatency(time.Second+time.Duration(k)*10*time.Second/4000, anyRead, 150*ms)
	}
	assert.Less(t, y.minimum[anyRead], least*21/20, "forgotten by time, not by answers: what is crowded stays told")
	y.observeLatency(time.Hour, anyRead, 150*ms)
	assert.Greater(t, y.minimum[anyRead], 2*least, "but forgotten in the end")
}

func TestALostAnswerIsNoSignOfAQueue(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(1)
	y.advance(time.Second)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	room := y.servers[0].limit
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Equal(t, room, y.servers[0].limit, "one that was sent later came back quickly")
	y.advance(time.Second)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Less(t, y.servers[0].limit, room)
	room = y.servers[0].limit
	y.advance(10 * time.Second)
	y.reportRole(0, routing.Primary, y.now)
	y.observeOutcome(y.now+100*ms, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Equal(t, room, y.servers[0].limit, "by its own report it holds nothing")
}

func TestWhatLooksLostIsSentAgainOnceAtAMemberThatLosesSome(t *testing.T) {
	for _, losing := range []float64{0, 0.2} {
		y := newHarness(t, testDeployment()).withGroup(2)
		w := y.receive(write)
		y.servers[0].lossRate, y.servers[0].fastAnswerSentAt = losing, 10*ms
		y.servers[0].waitingSince = time.Hour // it answers others
		y.advance(700 * ms)
		if losing == 0 {
			assert.Zero(t, y.countActions("revoke"))
			continue
		}
		assert.Equal(t, "revoke 1.0", y.lastAction("revoke"))
		y.finish(w, routing.Cancelled, routing.UnknownRole, 0)
		assert.Equal(t, 2, y.countActions("submit"))
		y.servers[0].waitingSince, y.servers[0].fastAnswerSentAt = time.Hour, time.Hour
		y.advance(700 * ms)
		assert.Equal(t, 1, y.countActions("revoke"), "but once")
	}
}

func TestWhatIsWorthMostGoesFirst(t *testing.T) {
	p := testDeployment()
	p.Topology.RetriesMarked = true
	y := newHarness(t, p).withGroup(1)
	y.servers[0].limit = 1
	first := y.receive(write)
	cheap := y.receive(anyRead)
	retry := y.receive(write, func(t *routing.Request) { t.Retry = true })
	dear := y.receive(write)
	for _, next := range []routing.RequestRef{dear, cheap, retry} {
		y.finish(first, routing.Succeeded, routing.Primary, 0)
		assert.Equal(t, 1, y.attempts[next])
		first = next
	}
	assert.Equal(t, 1.5, y.slots[retry.Slot].weight)
}

func TestAnUnmarkedRetryIsToldByItsBudget(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(1)
	for range 50 {
		y.receive(anyRead, func(in *routing.Request) { in.Timeout = 400 * ms })
	}
	last := y.receive(anyRead, func(in *routing.Request) { in.Timeout = 300 * ms })
	assert.Equal(t, 1.0/4, y.slots[last.Slot].weight)
	first := y.receive(anyRead, func(in *routing.Request) { in.Timeout = 400 * ms })
	assert.Equal(t, 1.0, y.slots[first.Slot].weight)
	for range 20 {
		y.receive(write)
	}
	assert.Equal(t, 6.0, y.slots[y.receive(write).Slot].weight, "another type's tries come with another part of its expiry")
	y.retriesMarked = true
	last = y.receive(anyRead, func(in *routing.Request) { in.Timeout = 300 * ms })
	assert.Equal(t, 1.0, y.slots[last.Slot].weight, "where clients mark them, the mark is what counts")
}

func TestFurtherSubmissionsStayAShareOfFirstOnes(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(5)
	n := 0
	for range 200 {
		y.now += 50 * ms
		r := y.receive(write)
		y.servers[0].ejected = false
		for y.attempts[r] > 0 && y.slots[r.Slot].state == pending && y.slots[r.Slot].sentTo != none {
			y.finish(r, routing.ServerError, routing.Primary, y.now)
			y.servers[0].limit = 4
		}
		n += max(0, y.attempts[r]-1)
	}
	assert.LessOrEqual(t, n, 200/5+20)
}

func TestProbesAreSentForCauseOnly(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(4)
	for range 500 {
		y.now += 10 * ms
		y.finish(y.receive(anyRead), routing.Succeeded, routing.Replica, 0)
	}
	assert.Zero(t, y.countActions("probe"), "answers tell enough")
	y.eject(y.now, 3)
	for range 500 {
		y.advance(20 * ms)
		if y.servers[3].checkInFlight {
			y.HealthCheckFinished(y.now, 3, routing.TimedOut, ms, routing.LoadReport{})
		}
	}
	assert.LessOrEqual(t, y.countActions("probe"), 8, "and one that is down is asked ever more rarely")
	assert.Positive(t, y.countActions("probe 3"))
}

func TestEqualEventsGiveEqualActionsAndTheOrdinaryPathAllocatesNothing(t *testing.T) {
	play := func() *harness {
		y := newHarness(t, testDeployment()).withGroup(4)
		for range 50 {
			y.now += 7 * ms
			y.finish(y.receive(sessionRead), routing.Succeeded, routing.Replica, y.now)
		}
		return y
	}
	assert.Equal(t, play().actions, play().actions)

	round := ordinaryPath()
	round()
	assert.Zero(t, testing.AllocsPerRun(1000, round))
}

// ordinaryPath is a round of four requests that are answered.
func ordinaryPath() (round func()) {
	q := discardingHost{}
	p := testDeployment()
	r := New(&q, p)
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
			r.AttemptFinished(now, routing.AttemptOutcome{Ref: ref, Server: q.to, Result: routing.Succeeded, RequestFinished: true, Latency: 20 * ms,
				Role: routing.Replica, Position: now, HasPosition: true})
			r.Reconcile(now)
		}
	}
}

// discardingHost is a host that only notes where the last request went.
type discardingHost struct {
	harness
	to int
}

func (q *discardingHost) StartAttempt(_ routing.RequestRef, m int, _ time.Duration) { q.to = m }
func (q *discardingHost) StartHealthCheck(int)                                      {}

// The group's only primary is at another site, and the way there is cut: waiting would bring nothing. What a copy here may
// answer goes on; when the way is open again, all does.
func TestAPrimaryBehindACutWayIsNotWaitedForAndServesAtOnceWhenItIsOpen(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	y.now = time.Second
	y.finish(y.receive(write), routing.Succeeded, routing.Primary, y.now)
	y.reportRole(2, routing.Replica, y.now)
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Partitioned, Primary: true})
	y.receive(nonIdempotentWrite)
	assert.Equal(t, "decline 2, back in 200ms", y.lastAction("decline"), "at once")
	y.receive(anyRead)
	assert.Equal(t, "submit 3 to 2", y.lastAction("submit"))
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, Primary: true})
	y.receive(nonIdempotentWrite)
	assert.Equal(t, "submit 4 to 0", y.lastAction("submit"))
}

// The move: deployments of another build.

func TestWhereOnlyReportsTellPositionsTheirAgeIsTakenOff(t *testing.T) {
	p := testDeployment()
	p.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	y := newHarness(t, p).withGroup(3)
	y.receive(anyRead)
	answers := func(member int, role routing.Role, reported time.Duration) {
		y.servers[member].inFlight++
		y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: routing.RequestRef{}, Server: member, Result: routing.Succeeded, Role: role, Latency: 30 * ms,
			Load: routing.LoadReport{Role: role, Position: reported, HasPosition: true}})
	}
	for range 20 { // reports are three seconds late, all of them
		y.advance(100 * ms)
		answers(0, routing.Primary, y.now-3*time.Second)
		answers(1, routing.Replica, y.now-3*time.Second)
		answers(2, routing.Replica, y.now-5*time.Second)
	}
	assert.InDelta(t, 3*time.Second, y.reportAge, float64(50*ms))
	assert.Less(t, y.now-y.estimatedPosition(&y.servers[1], y.now), 100*ms, "its report is late, it is not")
	assert.Greater(t, y.now-y.estimatedPosition(&y.servers[2], y.now), time.Second, "this one is behind by its late report too")
	y.receive(boundedRead)
	assert.Equal(t, "submit 2 to 1", y.lastAction("submit"))
}

func TestATxnThatFailsAtTwoMembersIsAnsweredAtOnceWithNoTimeToComeBackWhereNoneMayBeNamed(t *testing.T) {
	p := testDeployment()
	p.Limits.MaxRetryAfter = 0
	y := newHarness(t, p).withGroup(4)
	r := y.receive(anyRead)
	y.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, y.attempts[r], "one error may be a member's")
	y.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, y.attempts[r])
	assert.Equal(t, "decline 1, back in 0s", y.lastAction("decline"))
	y.errorRate = 0.3
	r = y.receive(anyRead)
	y.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 1, y.attempts[r], "where errors are common the first is enough")
}

func TestErrorsAreNoLostAnswers(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(1)
	for range 50 {
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.ServerError, Latency: ms}, anyRead)
	}
	assert.Zero(t, y.servers[0].lossRate, "else what takes four least latencies would be taken back")
}

func TestWhatAFrontFindsAfterItStoodStillIsHeldAgainstNoMember(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(1)
	for range 3 {
		y.advance(100 * ms)
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	}
	a, b := y.receive(anyRead), y.receive(anyRead)
	room, strain := y.servers[0].limit, y.servers[0].load.n
	y.now += 5 * time.Second // no beat came
	y.TimerFired(y.now)      // the alarm stands before the endings in what came meanwhile
	assert.False(t, y.servers[0].ejected, "it is not the member that was silent")
	y.finish(a, routing.TimedOut, routing.UnknownRole, 0)
	y.ClientGone(y.now, b)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 5 * time.Second}, anyRead)
	assert.Equal(t, room, y.servers[0].limit)
	assert.Equal(t, strain, y.servers[0].load.n)
	y.advance(100 * ms)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 600 * ms}, anyRead)
	assert.Less(t, y.servers[0].limit, room, "what comes later counts again")
}

func TestAMemberThatAnswersProbesButTakesNoLinksIsNotDown(t *testing.T) {
	p := testDeployment()
	p.Topology.TickInterval = 50 * ms
	y := newHarness(t, p).withGroup(1)
	y.advance(time.Second)
	again := y.retryBudget
	for range 20 {
		w := y.receive(write)
		y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: w, AttemptNumber: y.attempts[w] - 1, Result: routing.Unreachable, Latency: 2 * ms})
		y.reconcile()
		y.reportRole(0, routing.Primary, y.now)
		y.advance(2 * y.tickInterval)
		y.finish(w, routing.Succeeded, routing.Primary, y.now)
	}
	assert.False(t, y.servers[0].ejected)
	assert.LessOrEqual(t, y.countActions("probe"), 8, "what answered within an SLA time is not asked again")
	assert.Equal(t, 40, y.countActions("submit"), "each goes out again, after a pause")
	assert.GreaterOrEqual(t, y.retryBudget, again, "a refused link was no work for the member")
}

func TestManyFrontsTogetherSendAColdMemberItsPartFromTheStart(t *testing.T) {
	for _, fronts := range []int{30, 250, 900} {
		sent := 0
		for seed := range fronts {
			p := testDeployment()
			p.Topology.FleetSize = fronts
			y := newHarness(t, p).withGroup(6)
			y.seed = uint64(seed)
			y.now, y.warmServers = 20*time.Second, 5
			y.servedWork = decayingMean{sum: 1, n: 20, at: y.now} // two requests of 50 ms a second at each warm member
			m := &y.servers[5]
			y.beginSlowStart(y.now, m, y.now)
			for end := y.now + 2*time.Second; y.now < end; y.now += 100 * ms {
				y.servedWork.at = y.now
				if y.slowStartAdmits(y.now, m, 0.05) {
					m.budget -= 0.05
					sent++
				}
			}
		}
		// Two seconds of a warm member's part are four requests a front; 0.2 to 0.36 of that, times 1.5, is the cold one's.
		part := float64(4*fronts) * 0.28 * 1.5
		assert.InDelta(t, part, sent, 60*math.Sqrt(float64(fronts)/250), "%d fronts", fronts)
	}
}

// The first seconds after a switch: an instance that starts afresh at the new deployment believes nothing of the old.
func TestTheFirstSecondsAfterASwitchAreSafe(t *testing.T) {
	p := testDeployment()
	p.Topology.FleetSize = 250
	p.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	y := newHarness(t, p)
	list := []routing.Endpoint{{Server: 0, Primary: true}, {Server: 1}, {Server: 2, HasStartTime: true, StartedAt: -time.Second},
		{Server: 3, Group: 1, Primary: true}, {Server: 4, Group: 1}}
	y.updateEndpoints(routing.CachedSnapshot, list...)
	y.advance(100 * ms)
	r := y.receive(sessionRead)
	assert.Equal(t, 1, y.sentTo[r], "a replica, whose own check decides")
	y.finish(r, routing.Misrouted, routing.Replica, 0)
	assert.Equal(t, 0, y.sentTo[r], "and after a miss the primary")
	y.finish(r, routing.Succeeded, routing.Primary, 0)
	for range 40 {
		y.advance(50 * ms)
		r := y.receive(anyRead)
		if y.attempts[r] > 0 {
			y.finish(r, routing.Succeeded, routing.Replica, 0)
		}
	}
	cold := 0
	for _, m := range y.sentTo {
		if m == 2 {
			cold++
		}
	}
	assert.LessOrEqual(t, cold, 2, "a starting member gets its part of what 250 fronts send")
	y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: routing.RequestRef{Slot: 1}, Server: 4, Result: routing.Succeeded, Role: routing.Primary,
		Position: y.now, HasPosition: true}) // a claim in the other group
	assert.Equal(t, 0, y.groups[0].primary, "what another group's member says is not believed here")
	assert.Equal(t, 4, y.groups[1].primary)
	y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: routing.RequestRef{Slot: 1}, Server: 3, Result: routing.Succeeded, Role: routing.Primary,
		Position: y.now - time.Second, HasPosition: true})
	assert.Equal(t, 4, y.groups[1].primary, "nor what is of an older term")
}

func TestWhatFailsAtOnceIsNoMeasureOfWhatAColdMemberCanTake(t *testing.T) {
	part := func(failing int) float64 {
		y := newHarness(t, testDeployment()).withGroup(3)
		y.advance(100 * ms)
		y.finish(y.receive(anyRead), routing.Succeeded, routing.Replica, 0)
		for range failing { // worthless, the same everywhere
			y.finish(y.receive(anyRead), routing.ServerError, routing.Replica, 0)
		}
		return y.servedWork.sum
	}
	assert.Equal(t, part(0), part(40), "else a cold member gets four times its part, all of which counts against it")
}

// A request whose client leaves in the batch in which it came goes nowhere: its place is free again at once.
func TestARequestThatLeavesInTheBatchOfItsArrivalGoesNowhere(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	r := routing.RequestRef{Slot: 1, Generation: 1}
	y.RequestReceived(y.now, routing.Request{Ref: r, Type: anyRead, Customer: routing.None, Timeout: time.Second})
	y.ClientGone(y.now, r)
	y.reconcile()
	y.advance(time.Second)
	assert.Empty(t, y.actions)
}
