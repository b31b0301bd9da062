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
	y := tell(t, littleSite()).group(4)
	y.now = time.Second
	w := y.begin(write)
	assert.Equal(t, "submit 1 to 0", y.last("submit"))
	y.ends(w, routing.Succeeded, routing.Primary, y.now)
	y.knows(2, routing.Replica, y.now-100*ms)
	y.knows(1, routing.Replica, y.now)
	y.knows(3, routing.Replica, y.now-100*ms)
	y.begin(session)
	assert.Equal(t, "submit 2 to 1", y.last("submit"), "a fresh one elsewhere before a stale one here")
	y.knows(2, routing.Replica, y.now)
	y.begin(session)
	assert.Equal(t, "submit 3 to 2", y.last("submit"), "among fresh ones the zone's own")
}

func TestWhereNoneIsKnownFreshTheLeastBehindChecksForItself(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.now = time.Second
	y.ends(y.begin(write), routing.Succeeded, routing.Primary, y.now)
	y.knows(1, routing.Replica, y.now-40*ms)
	y.knows(2, routing.Replica, y.now-30*ms)
	r := y.begin(session)
	assert.Equal(t, "submit 2 to 2", y.last("submit"))
	y.ends(r, routing.Misrouted, routing.Replica, y.now-20*ms)
	assert.Equal(t, "submit 2 to 0", y.last("submit"), "after the miss the primary")
}

func TestAHoldThatCannotDoItIsNotSpent(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.now = 5 * time.Second
	y.ends(y.begin(write), routing.Succeeded, routing.Primary, y.now)
	y.knows(1, routing.Replica, y.now-2*time.Second)
	y.knows(2, routing.Replica, y.now-2*time.Second)
	y.begin(session)
	assert.Equal(t, "submit 2 to 0", y.last("submit"), "a whole group behind: straight to the primary")
}

func TestATargetIsNeverLoweredWithinATermAndRaisedToTheStartOfTheNext(t *testing.T) {
	s := newSessions(false)
	g := &group{term: 1}
	in := &routing.Request{Session: 9}
	s.recordWrite(9, g, 500*ms)
	s.recordWrite(9, g, 400*ms)
	assert.Equal(t, 500*ms, s.needs(0, in, g))
	g.term, g.termStart = 2, 900*ms
	assert.Equal(t, 900*ms, s.needs(0, in, g))
	s.recordWrite(9, g, 950*ms)
	s.recordWrite(9, &group{term: 1}, 990*ms)
	assert.Equal(t, 950*ms, s.needs(0, in, g), "an older term's position does not count in this one")
}

func TestAForgottenTargetStaysInTheFloor(t *testing.T) {
	s := newSessions(false)
	s.places = s.places[:ways]
	g := &group{}
	for i := range uint64(ways + 1) {
		s.recordWrite(i+1, g, time.Duration(i+1)*ms)
	}
	assert.Equal(t, ms, s.needs(0, &routing.Request{Session: 1}, g), "the one that was forgotten")
	assert.Equal(t, 3*ms, s.needs(0, &routing.Request{Session: 3}, g))
}

func TestACarriedTokenIsAnAge(t *testing.T) {
	s := newSessions(true)
	assert.Equal(t, 700*ms, s.needs(time.Second, &routing.Request{TokenAge: 300 * ms}, &group{termStart: never}))
	assert.Equal(t, never, s.needs(time.Second, &routing.Request{Session: 9}, &group{}))
}

func TestWhereNothingIsCheckedOnlyAProofWillDo(t *testing.T) {
	p := littleSite()
	p.Replication.StalenessCheck = routing.NoStalenessCheck
	y := tell(t, p).group(3)
	y.now = time.Second
	y.ends(y.begin(write), routing.Succeeded, routing.Primary, y.now)
	y.knows(1, routing.Replica, y.now-20*ms)
	y.knows(2, routing.Replica, y.now-20*ms)
	y.now += 100 * ms // by their pace both have it now, but nobody said so
	y.begin(session)
	assert.Equal(t, "submit 2 to 0", y.last("submit"))
	y.knows(2, routing.Replica, y.now)
	y.begin(session)
	assert.Equal(t, "submit 3 to 2", y.last("submit"))
}

func TestReadsThatMustBeCurrentGoToThePrimary(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.begin(current)
	assert.Equal(t, "submit 1 to 0", y.last("submit"))
}

// Finding the primary.

func TestWritesWaitForAPrimaryAndGoOutWhenOneShows(t *testing.T) {
	p := littleSite()
	p.Topology.RoleListing = routing.RolesNotListed
	y := tell(t, p).group(3)
	y.begin(write)
	assert.Empty(t, y.last("submit"), "none is sent blindly")
	assert.Equal(t, 3, y.count("probe"), "and the primary is looked for")
	y.knows(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.last("submit"))
}

