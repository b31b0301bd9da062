package router

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestWarmingUpServerGetsItsShareOnly(t *testing.T) {
	sends := func(warmingUp bool) (n int) {
		h := newHarness(testDeployment()).withGroup(3)
		h.now = 20 * time.Second
		if warmingUp {
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
	o := testDeployment()
	o.Topology.RoleListing = routing.RolesNotListed
	h := newHarness(o).withGroup(2)
	h.now = 20 * time.Second
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: h.now})
	h.servers[0].ejected, h.servers[0].trialAt = true, time.Hour
	n := 0
	for range 200 { // one second in which the group has no primary and the server is behind
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
	o := testDeployment()
	o.Topology.FleetSize = 100
	h := newHarness(o).withGroup(2)
	h.now = 20 * time.Second
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, HasStartTime: true, StartedAt: h.now})
	assert.True(t, h.servers[1].warmingUp)
	h.now += o.DeploymentRules.OverloadWindow
	assert.False(t, h.slowStartAdmits(h.now, &h.servers[1], 0.05), "an instance that sent nothing may send a hundredth of a request")
}

func TestWarmingUpShareFollowsWorkOfWarmServers(t *testing.T) {
	budget := func(ejected int) float64 {
		h := newHarness(testDeployment()).withGroup(5)
		h.now, h.servedWork = 20*time.Second, decayingMean{sum: 50, at: 20 * time.Second}
		for i := range ejected {
			h.servers[i].ejected = true
		}
		h.beginSlowStart(h.now, &h.servers[4], h.now)
		h.servers[4].slowStartBudget = 0
		h.TimerFired(h.now)
		h.slowStartAdmits(h.now+100*ms, &h.servers[4], 1)
		return h.servers[4].slowStartBudget
	}
	assert.InDelta(t, 2*budget(0), budget(2), 1e-9, "with two of four ejected, the other two do all the work")
}

func TestManyInstancesSendWarmingUpServerItsShareFromStart(t *testing.T) {
	for _, fronts := range []int{30, 250, 900} {
		sent := 0
		for seed := range fronts {
			o := testDeployment()
			o.Topology.FleetSize = fronts
			h := newHarness(o).withGroup(6)
			h.seed = uint64(seed)
			h.now, h.warmServers = 20*time.Second, 5
			h.servedWork = decayingMean{sum: 1, n: 20, at: h.now} // each warm server gets two requests of 50 ms per second
			s := &h.servers[5]
			h.beginSlowStart(h.now, s, h.now)
			for end := h.now + 2*time.Second; h.now < end; h.now += 100 * ms {
				h.servedWork.at = h.now
				if h.slowStartAdmits(h.now, s, 0.05) {
					s.slowStartBudget -= 0.05
					sent++
				}
			}
		}
		// In two seconds a warm server gets four requests from each instance. The warming-up server gets 0.2 to 0.36 of
		// that, times 1.5.
		expected := float64(4*fronts) * 0.28 * 1.5
		assert.InDelta(t, expected, sent, 60*math.Sqrt(float64(fronts)/250), "%d fronts", fronts)
	}
}

func TestFailedAttemptsAreNotServedWork(t *testing.T) {
	servedWork := func(failing int) float64 {
		h := newHarness(testDeployment()).withGroup(3)
		h.advance(100 * ms)
		h.finish(h.receive(anyRead), routing.Succeeded, routing.Replica, 0)
		for range failing { // at all servers alike
			h.finish(h.receive(anyRead), routing.ServerError, routing.Replica, 0)
		}
		return h.servedWork.sum
	}
	assert.Equal(t, servedWork(0), servedWork(40), "otherwise a warming-up server gets four times its share")
}
