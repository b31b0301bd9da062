package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/routing"
)

// A shared result says only how a probe ended. It carries no role, position or load, whatever the leaseholder received.
func TestSharedProbeResultCarriesNoRoleOrPosition(t *testing.T) {
	for _, l := range []fleet.ProbeResult{{Healthy: true}, {Code: "57P03"}, {ConnectionLost: true}, {}} {
		l.Server = "s-1"
		back, ok := fleet.DecodeProbeResult(l.Encode())
		require.True(t, ok)
		e := probeFinished(nil, back)
		assert.Empty(t, e.Result.Role)
		assert.False(t, e.Result.HasApplied)
		assert.Empty(t, e.Result.Value())
		assert.Equal(t, l.Healthy, e.Err == nil && e.Result.Complete && e.Result.Code == "")
		assert.Equal(t, l.Code != "" || l.Healthy, e.Err == nil)
	}
}

func TestProbeLeaseIsDeclaredForEachGroupOfTheEndpointList(t *testing.T) {
	var declared []string
	s := NewProber(time.Second, time.Second)
	s.DeclareLease, s.post = func(lease string) { declared = append(declared, lease) }, func(front.Event) {}
	entries := []discovery.Endpoint{{Name: "a", Address: "x:1", Group: 3}, {Name: "b", Address: "x:2", Group: 3}, {Name: "c", Address: "x:3", Group: 4}}
	s.OnFrontEvent(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: entries}})
	s.OnFrontEvent(front.EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: entries[:1]}})
	assert.Equal(t, []string{"scout/3", "scout/4"}, declared)
	s.OnFleetEvent(fleet.FleetReached{}, "n1")
	s.OnFleetEvent(fleet.LeaseGranted{Lease: "scout/3", Leaseholder: "n2"}, "n1")
	assert.True(t, s.leases.holders["scout/3"] == "n2" && !s.leases.isolated)
	s.OnFleetEvent(fleet.LeaseGranted{Lease: "scout/3", Leaseholder: "n1"}, "n1")
	s.OnFleetEvent(fleet.LeaseAcquired{Lease: "scout/3"}, "n1")
	assert.True(t, s.leases.own["scout/3"] && s.leases.holders["scout/3"] == "")
}

// proberHarness runs the prober of front n1 between a core and pools, with a clock that the test controls. It records what the prober
// sends, posts, publishes and requests. The endpoint list has servers "a" and "b" in one group; their indexes are 0 and 1.
type proberHarness struct {
	*Prober
	now       time.Duration
	timers    []harnessTimer
	sent      []sentProbe
	posted    []front.Event
	published []fleet.ProbeResult
	requested []string // servers that the leaseholder was asked to probe
}

// sentProbe is a probe that reached the pool of a server.
type sentProbe struct {
	server  int
	attempt *front.Attempt
}

// harnessTimer is a call that the prober has scheduled with After.
type harnessTimer struct {
	at   time.Duration
	call func()
}

// recordingPools are pools that record what is sent.
type recordingPools struct{ h *proberHarness }

// SetAddress implements front.Pools.
func (recordingPools) SetAddress(int, string, time.Duration) {}

// Remove implements front.Pools.
func (recordingPools) Remove(int) {}

// Send implements front.Pools.
func (p recordingPools) Send(server int, a *front.Attempt) {
	p.h.sent = append(p.h.sent, sentProbe{server, a})
}

const (
	harnessLeaseDuration = 3 * time.Second
	harnessProbeTimeout  = 500 * time.Millisecond
)

// newProberHarness returns a harness in which the given front holds the probe lease of the group.
func newProberHarness(leaseholder string) *proberHarness {
	h := &proberHarness{Prober: NewProber(harnessLeaseDuration, harnessProbeTimeout)}
	h.Now = func() time.Duration { return h.now }
	h.After = func(d time.Duration, call func()) { h.timers = append(h.timers, harnessTimer{h.now + d, call}) }
	h.DeclareLease = func(string) {}
	h.RequestProbe = func(_, server string) { h.requested = append(h.requested, server) }
	h.Broadcast = func(_ string, data []byte) bool {
		result, _ := fleet.DecodeProbeResult(data)
		h.published = append(h.published, result)
		return true
	}
	pools, _ := h.Connect(func(e front.Event) { h.posted = append(h.posted, e) },
		func(func(front.Event)) (front.Pools, error) { return recordingPools{h}, nil })
	h.OnFrontEvent(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "a", Address: "x:1", Group: 3}, {Name: "b", Address: "x:2", Group: 3}}}})
	pools.SetAddress(0, "x:1", 0)
	pools.SetAddress(1, "x:2", 0)
	h.posted = nil
	h.OnFleetEvent(fleet.FleetReached{}, "n1")
	h.OnFleetEvent(fleet.LeaseGranted{Lease: "scout/3", Leaseholder: leaseholder}, "n1")
	if leaseholder == "n1" {
		h.OnFleetEvent(fleet.LeaseAcquired{Lease: "scout/3"}, "n1")
	}
	return h
}