func TestWithoutProbesAWriteAsksForThePrimaryItself(t *testing.T) {
	p := littleSite()
	p.Topology.RoleListing, p.Limits.HealthChecks = routing.RolesNotListed, false
	y := tell(t, p).group(2)
	w := y.begin(write)
	first := y.where[w]
	y.ends(w, routing.Misrouted, routing.Replica, y.now+ms)
	assert.Equal(t, 2, y.subs[w])
	assert.NotEqual(t, first, y.where[w])
	y.ends(w, routing.Succeeded, routing.Primary, y.now+ms)
	assert.Equal(t, y.where[w], y.groups[0].primary)
}

func TestTheClaimFurtherOnInTheLogWins(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.now = 10 * time.Second
	y.knows(1, routing.Primary, 9*time.Second)
	y.knows(0, routing.Primary, 5*time.Second) // an old report of the old primary
	y.begin(write)
	assert.Equal(t, "submit 1 to 1", y.last("submit"))
	y.knows(1, routing.Replica, 8*time.Second) // older than its own claim
	y.begin(write)
	assert.Equal(t, "submit 2 to 1", y.last("submit"))
	y.list(routing.Delta, routing.Endpoint{Server: 2, Primary: true}) // the list is late
	y.begin(write)
	assert.Equal(t, "submit 3 to 1", y.last("submit"))
}

func TestAWriteMissedByAnOldPrimaryLooksForTheNewOne(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.now = time.Second
	w := y.begin(write)
	y.ends(w, routing.Misrouted, routing.Replica, 900*ms)
	assert.Equal(t, 1, y.count("submit"))
	y.knows(2, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 2", y.last("submit"))
}

func TestADrainingPrimaryIsReplaced(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.pass(time.Second)
	n := y.count("probe")
	y.list(routing.Delta, routing.Endpoint{Server: 0, State: routing.Draining, Primary: true})
	y.begin(write)
	assert.Empty(t, y.last("submit"))
	assert.Equal(t, n+2, y.count("probe"), "the others are asked for the new one")
	y.knows(1, routing.Primary, y.now+ms)
	assert.Equal(t, "submit 1 to 1", y.last("submit"))
}

// One answer each, and no effect twice.

func TestAWriteThatIsKeptIsDeclinedAtHalfItsTimeWithATimeToComeBack(t *testing.T) {
	for name, why := range map[string]func(*story){
		"no primary is known": func(*story) {},
		"the primary is full": func(y *story) { y.knows(0, routing.Primary, 0); y.members[0].out = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			p := littleSite()
			p.Topology.RoleListing = routing.RolesNotListed
			y := tell(t, p).group(3)
			why(y)
			n := y.count("decline")
			y.begin(write)
			y.pass(950 * ms)
			assert.Equal(t, n, y.count("decline"))
			y.pass(50 * ms)
			assert.Contains(t, y.last("decline"), "back in 200ms")
			y.pass(time.Second)
			assert.Equal(t, n+1, y.count("decline"))
		})
	}
}

func TestARetryThatIsKeptIsDeclinedAtHalfOfWhatIsLeftToIt(t *testing.T) {
	p := littleSite()
	p.Topology.RetriesMarked, p.RequestTypes[anyRead].LateFraction = true, 0.5
	y := tell(t, p).group(1)
	y.members[0].out = 9
	y.begin(anyRead, func(in *routing.Request) { in.Retry, in.Timeout = true, 120*ms })
	y.pass(15 * ms)
	assert.Zero(t, y.count("decline"))
	y.pass(25 * ms)
	assert.Equal(t, 1, y.count("decline"), "long before its SLA time or its expiry")
}

func TestWhatHasWaitedOutItsSLATimeElsewhereIsDeclinedAtOnceWhereLateIsWorthNothing(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	for range 20 {
		y.ends(y.begin(anyRead), routing.Succeeded, routing.Replica, 0)
	}
	n := y.count("submit")
	y.begin(anyRead, func(in *routing.Request) { in.Timeout = 560 * ms })
	assert.Equal(t, n, y.count("submit"), "240 ms of its budget are gone, and its SLA time is 200")
	assert.Equal(t, 1, y.count("decline"))
}

func TestFewFrontsDoNotLeaveASlowMembersCoresIdle(t *testing.T) {
	for fronts, want := range map[int]int{1: 4, 2: 2, 3: 2, 4: 1, 9: 1} {
		p := littleSite()
		p.Topology.FleetSize = fronts
		y := tell(t, p).group(1)
		y.members[0].limit = 0.1
		for range 9 {
			y.begin(write)
		}
		assert.Equal(t, want, y.count("submit"), "%d fronts", fronts)
	}
}

func TestAReferencedTxnThatMayHaveRunStaysWithinItsWindowAndIsRolledBack(t *testing.T) {
	p := littleSite()
	p.RequestTypes[write].DedupWindow = time.Second
	y := tell(t, p).group(3)
	w := y.begin(write)
	y.dies(w, routing.ConnectionLost)
	y.pass(500 * ms)
	y.knows(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.last("submit"), "within the window it goes on")
	y.pass(210 * ms)
	y.dies(w, routing.ConnectionLost)
	y.pass(600 * ms)
	y.knows(2, routing.Primary, y.now)
	assert.Equal(t, 4, y.count("submit"), "past it no more")
	assert.Equal(t, "roll back 1", y.last("roll back"))
	assert.Zero(t, y.count("decline"))
}

