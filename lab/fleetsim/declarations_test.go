package fleetsim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// startFleetDeclaringLeases starts a fleet in which each front declares many leases at once, as a front does when it has read the
// endpoint list. requests is the number of the fronts' requests that have arrived at the leader.
func startFleetDeclaringLeases(fronts, leases int) (sim *Simulation, requests *int) {
	sim, requests = New(Options{Seed: 1, Fronts: fronts, Voters: 3, Timing: testTiming, Leases: twoLeases}), new(int)
	sim.OnReceive = func(to *Host, _ string, m *fleet.Message) {
		if m.Kind == fleet.KindRequest && to.Node.IsLeader() {
			*requests++
		}
	}
	sim.OnStart = func(h *Host) {
		for i := range leases {
			h.Node.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0)
		}
	}
	sim.StartAll()
	return sim, requests
}

// When a fleet starts, the log must grow by one declaration and one grant for each lease and one join for each front, not by one
// declaration for each pair of a lease and a front. A front must ask for all leases that it misses in one request.
func TestALeaseIsDeclaredOnceHoweverManyFrontsAsk(t *testing.T) {
	for _, c := range []struct{ fronts, leases int }{{6, 40}, {24, 40}, {24, 160}, {48, 217}} {
		t.Run(fmt.Sprintf("%d fronts, %d leases", c.fronts, c.leases), func(t *testing.T) {
			sim, requests := startFleetDeclaringLeases(c.fronts, c.leases)
			sim.Run(20 * time.Second)
			require.Empty(t, sim.Violations)
			state := sim.Leader().Node.State()
			t.Log("log entries", state.Index, "requests at the leader", *requests)
			require.Len(t, state.Leases, c.leases+len(twoLeases))
			for _, lease := range state.Leases {
				assert.NotEmpty(t, lease.Leaseholder, lease.Name)
			}
			assert.LessOrEqual(t, int(state.Index), 2*(c.leases+len(twoLeases))+2*c.fronts+20)
			assert.LessOrEqual(t, *requests, 8*c.fronts)
			for _, h := range sim.Hosts {
				assert.Equal(t, state.Index, h.Node.State().Index, h.Name)
			}
		})
	}
}

// Over slow links a front repeats each request several times before the reply arrives. The leader must propose each request only once,
// however many are in flight.
func TestRepeatedRequestIsProposedOnceHoweverManyAreInFlight(t *testing.T) {
	for _, valueCount := range []int{10, 60, 200} {
		t.Run(fmt.Sprint(valueCount), func(t *testing.T) {
			sim := startFleet(t, 2, 6)
			before := sim.Leader().Node.State().Index
			sim.Delay = 250 * time.Millisecond
			holder := sim.Leaseholder("list")
			replies := countEvents[fleet.RequestDone](holder)
			holder.WithNode(func(n *fleet.Node, now time.Duration) {
				for i := range valueCount {
					_, ok := n.PutValue(now, "list", fmt.Sprint("key", i), 0, []byte("x"))
					require.True(t, ok)
				}
			})
			sim.Run(10 * time.Second)
			require.Empty(t, sim.Violations)
			require.Len(t, sim.Leader().Node.State().Values, valueCount)
			assert.Equal(t, valueCount, countEvents[fleet.RequestDone](holder)-replies, "each request has one reply")
			assert.LessOrEqual(t, int(sim.Leader().Node.State().Index-before), valueCount+2, "each request is proposed once")
		})
	}
}

// A membership record can renew only a bounded number of leases. A front must not be granted more than that, even if it is the only
// one that accepts leases, and no link may be closed because of a record that is too long. The remaining leases must be granted once
// another front accepts leases.
func TestNoFrontIsGrantedMoreLeasesThanItCanRenew(t *testing.T) {
	const maxLeases, leases = 256, 300
	sim := New(Options{Seed: 1, Fronts: 5, Voters: 3, Timing: testTiming})
	closed := 0
	sim.Trace = func(s string) {
		if strings.Contains(s, "closes the link") {
			closed++
			t.Log(s)
		}
	}
	for _, h := range sim.Hosts[1:] {
		h.DeclinesLeases = true
	}
	sim.OnStart = func(h *Host) {
		for i := range leases {
			h.Node.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0)
		}
	}
	sim.StartAll()
	leasesByHolder := func() map[string]int {
		held := map[string]int{}
		for _, lease := range sim.Leader().Node.State().Leases {
			held[lease.Leaseholder]++
		}
		return held
	}
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Zero(t, closed)
	assert.Equal(t, map[string]int{"f000": maxLeases, "": leases - maxLeases}, leasesByHolder())
	sim.Hosts[4].Crash()
	sim.Hosts[4].DeclinesLeases = false
	sim.Hosts[4].Start()
	sim.Run(10 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Equal(t, 0, leasesByHolder()[""])
	assert.LessOrEqual(t, leasesByHolder()["f000"], maxLeases)
}
