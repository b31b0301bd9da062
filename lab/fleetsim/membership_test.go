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

func TestDuplicateNameDisplacesOneFront(t *testing.T) {
	sim := startFleet(t, 8, 5)
	first := sim.Hosts[4]
	duplicate := &Host{HostConfig: HostConfig{Name: first.Name, Zone: "a", ClockRate: 1}, sim: sim}
	sim.Hosts = append(sim.Hosts, duplicate) // not in byName: other hosts can't dial it, but it dials them
	duplicate.Start()
	sim.Run(25 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Equal(t, 1, countEvents[fleet.FrontDisplaced](first)+countEvents[fleet.FrontDisplaced](duplicate))
	assert.NotNil(t, sim.Leaseholder("list"))
}

func TestThreeHundredFrontsStartingAtOnceFormOneFleet(t *testing.T) {
	sim := New(Options{Seed: 11, Fronts: 300, Voters: 3, Timing: testTiming, Leases: twoLeases})
	sim.StartAll()
	sim.Run(25 * time.Second)
	require.Empty(t, sim.Violations)
	isolated, behind := 0, 0
	for _, h := range sim.Hosts {
		if h.Node.Isolated() {
			isolated++
		}
		if h.Node.State().Index != sim.Leader().Node.State().Index {
			behind++
		}
	}
	assert.Zero(t, isolated)
	assert.Zero(t, behind)
	assert.Len(t, sim.Leader().Node.State().Fronts, 300)
	assert.LessOrEqual(t, sim.Leader().Node.State().Leases["list"].Term, uint64(2))
}

// TestMessagesReplayedAMinuteLateChangeNothing records the messages that each front receives while leases move, and delivers them to
// it again a minute later.
func TestMessagesReplayedAMinuteLateChangeNothing(t *testing.T) {
	sim := startFleet(t, 12, 5)
	type delivery struct {
		from string
		m    fleet.Message
	}
	received := map[*Host][]delivery{}
	sim.OnReceive = func(to *Host, from string, m *fleet.Message) {
		received[to] = append(received[to], delivery{from, *m})
	}
	sim.Leaseholder("list").Crash()
	sim.Run(6 * time.Second)
	sim.StartAll()
	sim.Hosts[4].WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
	sim.Run(4 * time.Second)
	sim.OnReceive = nil
	sim.Run(time.Minute)
	for _, h := range sim.Hosts {
		for _, l := range received[h] {
			h.WithNode(func(n *fleet.Node, now time.Duration) { n.Receive(now, l.from, &l.m) })
		}
	}
	sim.Run(10 * time.Second)
	requireRecovered(t, sim)
}

func TestHelloOfAnotherFleetAndMalformedMessagesAreRejected(t *testing.T) {
	sim := startFleet(t, 13, 4)
	n := sim.Hosts[0].Node
	foreign := sim.Hosts[3].Node.Hello("f000", true)
	foreign.Hello.Fleet = "another"
	assert.ErrorContains(t, n.CheckHello(sim.Hosts[0].Clock(), foreign), "another fleet")
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 { // no message from a peer may cause a panic or unbounded storage
		m := &fleet.Message{Kind: fleet.Kind(r.IntN(14)), From: fmt.Sprint("x", r.IntN(1e6)), Index: r.Uint64() >> r.IntN(64), Term: r.Uint64() >> r.IntN(64),
			Number: r.Uint64(), Name: []string{"list", "f001", "", strings.Repeat("n", 500)}[r.IntN(4)], Data: make([]byte, r.IntN(64))}
		if r.IntN(2) == 0 {
			m.Members = []fleet.MembershipRecord{{Name: fmt.Sprint("y", r.IntN(1e6)), Incarnation: r.Uint64(), Seq: r.Uint64(), Renewals: []fleet.LeaseRenewal{{Lease: "list", Term: r.Uint64() >> 60}}}}
			m.Request = &fleet.Request{ID: r.Uint64(), Type: uint8(r.IntN(5)), Lease: "list", Term: r.Uint64() >> 60, Command: make([]byte, r.IntN(20))}
			m.Reply = &fleet.LeaderReply{Release: "list", Term: r.Uint64() >> 60, RenewedSeq: r.Uint64(), RequestID: r.Uint64()}
			m.Entries = []fleet.LogEntry{{Index: r.Uint64() >> r.IntN(64), Data: make([]byte, r.IntN(9))}}
		}
		sim.Hosts[0].WithNode(func(n *fleet.Node, now time.Duration) { n.Receive(now, "f001", m) })
	}
	assert.Less(t, len(n.State().Fronts), 10_000)
}

func TestMembershipRecordOfEndedProcessDisplacesNobody(t *testing.T) {
	sim := startFleet(t, 15, 5)
	restarted, leader := sim.Hosts[4], sim.Leader()
	var old []fleet.Message
	var from string
	sim.OnReceive = func(to *Host, via string, m *fleet.Message) {
		for _, p := range m.Members {
			if to == leader && p.Name == restarted.Name {
				old, from = append(old, *m), via
			}
		}
	}
	sim.Run(4 * time.Second)
	sim.OnReceive = nil
	require.NotEmpty(t, old)
	restarted.Crash()
	restarted.Start()
	sim.Run(10 * time.Second)
	present := leader.Node.State().Fronts[restarted.Name].Incarnation
	require.NotEqual(t, old[0].Members[0].Incarnation, present)
	restarted.Pause() // so that the present incarnation sends nothing either
	sim.Run(10 * time.Second)
	for i := range old {
		leader.WithNode(func(n *fleet.Node, now time.Duration) { n.Receive(now, from, &old[i]) })
	}
	sim.Run(time.Second)
	assert.Equal(t, present, leader.Node.State().Fronts[restarted.Name].Incarnation)
	restarted.Resume()
	sim.Run(10 * time.Second)
	assert.False(t, restarted.Node.Isolated())
	require.Empty(t, sim.Violations)
}