func TestATxnThatOnlyItsZoneKnowsIsNotRepeated(t *testing.T) {
	p := littleSite()
	p.RequestTypes[write].DedupScope = routing.ScopeZone
	y := tell(t, p).group(3)
	y.ends(y.begin(write), routing.ConnectionLost, routing.UnknownRole, 0)
	y.pass(100 * ms)
	assert.Equal(t, 1, y.count("submit"))
	assert.Equal(t, "roll back 1", y.last("roll back"))
}

func TestAOnceOnlyTxnGoesOnOnlyWhenItNeverRan(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	a := y.begin(onceOnly)
	y.dies(a, routing.Unreachable)
	y.knows(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.last("submit"))
	y.ends(a, routing.ServerError, routing.Primary, y.now)
	assert.Equal(t, "roll back 1", y.last("roll back"))
	assert.Zero(t, y.count("decline"))
}

func TestALateEndingDoesNotHitTheNewTxnOfItsPlace(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	old := y.begin(anyRead)
	y.ClientGone(y.now, old)
	y.settle()
	assert.Equal(t, "revoke 1.0", y.last("revoke"))
	assert.Equal(t, 2.0, y.members[y.where[old]].limit, "it left too early to be served: a sign of a queue")
	ref := routing.RequestRef{Slot: old.Slot, Generation: old.Generation + 1}
	y.RequestReceived(y.now, routing.Request{Ref: ref, Type: anyRead, Customer: routing.None, Timeout: time.Second})
	y.slab[ref.Slot].rank = 0
	y.settle()
	y.ends(old, routing.Cancelled, routing.UnknownRole, 0)
	assert.Equal(t, open, y.slab[ref.Slot].end)
	assert.Equal(t, 2, y.count("submit"), "and brings it no further submission")
}

func TestAHopelessReadIsDeclinedAtOnceBeforeItsSLATime(t *testing.T) {
	y := tell(t, littleSite()) // no member at all
	y.begin(anyRead)
	y.pass(140 * ms)
	assert.Zero(t, y.count("decline"))
	y.pass(40 * ms)
	assert.Equal(t, 1, y.count("decline"))
}

func TestASlowSpellDoesNotShutATypeOut(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.usual[anyRead] = time.Second
	y.begin(anyRead)
	assert.Equal(t, 1, y.count("submit"))
}

func TestAMissedReadDoesNotCircleAmongReplicas(t *testing.T) {
	p := littleSite()
	p.Topology.RoleListing = routing.RolesNotListed
	y := tell(t, p).group(4)
	y.now = time.Second
	for i := range 4 {
		y.knows(i, routing.Replica, 200*ms)
	}
	r := y.begin(bounded)
	for range 5 {
		if y.slab[r.Slot].at != none {
			y.ends(r, routing.Misrouted, routing.Replica, 200*ms)
		}
	}
	assert.Equal(t, 1, y.subs[r])
}

// Guards.

func TestNothingNewGoesToADrainingOrMissingMember(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	y.list(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, State: routing.Draining})
	y.list(routing.Snapshot, routing.Endpoint{Server: 1, Zone: 1, State: routing.Draining})
	y.begin(anyRead)
	assert.Zero(t, y.count("submit"))
}

// On a long day members come and go without end.
func TestAMembersPlaceIsGivenBackOnceItIsGoneAndNothingIsOut(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	r := y.begin(write)
	y.list(routing.Delta, routing.Endpoint{Server: 0, State: routing.Removed})
	y.pass(11 * time.Second)
	assert.Zero(t, y.count("forget"), "its submission is out")
	y.ends(r, routing.Succeeded, routing.Primary, time.Second)
	y.groups[0].primary = 0 // as when it shows as primary while it is down
	y.pass(time.Second)
	assert.Equal(t, "forget 0", y.last("forget"))
	assert.Equal(t, none, y.groups[0].primary)
	assert.Equal(t, []int{1}, y.groups[0].members)
	y.pass(time.Minute)
	assert.Equal(t, 1, y.count("forget"))
	y.list(routing.Delta, routing.Endpoint{Server: 0, Group: 1, Primary: true})
	y.knows(1, routing.Primary, 2*time.Second)
	assert.Equal(t, 0, y.groups[1].primary, "another's by now")
	assert.Equal(t, 1, y.groups[0].primary, "the claim of the one that is gone does not stand against it")
	assert.Equal(t, unknownMember.limit, y.members[0].limit)
	y.list(routing.Snapshot, routing.Endpoint{Server: 0, Group: 1})
	y.pass(11 * time.Second)
	assert.Equal(t, "forget 1", y.last("forget"), "missing from a whole list")
}

