package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/routing"
)

// A result stands for a probe's ending and for nothing else: no role, position or load comes with it, whatever the prober heard.
func TestALookProvesNoFreshnessAndMakesNoPrimary(t *testing.T) {
	for _, l := range []fleet.ProbeResult{{Healthy: true}, {Code: "57P03"}, {ConnectionLost: true}, {}} {
		l.Server = "s-1"
		back, ok := fleet.DecodeProbeResult(l.Encode())
		require.True(t, ok)
		e := endOf(nil, back)
		assert.Empty(t, e.Answer.Role)
		assert.False(t, e.Answer.HasApplied)
		assert.Empty(t, e.Answer.Value())
		assert.Equal(t, l.Healthy, e.Err == nil && e.Answer.Complete && e.Answer.Code == "")
		assert.Equal(t, l.Code != "" || l.Healthy, e.Err == nil)
	}
}

func TestScoutsAreWantedForEachGroupThatTheListNames(t *testing.T) {
	var wanted []string
	s := NewProber(time.Second, time.Second)
	s.DeclareLease, s.Post = func(d string) { wanted = append(wanted, d) }, func(front.Event) {}
	entries := []discovery.Endpoint{{Name: "a", Address: "x:1", Group: 3}, {Name: "b", Address: "x:2", Group: 3}, {Name: "c", Address: "x:3", Group: 4}}
	s.OnFrontEvent(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: entries}})
	s.OnFrontEvent(front.EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: entries[:1]}})
	assert.Equal(t, []string{"scout/3", "scout/4"}, wanted)
	s.OnFleetEvent(fleet.FleetReached{}, "n1")
	s.OnFleetEvent(fleet.LeaseGranted{Lease: "scout/3", Leaseholder: "n2"}, "n1")
	assert.True(t, s.leaseholders["scout/3"] == "n2" && !s.isolated)
	s.OnFleetEvent(fleet.LeaseGranted{Lease: "scout/3", Leaseholder: "n1"}, "n1")
	s.OnFleetEvent(fleet.LeaseAcquired{Lease: "scout/3"}, "n1")
	assert.True(t, s.ownLeases["scout/3"] && s.leaseholders["scout/3"] == "")
}
