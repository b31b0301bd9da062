package zones

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	healthyThreshold = suspectThreshold / 2 // a zone may be healthy below this failure share; lower than suspectThreshold to prevent flapping
	probePermille    = 50                   // share of its traffic that an evacuated zone still gets, in thousandths
	maxFlaps         = 6                    // largest FlapCount
)

// ControllerOptions configure a Controller. All its times are derived from them.
type ControllerOptions struct {
	LeaseDuration time.Duration // of the fleet
	WarmUpTime    time.Duration // of a server after its start: no ramp is shorter
}

// suspicionTime returns for how long a zone must fail before it is evacuated.
func (o ControllerOptions) suspicionTime() time.Duration { return o.LeaseDuration / 6 }

// evacuationTime returns how long fronts take to move their traffic.
func (o ControllerOptions) evacuationTime() time.Duration { return o.LeaseDuration }

// recoveryDelay returns for how long an evacuated zone must be healthy before traffic returns. It doubles with each flap.
func (o ControllerOptions) recoveryDelay(flaps uint8) time.Duration {
	return o.LeaseDuration / 3 << min(flaps, maxFlaps)
}

// flapDecay returns for how long a zone must be healthy before its FlapCount decreases by one.
func (o ControllerOptions) flapDecay() time.Duration { return 32 * o.LeaseDuration }

// rampStep returns the time between two steps of a ramp.
func (o ControllerOptions) rampStep() time.Duration {
	return max(o.WarmUpTime/12, o.LeaseDuration/6)
}

// Input is the input of one step of a Controller.
type Input struct {
	Estimates []Estimate
	Recovery  map[string]RecoveryTraffic // by recovering zone, since the last step
	// Plan plans how far a zone can be evacuated, given the zones that are evacuated. It returns nil if there is no plan.
	Plan func(zone string, evacuated map[string]bool) *Plan
}

// RecoveryTraffic counts the attempts of all fronts together in a recovering zone since the Controller's last step, by outcome.
type RecoveryTraffic struct {
	Attempts, Succeeded float64
	Overloaded          float64 // attempts that were answered late or rejected
}

// Controller changes the states of zones at the leaseholder. Everything that must survive a change of leaseholder is in the replicated
// state. For how long a zone has been failing or healthy starts anew with another leaseholder.
type Controller struct {
	options   ControllerOptions
	timers    map[string]*zoneTimers
	renewedAt time.Duration
}

// NewController makes a Controller for a front that has acquired the lease.
func NewController(o ControllerOptions) *Controller {
	return &Controller{options: o, timers: map[string]*zoneTimers{}}
}

// zoneTimers measure for how long the conditions of one zone have held.
type zoneTimers struct {
	failing, healthy     timer // failure share above suspectThreshold, or below healthyThreshold
	evacuating, rampStep timer // since the evacuation started, and since the last step of the ramp
}

// timer measures for how long a condition has held. The zero value is a timer that is not started.
type timer struct {
	at      time.Duration
	started bool
}

// start starts the timer anew.
func (t *timer) start(now time.Duration) { *t = timer{now, true} }

// lasted returns for how long a condition has held, or -1 if it does not hold.
func (t *timer) lasted(now time.Duration, holds bool) time.Duration {
	if !holds {
		*t = timer{}
		return -1
	}
	if !t.started {
		t.start(now)
	}
	return now - t.at
}

// Step returns the state to store, and whether it differs from s. That includes renewals: the entries of zones that are not healthy are
// renewed twice in a deadline.
func (c *Controller) Step(now time.Duration, s State, in Input) (next State, changed bool) {
	next = State{Zones: slices.Clone(s.Zones)}
	evacuated := map[string]bool{}
	for _, status := range next.Zones {
		if status.EvacuatedPermille > 0 {
			evacuated[status.Zone] = true
		}
	}
	for _, estimate := range in.Estimates {
		status := next.Status(estimate.Zone)
		before := status
		c.stepZone(&zoneStep{Input: in, now: now, status: &status, estimate: estimate, evacuated: evacuated})
		if status != before {
			status.Epoch++
			status.Renewals, status.Deadline = 0, 4*c.options.LeaseDuration
			changed = true
			next.setStatus(status)
		}
	}
	if changed || now-c.renewedAt >= 2*c.options.LeaseDuration {
		for i := range next.Zones {
			if next.Zones[i].State != Healthy || next.Zones[i].FlapCount > 0 {
				next.Zones[i].Renewals++
				changed = true
			}
		}
		c.renewedAt = now
	}
	return next, changed
}

// zoneStep is the input of one step for one zone, and the status that the step changes.
type zoneStep struct {
	Input
	now       time.Duration
	status    *ZoneStatus
	estimate  Estimate
	evacuated map[string]bool // zones that are evacuated, wholly or in part
}