func TestAColdMemberGetsItsPartOnly(t *testing.T) {
	sends := func(cold bool) (n int) {
		y := tell(t, littleSite()).group(3)
		y.now = 20 * time.Second
		if cold {
			y.list(routing.Delta, routing.Endpoint{Server: 2, HasStartTime: true, StartedAt: y.now})
		}
		for range 400 {
			y.now += 5 * ms
			r := y.begin(anyRead)
			if y.subs[r] == 0 {
				continue
			}
			if y.where[r] == 2 {
				n++
			}
			y.ends(r, routing.Succeeded, routing.Replica, y.now)
		}
		return n
	}
	assert.Less(t, float64(sends(true)), 0.5*float64(sends(false)))
}

func TestAColdMemberThatTurnsReadsAwayIsNotFloodedWithThem(t *testing.T) {
	p := littleSite()
	p.Topology.RoleListing = routing.RolesNotListed
	y := tell(t, p).group(2)
	y.now = 20 * time.Second
	y.list(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: y.now})
	y.members[0].ejected, y.members[0].retryAt = true, time.Hour
	n := 0
	for range 200 { // a second in which the group has no primary and the member is behind
		y.now += 5 * ms
		r := y.begin(session, func(t *routing.Request) { t.Session = 0 })
		for y.subs[r] > 0 && y.slab[r.Slot].at != none {
			n++
			y.ends(r, routing.Misrouted, routing.Replica, 10*time.Second)
		}
		y.pass(5 * ms)
	}
	assert.LessOrEqual(t, n, 5)
}

func TestAMemberThatCouldNotBeReachedCountsAsStarted(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	y.now = time.Minute
	y.ends(y.begin(write), routing.Unreachable, routing.UnknownRole, 0)
	y.HealthCheckFinished(y.now, 0, routing.Unreachable, ms, routing.LoadReport{})
	y.now += time.Second
	y.knows(0, routing.Primary, y.now)
	y.ends(y.begin(write), routing.Succeeded, routing.Primary, y.now)
	assert.True(t, y.members[0].cold)
}

func TestTheListIsSubscribedToFromTheStartAndAgainAfterAFailure(t *testing.T) {
	p := littleSite()
	p.Topology.PullEndpoints = true
	y := tell(t, p).group(2)
	assert.Equal(t, 1, y.count("watch"))
	y.list(routing.UpdateFailed)
	assert.Equal(t, 1, y.count("watch"), "spread out, not at once")
	y.pass(time.Second)
	assert.Equal(t, 2, y.count("watch"))
}

// Health and overload.

func TestASilentMemberIsLeftAndItsTxnsMoved(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	w := y.begin(write)
	y.pass(900 * ms)
	assert.Zero(t, y.count("revoke"), "one alone may be lost or long")
	y.begin(write)
	y.begin(write)
	y.pass(900 * ms)
	assert.Equal(t, 3, y.count("revoke"))
	assert.Equal(t, 3, y.count("submit"), "no second one while the first is out")
	y.ends(w, routing.Cancelled, routing.UnknownRole, 0)
	y.knows(1, routing.Primary, y.now)
	assert.Equal(t, "submit 1 to 1", y.last("submit"))
}

func TestACrowdedMemberIsNotSilent(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	y.begin(write)
	y.begin(write)
	for range 20 {
		y.members[0].load.add(y.now, maxLoad, &y.latencies)
	}
	y.pass(900 * ms)
	assert.Equal(t, 2, y.members[0].out)
	assert.Zero(t, y.count("revoke"))
}

func TestAMemberThatFailsAtGreatSpeedDrawsNoTraffic(t *testing.T) {
	for _, e := range []routing.AttemptResult{routing.Overloaded, routing.ServerError, routing.Unreachable} {
		y := tell(t, littleSite()).group(3)
		n := 0
		for range 200 {
			y.now += 5 * ms
			r := y.begin(anyRead)
			for y.subs[r] > 0 && y.slab[r.Slot].at != none {
				if y.where[r] == 2 {
					n++
					y.ends(r, e, routing.UnknownRole, 0)
				} else {
					y.ends(r, routing.Succeeded, routing.Replica, 0)
				}
			}
		}
		assert.Less(t, n, 40, "ending %d", e)
	}
}

func TestLateAnswersNarrowTheWindowAndTheRestWaitsHere(t *testing.T) {
	p := littleSite()
	p.Topology.FleetSize = 4
	y := tell(t, p).group(1)
	for range 20 {
		y.pass(100 * ms)
		r := y.begin(write)
		if y.subs[r] > 0 {
			y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: r, Result: routing.Succeeded, RequestFinished: true, Latency: 500 * ms})
			y.settle()
		}
	}
	assert.Less(t, y.members[0].limit, 1.0)
	y.now += time.Minute // the strain is forgotten, the window is not
	y.begin(write)
	n := y.count("submit")
	y.begin(write)
	assert.Equal(t, n, y.count("submit"))
}

