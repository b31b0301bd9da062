package zones

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const leaseDuration = 3 * time.Second

var allZones = []string{"a", "b", "c"}

// fullPlan returns a plan that moves everything.
func fullPlan(zone string, _ map[string]bool) *Plan { return &Plan{Zone: zone, Share: 1} }

// newInput returns the input of a step, given the failure share of each zone.
func newInput(failureShares map[string]float64) Input {
	in := Input{Plan: fullPlan}
	for _, zone := range allZones {
		in.Estimates = append(in.Estimates, Estimate{Zone: zone, FailureShare: failureShares[zone], Observers: 9, FailureObservers: 6})
	}
	return in
}

func newTestController(warmUpTime time.Duration) *Controller {
	return NewController(ControllerOptions{LeaseDuration: leaseDuration, WarmUpTime: warmUpTime})
}

// runSteps steps a controller ten times a second for a duration, and returns the last state.
func runSteps(c *Controller, s State, duration time.Duration, in Input) State {
	for at := time.Duration(0); at < duration; at += 100 * time.Millisecond {
		s, _ = c.Step(at, s, in)
	}
	return s
}

func TestZoneIsEvacuatedInUnderTwoSecondsAndRecoversByARamp(t *testing.T) {
	c, s := newTestController(10*time.Second), State{}
	var at time.Duration
	var states []ZoneState
	step := func(failureShare float64, traffic RecoveryTraffic) ZoneStatus {
		in := newInput(map[string]float64{"a": failureShare})
		in.Recovery = map[string]RecoveryTraffic{"a": traffic}
		if next, changed := c.Step(at, s, in); changed {
			s = next
		}
		status := s.Status("a")
		if len(states) == 0 || states[len(states)-1] != status.State {
			states = append(states, status.State)
		}
		at += 100 * time.Millisecond
		return status
	}
	step(0, RecoveryTraffic{})
	failedAt := at
	for status := (ZoneStatus{}); status.EvacuatedPermille == 0; {
		status = step(0.9, RecoveryTraffic{})
	}
	assert.Less(t, at-failedAt, 2*time.Second)
	for at < 20*time.Second {
		assert.LessOrEqual(t, step(0.9, RecoveryTraffic{}).EvacuatedPermille, uint16(1000-probePermille), "a small share stays")
	}
	recoveredAt, last, largestStep := at, uint16(1000-probePermille), 0.0
	for s.Status("a").State != Healthy && at < 5*time.Minute {
		status := step(0, RecoveryTraffic{Attempts: 100, Succeeded: 100})
		if status.EvacuatedPermille < last {
			largestStep = max(largestStep, float64(1000-status.EvacuatedPermille)/float64(1000-last))
			last = status.EvacuatedPermille
		}
	}
	assert.Equal(t, []ZoneState{Healthy, Suspected, Evacuating, Evacuated, Recovering, Healthy}, states)
	assert.GreaterOrEqual(t, at-recoveredAt, 10*time.Second, "the ramp does not end before the servers have warmed up")
	assert.LessOrEqual(t, at-recoveredAt, 20*time.Second)
	assert.LessOrEqual(t, largestStep, 1.26, "each step returns at most a quarter more")
}

func TestOverloadHalvesTheRampAndAFlappingZoneRecoversLater(t *testing.T) {
	c := newTestController(6 * time.Second)
	s := State{Zones: []ZoneStatus{{Zone: "a", State: Recovering, EvacuatedPermille: 400, FlapCount: 1, Epoch: 4}}}
	s, _ = c.Step(0, s, newInput(nil))
	in := newInput(nil)
	in.Recovery = map[string]RecoveryTraffic{"a": {Attempts: 100, Succeeded: 60, Overloaded: 40}}
	s, changed := c.Step(time.Second, s, in)
	require.True(t, changed)
	assert.EqualValues(t, 700, s.Status("a").EvacuatedPermille)

	delays := []time.Duration{}
	for flaps := range uint8(4) {
		c := newTestController(6 * time.Second)
		s := State{Zones: []ZoneStatus{{Zone: "a", State: Evacuated, EvacuatedPermille: 950, FlapCount: flaps}}}
		at := time.Duration(0)
		for s.Status("a").State == Evacuated {
			s, _ = c.Step(at, s, newInput(nil))
			at += 50 * time.Millisecond
		}
		delays = append(delays, at)
	}
	for i := 1; i < 4; i++ {
		assert.Greater(t, delays[i], delays[i-1]*3/2)
	}
}

func TestZoneIsNotEvacuatedWithoutCapacityElsewhere(t *testing.T) {
	// All three zones fail at once, as in a burst of load that looks like a failure.
	s := runSteps(newTestController(6*time.Second), State{}, 20*time.Second, newInput(map[string]float64{"a": 0.8, "b": 0.8, "c": 0.8}))
	remaining := 0
	for _, zone := range allZones {
		if s.Status(zone).EvacuatedPermille == 0 {
			remaining++
		}
	}
	assert.GreaterOrEqual(t, remaining, 1)

	in := newInput(map[string]float64{"a": 0.8})
	in.Plan = func(string, map[string]bool) *Plan { return &Plan{} }
	s = runSteps(newTestController(6*time.Second), State{}, 5*time.Second, in)
	assert.Zero(t, s.Status("a").EvacuatedPermille)
	assert.Contains(t, s.Status("a").Reason, "not evacuated")
}

func TestPinnedZoneIgnoresObservations(t *testing.T) {
	s := Pin(State{}, "b", PinOptions{EvacuatedPermille: 300, Duration: time.Hour, Reason: "works"})
	s = runSteps(newTestController(6*time.Second), s, 10*time.Second, newInput(map[string]float64{"b": 0.9}))
	assert.EqualValues(t, 300, s.Status("b").EvacuatedPermille)
	s = Unpin(s, "b", "done")
	assert.Equal(t, Recovering, s.Status("b").State)
}
