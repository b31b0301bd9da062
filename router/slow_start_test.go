package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestWarmingUpServerGetsItsShareOnly(t *testing.T) {
	sends := func(cold bool) (n int) {
		h := newHarness(testDeployment()).withGroup(3)
		h.now = 20 * time.Second
		if cold {
			h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 2, HasStartTime: true, StartedAt: h.now})
		}
		for range 400 {
			h.now += 5 * ms
			r := h.receive(anyRead)
			if h.attempts[r] == 0 {
				continue
			}
			if h.sentTo[r] == 2 {
				n++
			}
			h.finish(r, routing.Succeeded, routing.Replica, h.now)
		}
		return n
	}
	assert.Less(t, float64(sends(true)), 0.5*float64(sends(false)))
}

func TestWarmingUpServerThatRejectsReadsIsNotFlooded(t *testing.T) {
	p := testDeployment()
	p.Topology.RoleListing = routing.RolesNotListed
	h := newHarness(p).withGroup(2)
	h.now = 20 * time.Second
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: h.now})
	h.servers[0].ejected, h.servers[0].trialAt = true, time.Hour
	n := 0
	for range 200 { // a second in which the group has no primary and the server is behind
		h.now += 5 * ms
		r := h.receive(sessionRead, func(t *routing.Request) { t.Session = 0 })
		for h.attempts[r] > 0 && h.slots[r.Slot].sentTo != none {
			n++
			h.finish(r, routing.Misrouted, routing.Replica, 10*time.Second)
		}
		h.advance(5 * ms)
	}
	assert.LessOrEqual(t, n, 5)
}

func TestUnreachableServerCountsAsRestarted(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	h.now = time.Minute
	h.finish(h.receive(write), routing.Unreachable, routing.UnknownRole, 0)
	h.HealthCheckFinished(h.now, 0, routing.Unreachable, ms, routing.LoadReport{})
	h.now += time.Second
	h.reportRole(0, routing.Primary, h.now)
	h.finish(h.receive(write), routing.Succeeded, routing.Primary, h.now)
	assert.True(t, h.servers[0].warmingUp)
}

func TestManyQuietInstancesDoNotOverloadWarmingUpServer(t *testing.T) {
	p := testDeployment()
	p.Topology.FleetSize = 100
	h := newHarness(p).withGroup(2)
	h.now = 20 * time.Second
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: h.now})
	assert.True(t, h.servers[1].warmingUp)
	h.now += p.Guardrails.OverloadWindow
	assert.False(t, h.slowStartAdmits(h.now, &h.servers[1], 0.05), "an instance that sent nothing may send a hundredth of one")
}

func TestWarmingUpShareFollowsWorkOfWarmServers(t *testing.T) {
	part := func(down int) float64 {
		h := newHarness(testDeployment()).withGroup(5)
		h.now, h.servedWork = 20*time.Second, decayingMean{sum: 50, at: 20 * time.Second}
		for i := range down {
			h.servers[i].ejected = true
		}
		h.beginSlowStart(h.now, &h.servers[4], h.now)
		h.servers[4].slowStartBudget = 0
		h.TimerFired(h.now)
		h.slowStartAdmits(h.now+100*ms, &h.servers[4], 1)
		return h.servers[4].slowStartBudget
	}
	assert.InDelta(t, 2*part(0), part(2), 1e-9, "with two of four ejected the other two do all the work")
}

func TestManyInstancesSendWarmingUpServerItsShareFromStart(t *testing.T) {
	for _, fronts := range []int{30, 250, 900} {
		sent := 0
		for seed := range fronts {
			p := testDeployment()
			p.Topology.FleetSize = fronts
			h := newHarness(p).withGroup(6)
			h.seed = uint64(seed)
			h.now, h.warmServers = 20*time.Second, 5
			h.servedWork = decayingMean{sum: 1, n: 20, at: h.now} // two requests of 50 ms a second at each warm server
			m := &h.servers[5]
			h.beginSlowStart(h.now, m, h.now)
			for end := h.now + 2*time.Second; h.now < end; h.now += 100 * ms {
				h.servedWork.at = h.now
				if h.slowStartAdmits(h.now, m, 0.05) {
					m.slowStartBudget -= 0.05
					sent++
				}
			}
		}
		// In two seconds a warm server gets four requests of each instance; the one warming up gets 0.2 to 0.36 of that, times 1.5.
		part := float64(4*fronts) * 0.28 * 1.5
		assert.InDelta(t, part, sent, 60*math.Sqrt(float64(fronts)/250), "%d fronts", fronts)
	}
}

func TestFailedAttemptsAreNotServedWork(t *testing.T) {
	part := func(failing int) float64 {
		h := newHarness(testDeployment()).withGroup(3)
		h.advance(100 * ms)
		h.finish(h.receive(anyRead), routing.Succeeded, routing.Replica, 0)
		for range failing { // at all servers alike
			h.finish(h.receive(anyRead), routing.ServerError, routing.Replica, 0)
		}
		return h.servedWork.sum
	}
	assert.Equal(t, part(0), part(40), "else a server that is warming up gets four times its share")
}