func TestAStrainedMemberGetsWhatIsWorthMostAndTheRestWaitsHere(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	for i := range y.members {
		y.members[i].limit = 99
		for range 20 {
			y.observeLoad(y.now, &y.members[i], (calmLoad+jamLoad)/2)
		}
	}
	sent := func(ty int) (n int) {
		for range 40 {
			n += y.subs[y.begin(ty)]
		}
		return n
	}
	cheap, dear := sent(anyRead), sent(write)
	assert.InDelta(t, 20, cheap, 6, "half of them, where nothing else comes")
	assert.Greater(t, dear, cheap+5, "a write is worth more for its length")
	y.now += time.Minute
	y.asked = y.asked[:0]
	y.begin(anyRead)
	assert.Equal(t, 1, y.count("submit"), "strain that nobody reports any more is forgotten")
}

func TestAFewAnswersAreDrawnToWhatTheOthersSay(t *testing.T) {
	y := tell(t, littleSite()).group(4)
	m := &y.members[2]
	y.observeLoad(0, m, maxLoad)
	assert.Less(t, y.loadAt(0, m), jamLoad, "one answer is no verdict")
	for range 30 {
		y.observeLoad(0, &y.members[3], maxLoad)
	}
	assert.Greater(t, y.loadAt(0, m), jamLoad, "but a whole group in a jam tells of the member that was not heard")
}

func TestAClientThatLeavesAndATimeOutAreTheWorstStrain(t *testing.T) {
	y := tell(t, littleSite()).group(1)
	y.ClientGone(y.now, y.begin(write))
	assert.Equal(t, maxLoad, y.members[0].load.sum)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: ms}, write)
	assert.Equal(t, 2*maxLoad, y.members[0].load.sum)
}

func TestErrorsThatComeEverywhereAlikeAreNoMembersFault(t *testing.T) {
	for _, faulty := range []int{none, 2} { // half of all that is sent, or all that is sent to one
		y := tell(t, littleSite()).group(4)
		for k := range 400 {
			e := routing.Succeeded
			if faulty == none && k/4%2 == 0 || k%4 == faulty {
				e = routing.ServerError
			}
			y.observeOutcome(y.now, routing.AttemptOutcome{Server: k % 4, Result: e, Latency: 10 * ms}, anyRead)
		}
		assert.Equal(t, faulty == 2, y.members[2].limit < 1)
		if faulty == 2 {
			assert.Zero(t, y.members[2].load.n, "a quick failure is no strain: where there is no other member, it goes on")
			assert.Greater(t, y.cost(y.now, &y.members[2]), 10*y.cost(y.now, &y.members[0]), "where there is, that one")
		}
		assert.GreaterOrEqual(t, y.members[1].limit, 1.0)
	}
}

func TestAFailedConnectionToAMemberThatAnswersOthersIsNoDeath(t *testing.T) {
	for _, e := range []routing.AttemptResult{routing.ConnectionLost, routing.Unreachable} {
		y := tell(t, littleSite()).group(2)
		y.now = time.Minute
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, write)
		y.observeOutcome(y.now+100*ms, routing.AttemptOutcome{Result: e, Latency: 250 * ms}, write)
		assert.False(t, y.members[0].ejected, "it answered while this one was tried")
		y.now += time.Second
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: e, Latency: 250 * ms}, write)
		assert.False(t, y.members[0].ejected, "one link may break where the member is well")
		assert.Equal(t, "probe 0", y.last("probe"))
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: e, Latency: 250 * ms}, write)
		assert.True(t, y.members[0].ejected, "the second in a row")
		y.knows(0, routing.Primary, y.now)
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, write)
		assert.False(t, y.members[0].cold, "the probe found it running: it did not start anew")
	}
}

func TestOneTimeOutTakesNoMemberDownAndTwoInARowDo(t *testing.T) {
	y := tell(t, littleSite()).group(1)
	out := routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}
	y.pass(time.Second)
	y.observeOutcome(y.now, out, anyRead)
	assert.False(t, y.members[0].ejected)
	assert.Equal(t, 1, y.count("probe"))
	y.pass(time.Second)
	y.observeOutcome(y.now, out, anyRead)
	assert.True(t, y.members[0].ejected)
}

func TestManyQuietFrontsTogetherDoNotPushAColdMemberOver(t *testing.T) {
	p := littleSite()
	p.Topology.FleetSize = 100
	y := tell(t, p).group(2)
	y.now = 20 * time.Second
	y.list(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: y.now})
	assert.True(t, y.members[1].cold)
	y.now += p.Guardrails.OverloadWindow
	assert.False(t, y.slowStartAdmits(y.now, &y.members[1], 0.05), "a front that sent nothing has a hundredth of one")
}

