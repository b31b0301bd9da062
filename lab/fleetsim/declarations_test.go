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

// declareEverywhere makes a world in which each front declares so many leases at once, as it does when it has read the endpoint
// list. requests counts the fronts' requests as they arrive at the leader.
func declareEverywhere(fronts, leases int) (w *World, requests *int) {
	w, requests = New(1, fronts, 3, pace, two), new(int)
	w.Hear = func(to *Host, _ string, m *fleet.Message) {
		if m.Kind == fleet.KindRequest && to.Node.IsLeader() {
			*requests++
		}
	}
	w.Born = func(h *Host) {
		for i := range leases {
			h.Node.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0)
		}
	}
	w.StartAll()
	return w, requests
}

// The start of a fleet costs a declaration and a grant of each lease and a join of each front, not a declaration of each lease by
// each front; and a front asks for all that it lacks at once.
func TestALeaseIsDeclaredOnceHoweverManyFrontsAsk(t *testing.T) {
	for _, x := range []struct{ fronts, leases int }{{6, 40}, {24, 40}, {24, 160}, {48, 217}} {
		t.Run(fmt.Sprintf("%d fronts, %d leases", x.fronts, x.leases), func(t *testing.T) {
			w, requests := declareEverywhere(x.fronts, x.leases)
			w.Run(20 * time.Second)
			require.Empty(t, w.Wrong)
			state := w.Leader().Node.State()
			t.Log("log entries", state.Index, "requests at the leader", *requests)
			require.Len(t, state.Leases, x.leases+len(two))
			for _, lease := range state.Leases {
				assert.NotEmpty(t, lease.Leaseholder, lease.Name)
			}
			assert.LessOrEqual(t, int(state.Index), 2*(x.leases+len(two))+2*x.fronts+20)
			assert.LessOrEqual(t, *requests, 8*x.fronts)
			for _, h := range w.Hosts {
				assert.Equal(t, state.Index, h.Node.State().Index, h.Name)
			}
		})
	}
}

// Over slow links a front repeats each request several times before its answer comes: each is proposed once, however many are out.
func TestARepeatedRequestIsProposedOnceHoweverManyAreOut(t *testing.T) {
	for _, puts := range []int{10, 60, 200} {
		t.Run(fmt.Sprint(puts), func(t *testing.T) {
			w := started(t, 2, 6)
			before := w.Leader().Node.State().Index
			w.Delay = 250 * time.Millisecond
			holder := w.Holder("list")
			answered := told[fleet.RequestDone](holder)
			holder.Do(func(n *fleet.Node, now time.Duration) {
				for i := range puts {
					_, ok := n.PutValue(now, "list", fmt.Sprint("key", i), 0, []byte("x"))
					require.True(t, ok)
				}
			})
			w.Run(10 * time.Second)
			require.Empty(t, w.Wrong)
			require.Len(t, w.Leader().Node.State().Values, puts)
			assert.Equal(t, puts, told[fleet.RequestDone](holder)-answered, "each is answered")
			assert.LessOrEqual(t, int(w.Leader().Node.State().Index-before), puts+2, "and proposed once")
		})
	}
}

// A membership record renews a bounded number of leases: a front is granted no more, be it the only one that takes leases, and no link
// is closed for a record that is too long. The others are granted once another front takes leases.
func TestNoFrontIsGrantedMoreLeasesThanItCanRenew(t *testing.T) {
	const most, leases = 256, 300
	w := New(1, 5, 3, pace, nil)
	closed := 0
	w.Trace = func(s string) {
		if strings.Contains(s, "closes the link") {
			closed++
			t.Log(s)
		}
	}
	for _, h := range w.Hosts[1:] {
		h.Unwilling = true
	}
	w.Born = func(h *Host) {
		for i := range leases {
			h.Node.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0)
		}
	}
	w.StartAll()
	count := func() map[string]int {
		held := map[string]int{}
		for _, lease := range w.Leader().Node.State().Leases {
			held[lease.Leaseholder]++
		}
		return held
	}
	w.Run(20 * time.Second)
	require.Empty(t, w.Wrong)
	assert.Zero(t, closed)
	assert.Equal(t, map[string]int{"f000": most, "": leases - most}, count())
	w.Hosts[4].Crash()
	w.Hosts[4].Unwilling = false
	w.Hosts[4].Start()
	w.Run(10 * time.Second)
	require.Empty(t, w.Wrong)
	assert.Equal(t, 0, count()[""])
	assert.LessOrEqual(t, count()["f000"], most)
}