// run advances the clock by d and makes the calls that become due, in order.
func (h *proberHarness) run(d time.Duration) {
	for end := h.now + d; ; {
		next := -1
		for i, t := range h.timers {
			if t.at <= end && (next < 0 || t.at < h.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			h.now = end
			return
		}
		t := h.timers[next]
		h.timers = slices.Delete(h.timers, next, next+1)
		h.now = max(h.now, t.at)
		t.call()
	}
}

// probe sends a probe of a server as the core does.
func (h *proberHarness) probe(server int) *front.Attempt {
	a := front.NewHealthCheck("")
	h.Send(server, a)
	return a
}

// receive delivers a probe result that the leaseholder broadcast.
func (h *proberHarness) receive(result fleet.ProbeResult) { h.OnProbeResult(1, result.Encode()) }

// answered returns the event that ended a probe, or nil if the probe has not ended.
func (h *proberHarness) answered(a *front.Attempt) *front.AttemptFinished {
	for _, e := range h.posted {
		if f, ok := e.(*front.AttemptFinished); ok && f.Attempt == a {
			return f
		}
	}
	return nil
}

// Guards against a probe that is sent to the wrong server. The core would take the role and the position of that server for those of the
// probed one.
func TestProbeThatWaitedIsSentToItsOwnServer(t *testing.T) {
	h := newProberHarness("n2")
	h.receive(fleet.ProbeResult{Server: "b", Pending: true})
	b := h.probe(1)
	h.run(harnessProbeTimeout / 5)
	h.receive(fleet.ProbeResult{Server: "b", Pending: true}) // a report about the leaseholder's next probe
	h.run(harnessProbeTimeout / 2)
	h.probe(0)
	h.run(2 * harnessProbeTimeout)
	assert.NotEmpty(t, h.sent)
	for _, s := range h.sent {
		assert.Equal(t, s.attempt == b, s.server == 1, "server %d", s.server)
	}
}

// Guards against a probe that waits for another front's result until its own timeout has passed. The core would then count it as a
// failure of the server.
func TestProbeThatWaitsIsSentInTimeOrEndsAsNotSent(t *testing.T) {
	pending := fleet.ProbeResult{Server: "b", Pending: true}
	for _, x := range []struct {
		name           string
		before, during bool // whether the leaseholder reports its own probe as pending before or during the wait
		sent           bool
	}{
		{name: "nothing is reported", sent: true},
		{name: "pending as it begins", before: true},
		{name: "pending while it waits", during: true},
		{name: "pending twice", before: true, during: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := newProberHarness("n2")
			if x.before {
				h.receive(pending)
			}
			probe := h.probe(1)
			h.run(harnessProbeTimeout / 4)
			if x.during {
				h.receive(pending)
			}
			h.run(harnessProbeTimeout/4 + harnessProbeTimeout/2 - 1) // just before the core ends the probe
			if x.sent {
				assert.Equal(t, []sentProbe{{1, probe}}, h.sent)
				return
			}
			assert.Empty(t, h.sent, "the server could not answer it in time")
			finished := h.answered(probe)
			if assert.NotNil(t, finished) && assert.NotNil(t, finished.Err) {
				assert.Equal(t, front.StageLocal, finished.Err.Stage, "the server is not to blame")
			}
		})
	}
}

// Guards against a server that the whole fleet takes for failed because the leaseholder had no file descriptor or port left.
func TestProbeThatWasNotSentIsNotReportedAsFailed(t *testing.T) {
	h := newProberHarness("n1")
	probe := h.probe(0)
	assert.Equal(t, []sentProbe{{0, probe}}, h.sent)
	h.OnFrontEvent(&front.AttemptFinished{Attempt: probe, Err: &front.ConnectionError{Stage: front.StageLocal, Err: assert.AnError}})
	h.run(2 * harnessProbeTimeout)
	assert.Empty(t, h.published)
	assert.NotNil(t, h.answered(probe), "the core receives the end of the probe")
}

// Guards against a single failed probe, or an outdated role, that answers the probes of every front for five lease durations.
func TestSharedProbeResultsExpire(t *testing.T) {
	for _, x := range []struct {
		name     string
		result   fleet.ProbeResult
		lifetime time.Duration
	}{
		{"a failure", fleet.ProbeResult{Server: "b"}, harnessLeaseDuration},
		{"a replica that may become primary", fleet.ProbeResult{Server: "b", Healthy: true, Role: fleet.ClaimedReplica}, harnessProbeTimeout},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := newProberHarness("n2")
			h.receive(x.result)
			h.run(time.Minute)
			h.receive(x.result) // a long time after the previous result
			h.run(x.lifetime / 2)
			early := h.probe(1)
			h.run(x.lifetime / 2)
			assert.NotNil(t, h.answered(early))
			assert.Empty(t, h.requested)
			late := h.probe(1)
			h.run(1)
			assert.Nil(t, h.answered(late))
			assert.Equal(t, []string{"b"}, h.requested, "the leaseholder is asked to probe again")
		})
	}
}