func TestAColdMembersPartIsMeasuredByWhatTheWarmOnesBear(t *testing.T) {
	part := func(down int) float64 {
		y := tell(t, littleSite()).group(5)
		y.now, y.served = 20*time.Second, decayingMean{sum: 50, at: 20 * time.Second}
		for i := range down {
			y.members[i].ejected = true
		}
		y.beginSlowStart(y.now, &y.members[4], y.now)
		y.members[4].budget = 0
		y.TimerFired(y.now)
		y.slowStartAdmits(y.now+100*ms, &y.members[4], 1)
		return y.members[4].budget
	}
	assert.InDelta(t, 2*part(0), part(2), 1e-9, "with two of four down the other two bear it all")
}

func TestTheLeastLatencyOutlastsABusySpell(t *testing.T) {
	y := tell(t, littleSite())
	for range 100 {
		y.observeLatency(time.Second, anyRead, 40*ms)
	}
	least := y.least[anyRead]
	for k := range 4000 { // ten seconds of a busy front in trouble
		y.observeLatency(time.Second+time.Duration(k)*10*time.Second/4000, anyRead, 150*ms)
	}
	assert.Less(t, y.least[anyRead], least*21/20, "forgotten by time, not by answers: what is crowded stays told")
	y.observeLatency(time.Hour, anyRead, 150*ms)
	assert.Greater(t, y.least[anyRead], 2*least, "but forgotten in the end")
}

