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

// A shared result says how a probe ended and nothing else: no role, position or load comes with it, whatever the leaseholder received.
func TestSharedProbeResultCarriesNoRoleOrPosition(t *testing.T) {
	for _, l := range []fleet.ProbeResult{{Healthy: true}, {Code: "57P03"}, {ConnectionLost: true}, {}} {
		l.Server = "s-1"
		back, ok := fleet.DecodeProbeResult(l.Encode())
		require.True(t, ok)
		e := probeFinished(nil, back)
		assert.Empty(t, e.Answer.Role)
		assert.False(t, e.Answer.HasApplied)
		assert.Empty(t, e.Answer.Value())
		assert.Equal(t, l.Healthy, e.Err == nil && e.Answer.Complete && e.Answer.Code == "")
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
