package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

func told[E fleet.Event](h *Host) (n int) {
	for _, e := range h.Events {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func TestAnActBehindAStopIsRefusedByAllWhoKnowOfTheNextTerm(t *testing.T) {
	w := started(t, 3, 6)
	h := w.Holder("list")
	term, _ := h.Node.HoldsLease(h.Clock(), "list")
	w.LateAct(h, "list", term, 10*time.Second)
	w.Run(9 * time.Second)
	require.NotNil(t, w.Holder("list"))
	require.NotEqual(t, h, w.Holder("list"))
	w.Run(3 * time.Second)
	require.Empty(t, w.Wrong)
	refused := 0
	for _, o := range w.Hosts {
		refused += told[fleet.BroadcastRejected](o)
	}
	assert.Positive(t, refused)
}

func TestAKeeperWithAnOldCopyOfItsDiskKeepsNoMore(t *testing.T) {
	w := started(t, 4, 5)
	k := w.Hosts[1]
	old := k.Copy()
	w.Leader().Crash() // another term, another vote
	w.Run(5 * time.Second)
	w.StartAll()
	w.Run(5 * time.Second)
	k.Crash()
	k.Disk = old
	k.Start()
	w.Run(5 * time.Second)
	require.Empty(t, w.Wrong)
	assert.Contains(t, k.Node.VoterHaltReason(), "an old copy")
	assert.False(t, k.Node.Isolated(), "the front goes on as a follower")
	assert.Equal(t, w.Leader().Node.State().Index, k.Node.State().Index)
	assert.NotNil(t, w.Holder("list"), "the other two are a majority")
}

func TestAKeeperWithALostDiskKeepsNoMore(t *testing.T) {
	w := started(t, 5, 4)
	k := w.Hosts[2]
	k.Crash()
	w.Run(time.Second)
	k.Disk = &Disk{}
	k.Start()
	w.Run(5 * time.Second)
	assert.Contains(t, k.Node.VoterHaltReason(), "an old copy")
	require.Empty(t, w.Wrong)
}

func TestAKeeperIsReplacedWhileAnotherIsDown(t *testing.T) {
	w := New(6, 7, 5, pace, two)
	w.Trace = func(s string) { t.Log(s) }
	w.StartAll()
	w.Run(8 * time.Second)
	w.Hosts[3].Crash() // this one comes back
	lost := w.Hosts[4]
	if w.Leader() == lost {
		lost = w.Hosts[2]
	}
	lost.Crash()
	w.Run(3 * time.Second)
	n := w.Add("new", "a", &Disk{}, true)
	n.Start()
	w.Run(3 * time.Second)
	ask := func(call func(n *fleet.Node, now time.Duration)) {
		w.Hosts[6].Do(call)
		w.Run(4 * time.Second)
	}
	ask(func(n *fleet.Node, now time.Duration) { n.AddVoter(now, "new", "new") })
	ask(func(n *fleet.Node, now time.Duration) { n.RemoveVoter(now, lost.Name) })
	w.Hosts[3].Start()
	w.Run(6 * time.Second)
	require.Empty(t, w.Wrong)
	g := w.Leader().Node.State()
	assert.Len(t, g.Voters, 5)
	assert.Contains(t, g.Voters, "new")
	assert.Equal(t, g.Index, n.Node.State().Index)
	// The two that stand beside the new one may go: it counts.
	gone := 0
	for _, h := range w.Hosts[:5] {
		if h != lost && h.Node != nil && !h.Node.IsLeader() && gone < 2 {
			h.Crash()
			gone++
		}
	}
	w.Run(10 * time.Second)
	require.Empty(t, w.Wrong)
	assert.NotNil(t, w.Holder("list"))
}

func TestWithoutAMajorityForTenMinutesEveryFrontIsAloneAndThenBack(t *testing.T) {
	w := started(t, 7, 6)
	w.Hosts[0].Crash()
	w.Hosts[1].Crash()
	w.Run(10 * time.Minute)
	require.Empty(t, w.Wrong)
	for _, h := range w.Hosts[2:] {
		assert.True(t, h.Node.Isolated(), h.Name)
	}
	assert.Nil(t, w.Holder("list"))
	w.StartAll()
	w.Run(10 * time.Second)
	w.rested(two)
	require.Empty(t, w.Wrong)
}

func TestOneNameTwiceLeavesOneOut(t *testing.T) {
	w := started(t, 8, 5)
	first := w.Hosts[4]
	twin := &Host{Name: first.Name, Zone: "a", w: w, Pace: 1}
	w.Hosts = append(w.Hosts, twin) // it is reached by nobody, and dials
	twin.Start()
	w.Run(25 * time.Second)
	require.Empty(t, w.Wrong)
	assert.Equal(t, 1, told[fleet.FrontDisplaced](first)+told[fleet.FrontDisplaced](twin))
	assert.NotNil(t, w.Holder("list"))
}

func TestAHolderThatGetsNothingDoneLosesItsDuty(t *testing.T) {
	w := New(9, 5, 3, pace, map[string]time.Duration{"list": 4 * time.Second})
	w.StartAll()
	var work func()
	lazy := ""
	work = func() {
		for _, h := range w.Hosts {
			if h.Name != lazy {
				h.Do(func(n *fleet.Node, now time.Duration) { n.ReportProgress("list") })
			}
		}
		w.After(500*time.Millisecond, work)
	}
	work()
	w.Run(20 * time.Second)
	h := w.Holder("list")
	term, _ := h.Node.HoldsLease(h.Clock(), "list")
	require.EqualValues(t, 1, term, "one that gets something done keeps it")
	lazy = h.Name
	w.Run(8 * time.Second)
	require.NotNil(t, w.Holder("list"))
	assert.NotEqual(t, lazy, w.Holder("list").Name)
	assert.Equal(t, "it got nothing done", w.Leader().Node.State().Leases["list"].Reason)
	require.Empty(t, w.Wrong)
}

func TestADutyDoesNotFlapBetweenTwoHalfBrokenFronts(t *testing.T) {
	w := New(10, 5, 3, pace, map[string]time.Duration{"list": 4 * time.Second})
	for _, h := range w.Hosts[:3] {
		h.Unwilling = true
	}
	w.StartAll()
	w.Run(20 * time.Minute) // nobody gets anything done, ever
	require.Empty(t, w.Wrong)
	term := w.Leader().Node.State().Leases["list"].Term
	assert.Greater(t, term, uint64(4))
	assert.Less(t, term, uint64(30), "without a pause it would pass on every five seconds, 240 times")
}

func TestThreeHundredFrontsThatClaimAtOnceAreOneFleet(t *testing.T) {
	w := New(11, 300, 3, pace, two)
	w.StartAll()
	w.Run(25 * time.Second)
	require.Empty(t, w.Wrong)
	alone, behind := 0, 0
	for _, h := range w.Hosts {
		if h.Node.Isolated() {
			alone++
		}
		if h.Node.State().Index != w.Leader().Node.State().Index {
			behind++
		}
	}
	assert.Zero(t, alone)
	assert.Zero(t, behind)
	assert.Len(t, w.Leader().Node.State().Fronts, 300)
	assert.LessOrEqual(t, w.Leader().Node.State().Leases["list"].Term, uint64(2))
}

// TestMessagesAMinuteLateChangeNothing replays all that a front heard in some seconds of change to it, a minute later.
func TestMessagesAMinuteLateChangeNothing(t *testing.T) {
	w := started(t, 12, 5)
	type late struct {
		from string
		m    fleet.Message
	}
	heard := map[*Host][]late{}
	w.Hear = func(to *Host, from string, m *fleet.Message) {
		if m.Kind != fleet.KindConsensus || true {
			heard[to] = append(heard[to], late{from, *m})
		}
	}
	w.Holder("list").Crash()
	w.Run(6 * time.Second)
	w.StartAll()
	w.Hosts[4].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
	w.Run(4 * time.Second)
	w.Hear = nil
	w.Run(time.Minute)
	for _, h := range w.Hosts {
		for _, l := range heard[h] {
			h.Do(func(n *fleet.Node, now time.Duration) { n.Receive(now, l.from, &l.m) })
		}
	}
	w.Run(10 * time.Second)
	w.rested(two)
	require.Empty(t, w.Wrong)
}

func TestAFrontOfAnotherFleetAndNonsenseAreRefused(t *testing.T) {
	w := started(t, 13, 4)
	n := w.Hosts[0].Node
	strange := w.Hosts[3].Node.Hello("f000", true)
	strange.Hello.Fleet = "another"
	assert.ErrorContains(t, n.CheckHello(w.Hosts[0].Clock(), strange), "another fleet")
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 { // whatever a peer says, nothing falls over, and nothing is kept without bound
		m := &fleet.Message{Kind: fleet.Kind(r.IntN(14)), From: fmt.Sprint("x", r.IntN(1e6)), Index: r.Uint64() >> r.IntN(64), Term: r.Uint64() >> r.IntN(64),
			Number: r.Uint64(), Name: []string{"list", "f001", "", strings.Repeat("n", 500)}[r.IntN(4)], Data: make([]byte, r.IntN(64))}
		if r.IntN(2) == 0 {
			m.Members = []fleet.MembershipRecord{{Name: fmt.Sprint("y", r.IntN(1e6)), Incarnation: r.Uint64(), Seq: r.Uint64(), Renewals: []fleet.LeaseRenewal{{Lease: "list", Term: r.Uint64() >> 60}}}}
			m.Request = &fleet.Request{ID: r.Uint64(), Type: uint8(r.IntN(5)), Lease: "list", Term: r.Uint64() >> 60, Command: make([]byte, r.IntN(20))}
			m.Reply = &fleet.LeaderReply{Release: "list", Term: r.Uint64() >> 60, RenewedSeq: r.Uint64(), RequestID: r.Uint64()}
			m.Entries = []fleet.LogEntry{{Index: r.Uint64() >> r.IntN(64), Data: make([]byte, r.IntN(9))}}
		}
		w.Hosts[0].Do(func(n *fleet.Node, now time.Duration) { n.Receive(now, "f001", m) })
	}
	assert.Less(t, len(n.State().Fronts), 10_000)
}

func TestAGiverThatHearsNobodyMakesRoomThoughItIsHeard(t *testing.T) {
	w := started(t, 14, 6)
	g := w.Leader()
	for _, o := range w.Hosts {
		if o != g {
			w.Cut(o.Name, g.Name)
		}
	}
	w.Run(12 * time.Second) // its heartbeats would keep the others quiet for ever
	other := false
	for _, h := range w.Hosts {
		other = other || h != g && h.Node.IsLeader()
	}
	assert.True(t, other, "another gives")
	assert.NotNil(t, w.Holder("list"))
	w.Heal()
	w.Run(10 * time.Second)
	w.rested(two)
	require.Empty(t, w.Wrong)
}

func TestAWordOfAProcessLongGoneDisplacesNobody(t *testing.T) {
	w := started(t, 15, 5)
	f, g := w.Hosts[4], w.Leader()
	var old []fleet.Message
	var from string
	w.Hear = func(to *Host, via string, m *fleet.Message) {
		for _, p := range m.Members {
			if to == g && p.Name == f.Name {
				old, from = append(old, *m), via
			}
		}
	}
	w.Run(4 * time.Second)
	w.Hear = nil
	require.NotEmpty(t, old)
	f.Crash()
	f.Start()
	w.Run(10 * time.Second)
	is := g.Node.State().Fronts[f.Name].Incarnation
	require.NotEqual(t, old[0].Members[0].Incarnation, is)
	f.Stop() // the present one is silent as well
	w.Run(10 * time.Second)
	for i := range old {
		g.Do(func(n *fleet.Node, now time.Duration) { n.Receive(now, from, &old[i]) })
	}
	w.Run(time.Second)
	assert.Equal(t, is, g.Node.State().Fronts[f.Name].Incarnation)
	f.Continue()
	w.Run(10 * time.Second)
	assert.False(t, f.Node.Isolated())
	require.Empty(t, w.Wrong)
}