func TestALostAnswerIsNoSignOfAQueue(t *testing.T) {
	y := tell(t, littleSite()).group(1)
	y.pass(time.Second)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	room := y.members[0].limit
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Equal(t, room, y.members[0].limit, "one that was sent later came back quickly")
	y.pass(time.Second)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Less(t, y.members[0].limit, room)
	room = y.members[0].limit
	y.pass(10 * time.Second)
	y.knows(0, routing.Primary, y.now)
	y.observeOutcome(y.now+100*ms, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Equal(t, room, y.members[0].limit, "by its own report it holds nothing")
}

func TestWhatLooksLostIsSentAgainOnceAtAMemberThatLosesSome(t *testing.T) {
	for _, losing := range []float64{0, 0.2} {
		y := tell(t, littleSite()).group(2)
		w := y.begin(write)
		y.members[0].lossRate, y.members[0].quickAt = losing, 10*ms
		y.members[0].waitingSince = time.Hour // it answers others
		y.pass(700 * ms)
		if losing == 0 {
			assert.Zero(t, y.count("revoke"))
			continue
		}
		assert.Equal(t, "revoke 1.0", y.last("revoke"))
		y.ends(w, routing.Cancelled, routing.UnknownRole, 0)
		assert.Equal(t, 2, y.count("submit"))
		y.members[0].waitingSince, y.members[0].quickAt = time.Hour, time.Hour
		y.pass(700 * ms)
		assert.Equal(t, 1, y.count("revoke"), "but once")
	}
}

func TestWhatIsWorthMostGoesFirst(t *testing.T) {
	p := littleSite()
	p.Topology.RetriesMarked = true
	y := tell(t, p).group(1)
	y.members[0].limit = 1
	first := y.begin(write)
	cheap := y.begin(anyRead)
	retry := y.begin(write, func(t *routing.Request) { t.Retry = true })
	dear := y.begin(write)
	for _, next := range []routing.RequestRef{dear, cheap, retry} {
		y.ends(first, routing.Succeeded, routing.Primary, 0)
		assert.Equal(t, 1, y.subs[next])
		first = next
	}
	assert.Equal(t, 1.5, y.slab[retry.Slot].value)
}

func TestAnUnmarkedRetryIsToldByItsBudget(t *testing.T) {
	y := tell(t, littleSite()).group(1)
	for range 50 {
		y.begin(anyRead, func(in *routing.Request) { in.Timeout = 400 * ms })
	}
	last := y.begin(anyRead, func(in *routing.Request) { in.Timeout = 300 * ms })
	assert.Equal(t, 1.0/4, y.slab[last.Slot].value)
	first := y.begin(anyRead, func(in *routing.Request) { in.Timeout = 400 * ms })
	assert.Equal(t, 1.0, y.slab[first.Slot].value)
	for range 20 {
		y.begin(write)
	}
	assert.Equal(t, 6.0, y.slab[y.begin(write).Slot].value, "another type's tries come with another part of its expiry")
	y.retriesMarked = true
	last = y.begin(anyRead, func(in *routing.Request) { in.Timeout = 300 * ms })
	assert.Equal(t, 1.0, y.slab[last.Slot].value, "where clients mark them, the mark is what counts")
}

func TestFurtherSubmissionsStayAShareOfFirstOnes(t *testing.T) {
	y := tell(t, littleSite()).group(5)
	n := 0
	for range 200 {
		y.now += 50 * ms
		r := y.begin(write)
		y.members[0].ejected = false
		for y.subs[r] > 0 && y.slab[r.Slot].end == open && y.slab[r.Slot].at != none {
			y.ends(r, routing.ServerError, routing.Primary, y.now)
			y.members[0].limit = 4
		}
		n += max(0, y.subs[r]-1)
	}
	assert.LessOrEqual(t, n, 200/5+20)
}

func TestProbesAreSentForCauseOnly(t *testing.T) {
	y := tell(t, littleSite()).group(4)
	for range 500 {
		y.now += 10 * ms
		y.ends(y.begin(anyRead), routing.Succeeded, routing.Replica, 0)
	}
	assert.Zero(t, y.count("probe"), "answers tell enough")
	y.eject(y.now, 3)
	for range 500 {
		y.pass(20 * ms)
		if y.members[3].probeOut {
			y.HealthCheckFinished(y.now, 3, routing.TimedOut, ms, routing.LoadReport{})
		}
	}
	assert.LessOrEqual(t, y.count("probe"), 8, "and one that is down is asked ever more rarely")
	assert.Positive(t, y.count("probe 3"))
}

func TestEqualEventsGiveEqualActionsAndTheOrdinaryPathAllocatesNothing(t *testing.T) {
	play := func() *story {
		y := tell(t, littleSite()).group(4)
		for range 50 {
			y.now += 7 * ms
			y.ends(y.begin(session), routing.Succeeded, routing.Replica, y.now)
		}
		return y
	}
	assert.Equal(t, play().asked, play().asked)

	round := ordinaryPath()
	round()
	assert.Zero(t, testing.AllocsPerRun(1000, round))
}

// ordinaryPath is a round of four requests that are answered.
func ordinaryPath() (round func()) {
	q := quiet{}
	p := littleSite()
	r := New(&q, p)
	var entries []routing.Endpoint
	for i := range 4 {
		entries = append(entries, routing.Endpoint{Server: i, Primary: i == 0})
	}
	r.EndpointsChanged(0, routing.CachedSnapshot, 1, entries)
	now, turn := time.Duration(0), uint32(0)
	return func() {
		for _, ty := range []int{write, session, anyRead, bounded} {
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

// quiet is a host that only notes where the last request went.
type quiet struct {
	story
	to int
}

func (q *quiet) StartAttempt(_ routing.RequestRef, m int, _ time.Duration) { q.to = m }
func (q *quiet) StartHealthCheck(int)                                      {}

// The group's only primary is at another site, and the way there is cut: waiting would bring nothing. What a copy here may
// answer goes on; when the way is open again, all does.
func TestAPrimaryBehindACutWayIsNotWaitedForAndServesAtOnceWhenItIsOpen(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	y.now = time.Second
	y.ends(y.begin(write), routing.Succeeded, routing.Primary, y.now)
	y.knows(2, routing.Replica, y.now)
	y.list(routing.Delta, routing.Endpoint{Server: 0, State: routing.Partitioned, Primary: true})
	y.begin(onceOnly)
	assert.Equal(t, "decline 2, back in 200ms", y.last("decline"), "at once")
	y.begin(anyRead)
	assert.Equal(t, "submit 3 to 2", y.last("submit"))
	y.list(routing.Delta, routing.Endpoint{Server: 0, Primary: true})
	y.begin(onceOnly)
	assert.Equal(t, "submit 4 to 0", y.last("submit"))
}

// The move: deployments of another build.

func TestWhereOnlyReportsTellPositionsTheirAgeIsTakenOff(t *testing.T) {
	p := littleSite()
	p.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	y := tell(t, p).group(3)
	y.begin(anyRead)
	answers := func(member int, role routing.Role, reported time.Duration) {
		y.members[member].out++
		y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: routing.RequestRef{}, Server: member, Result: routing.Succeeded, Role: role, Latency: 30 * ms,
			Load: routing.LoadReport{Role: role, Position: reported, HasPosition: true}})
	}
	for range 20 { // reports are three seconds late, all of them
		y.pass(100 * ms)
		answers(0, routing.Primary, y.now-3*time.Second)
		answers(1, routing.Replica, y.now-3*time.Second)
		answers(2, routing.Replica, y.now-5*time.Second)
	}
	assert.InDelta(t, 3*time.Second, y.reportAge, float64(50*ms))
	assert.Less(t, y.now-y.estimate(&y.members[1], y.now), 100*ms, "its report is late, it is not")
	assert.Greater(t, y.now-y.estimate(&y.members[2], y.now), time.Second, "this one is behind by its late report too")
	y.begin(bounded)
	assert.Equal(t, "submit 2 to 1", y.last("submit"))
}

func TestATxnThatFailsAtTwoMembersIsAnsweredAtOnceWithNoTimeToComeBackWhereNoneMayBeNamed(t *testing.T) {
	p := littleSite()
	p.Limits.MaxRetryAfter = 0
	y := tell(t, p).group(4)
	r := y.begin(anyRead)
	y.ends(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, y.subs[r], "one error may be a member's")
	y.ends(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, y.subs[r])
	assert.Equal(t, "decline 1, back in 0s", y.last("decline"))
	y.errorRate = 0.3
	r = y.begin(anyRead)
	y.ends(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 1, y.subs[r], "where errors are common the first is enough")
}

func TestErrorsAreNoLostAnswers(t *testing.T) {
	y := tell(t, littleSite()).group(1)
	for range 50 {
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.ServerError, Latency: ms}, anyRead)
	}
	assert.Zero(t, y.members[0].lossRate, "else what takes four least latencies would be taken back")
}