// observersText returns how many fronts see the zone failing, as a text for the reason of a state.
func (z *zoneStep) observersText() string {
	return fmt.Sprintf("%d of %d fronts see it failing", z.estimate.FailureObservers, z.estimate.Observers)
}

// stepZone changes the state of one zone, unless it is pinned.
func (c *Controller) stepZone(z *zoneStep) {
	if z.status.Pinned {
		return
	}
	timers := c.timers[z.status.Zone]
	if timers == nil {
		timers = &zoneTimers{}
		c.timers[z.status.Zone] = timers
	}
	failing := timers.failing.lasted(z.now, z.estimate.FailureShare > suspectThreshold)
	healthy := timers.healthy.lasted(z.now, z.estimate.FailureShare < healthyThreshold)
	status := z.status
	switch status.State {
	case Healthy:
		if failing >= 0 {
			status.State, status.Reason = Suspected, z.observersText()
		} else if healthy > c.options.flapDecay() && status.FlapCount > 0 {
			status.FlapCount--
			timers.healthy.start(z.now)
		}
	case Suspected:
		if failing < 0 && healthy >= 0 {
			status.State, status.Reason = Healthy, "healthy again before it was evacuated"
		} else if failing >= c.options.suspicionTime() {
			c.evacuate(z, timers)
		}
	case Evacuating:
		if !timers.evacuating.started {
			timers.evacuating.start(z.now)
		} else if z.now-timers.evacuating.at >= c.options.evacuationTime() {
			status.State, status.Reason = Evacuated, "its traffic has moved"
		}
	case Evacuated:
		if healthy >= c.options.recoveryDelay(status.FlapCount) {
			status.State, status.Reason = Recovering, "the remaining traffic succeeds"
			timers.rampStep.start(z.now)
		}
	case Recovering:
		c.stepRamp(z, timers)
	}
}

// evacuate starts to evacuate a zone, as far as the other zones have capacity. At least one zone is never evacuated.
func (c *Controller) evacuate(z *zoneStep, timers *zoneTimers) {
	status := z.status
	others := maps.Clone(z.evacuated)
	delete(others, status.Zone)
	if len(others)+1 >= len(z.Estimates) {
		return
	}
	plan := z.Plan(status.Zone, others)
	if plan == nil || plan.Share <= 0 {
		status.Reason = "the other zones have no capacity: it is not evacuated, and sheds load"
		return
	}
	status.State, status.EvacuatedPermille = Evacuating, uint16(min(plan.Share*1000, 1000-probePermille))
	status.FlapCount = min(status.FlapCount+1, maxFlaps)
	status.Reason = fmt.Sprintf("%s; the others can take %.0f%%", z.observersText(), plan.Share*100)
	z.evacuated[status.Zone] = true
	timers.failing = timer{}
	timers.evacuating.start(z.now)
}

// stepRamp changes the share of its traffic that returns to a recovering zone. One ramp applies to all fronts. It decides by the zone's
// estimated failure share and by the outcomes of all fronts' attempts in the zone since the last step. While more than three quarters of
// the attempts succeed, or the zone looks healthy and had too few attempts to tell, each step returns a quarter more traffic. If the zone
// fails, or more than a quarter of the attempts were answered late or rejected, the returned traffic is halved. The ramp is not
// complete before servers have warmed up. Another leaseholder continues the ramp from the replicated state.
func (c *Controller) stepRamp(z *zoneStep, timers *zoneTimers) {
	if !timers.rampStep.started {
		timers.rampStep.start(z.now)
		return
	}
	status, traffic := z.status, z.Recovery[z.status.Zone]
	conclusive := traffic.Attempts > minAttempts
	returned := 1000 - int(status.EvacuatedPermille)
	switch {
	case z.estimate.FailureShare > suspectThreshold || conclusive && traffic.Overloaded > traffic.Attempts/4:
		timers.rampStep.start(z.now)
		if returned /= 2; returned < probePermille {
			status.State, status.EvacuatedPermille, status.FlapCount = Evacuated, 1000-probePermille, min(status.FlapCount+1, maxFlaps)
			status.Reason = "the returned traffic fails"
			return
		}
		status.EvacuatedPermille, status.Reason = uint16(1000-returned), "overload: the returned traffic is halved"
	case z.now-timers.rampStep.at < c.options.rampStep():
	case conclusive && traffic.Succeeded > traffic.Attempts*3/4 || !conclusive && z.estimate.FailureShare < healthyThreshold:
		timers.rampStep.start(z.now)
		if returned = max(returned*5/4, returned+10); returned >= 1000 {
			status.State, status.EvacuatedPermille, status.Reason = Healthy, 0, "all its traffic has returned"
			return
		}
		status.EvacuatedPermille, status.Reason = uint16(1000-returned), "the returned traffic succeeds"
	}
}