func TestWhatAFrontFindsAfterItStoodStillIsHeldAgainstNoMember(t *testing.T) {
	y := tell(t, littleSite()).group(1)
	for range 3 {
		y.pass(100 * ms)
		y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	}
	a, b := y.begin(anyRead), y.begin(anyRead)
	room, strain := y.members[0].limit, y.members[0].load.n
	y.now += 5 * time.Second // no beat came
	y.TimerFired(y.now)      // the alarm stands before the endings in what came meanwhile
	assert.False(t, y.members[0].ejected, "it is not the member that was silent")
	y.ends(a, routing.TimedOut, routing.UnknownRole, 0)
	y.ClientGone(y.now, b)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 5 * time.Second}, anyRead)
	assert.Equal(t, room, y.members[0].limit)
	assert.Equal(t, strain, y.members[0].load.n)
	y.pass(100 * ms)
	y.observeOutcome(y.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 600 * ms}, anyRead)
	assert.Less(t, y.members[0].limit, room, "what comes later counts again")
}

func TestAMemberThatAnswersProbesButTakesNoLinksIsNotDown(t *testing.T) {
	p := littleSite()
	p.Topology.TickInterval = 50 * ms
	y := tell(t, p).group(1)
	y.pass(time.Second)
	again := y.retryBudget
	for range 20 {
		w := y.begin(write)
		y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: w, AttemptNumber: y.subs[w] - 1, Result: routing.Unreachable, Latency: 2 * ms})
		y.settle()
		y.knows(0, routing.Primary, y.now)
		y.pass(2 * y.tick)
		y.ends(w, routing.Succeeded, routing.Primary, y.now)
	}
	assert.False(t, y.members[0].ejected)
	assert.LessOrEqual(t, y.count("probe"), 8, "what answered within an SLA time is not asked again")
	assert.Equal(t, 40, y.count("submit"), "each goes out again, after a pause")
	assert.GreaterOrEqual(t, y.retryBudget, again, "a refused link was no work for the member")
}

func TestManyFrontsTogetherSendAColdMemberItsPartFromTheStart(t *testing.T) {
	for _, fronts := range []int{30, 250, 900} {
		sent := 0
		for seed := range fronts {
			p := littleSite()
			p.Topology.FleetSize = fronts
			y := tell(t, p).group(6)
			y.seed = uint64(seed)
			y.now, y.warmMembers = 20*time.Second, 5
			y.served = decayingMean{sum: 1, n: 20, at: y.now} // two requests of 50 ms a second at each warm member
			m := &y.members[5]
			y.beginSlowStart(y.now, m, y.now)
			for end := y.now + 2*time.Second; y.now < end; y.now += 100 * ms {
				y.served.at = y.now
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
	p := littleSite()
	p.Topology.FleetSize = 250
	p.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	y := tell(t, p)
	list := []routing.Endpoint{{Server: 0, Primary: true}, {Server: 1}, {Server: 2, HasStartTime: true, StartedAt: -time.Second},
		{Server: 3, Group: 1, Primary: true}, {Server: 4, Group: 1}}
	y.list(routing.CachedSnapshot, list...)
	y.pass(100 * ms)
	r := y.begin(session)
	assert.Equal(t, 1, y.where[r], "a replica, whose own check decides")
	y.ends(r, routing.Misrouted, routing.Replica, 0)
	assert.Equal(t, 0, y.where[r], "and after a miss the primary")
	y.ends(r, routing.Succeeded, routing.Primary, 0)
	for range 40 {
		y.pass(50 * ms)
		r := y.begin(anyRead)
		if y.subs[r] > 0 {
			y.ends(r, routing.Succeeded, routing.Replica, 0)
		}
	}
	cold := 0
	for _, m := range y.where {
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
		y := tell(t, littleSite()).group(3)
		y.pass(100 * ms)
		y.ends(y.begin(anyRead), routing.Succeeded, routing.Replica, 0)
		for range failing { // worthless, the same everywhere
			y.ends(y.begin(anyRead), routing.ServerError, routing.Replica, 0)
		}
		return y.served.sum
	}
	assert.Equal(t, part(0), part(40), "else a cold member gets four times its part, all of which counts against it")
}

// A request whose client leaves in the batch in which it came goes nowhere: its place is free again at once.
func TestARequestThatLeavesInTheBatchOfItsArrivalGoesNowhere(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	r := routing.RequestRef{Slot: 1, Generation: 1}
	y.RequestReceived(y.now, routing.Request{Ref: r, Type: anyRead, Customer: routing.None, Timeout: time.Second})
	y.ClientGone(y.now, r)
	y.settle()
	y.pass(time.Second)
	assert.Empty(t, y.asked)
}
