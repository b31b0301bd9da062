package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// singleVoter is the only front of a fleet, in virtual time. Its disk writes end when the test calls writeDisk.
type singleVoter struct {
	*Node
	now  time.Duration
	done []RequestDone // the ends of its requests so far

	followerSeq uint64 // see runWithFollower
}

// startSingleVoter returns a single voter that holds the endpoint list's lease.
func startSingleVoter(t *testing.T) *singleVoter {
	t.Helper()
	o := Options{Name: "k1", Incarnation: 1, Timing: Timing{LeaseDuration: testLeaseDuration}, InitialVoters: []Voter{{"k1", "x"}}, AcceptsLeases: true}
	n, err := New(o, &DiskState{OpenCount: 1})
	require.NoError(t, err)
	n.DeclareLease(EndpointListLease, 0)
	s := &singleVoter{Node: n}
	s.run(4 * testLeaseDuration)
	_, held := s.HoldsLease(s.now, EndpointListLease)
	require.True(t, held)
	s.done = nil
	return s
}

// writeDisk ends all pending disk writes.
func (s *singleVoter) writeDisk() {
	for _, ok := s.PendingWrite(); ok; _, ok = s.PendingWrite() {
		s.WriteDone(s.now)
	}
	s.collectEvents()
}

// collectEvents records the ends of requests.
func (s *singleVoter) collectEvents() {
	for _, e := range s.Events() {
		if e, ok := e.(RequestDone); ok {
			s.done = append(s.done, e)
		}
	}
}

// tickAfter ticks the node once after d.
func (s *singleVoter) tickAfter(d time.Duration) {
	s.now += d
	s.Tick(s.now)
	s.collectEvents()
}

// run ticks the node at its interval for d. Disk writes end at once.
func (s *singleVoter) run(d time.Duration) {
	interval := s.options.Timing.TickInterval()
	for end := s.now + d; s.now < end; {
		s.tickAfter(interval)
		s.writeDisk()
	}
}

// Guards against a transfer that is under way and that its own repetition ends with an error: between the release of the lease and its
// next grant no front holds it.
func TestRepeatedTransferRequestWaitsForTheGrant(t *testing.T) {
	interval := Timing{LeaseDuration: testLeaseDuration}.HeartbeatInterval()
	for name, delay := range map[string]struct{ release, grant time.Duration }{
		"release delayed": {release: interval},
		"grant delayed":   {grant: interval},
		"both delayed":    {release: 3 * interval, grant: 3 * interval},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSingleVoter(t)
			before := s.state.Leases[EndpointListLease].Term
			id := s.TransferLease(s.now, EndpointListLease, "")
			s.tickAfter(s.options.Timing.TickInterval())
			s.now += delay.release
			s.writeDisk() // the release
			require.Empty(t, s.state.Leases[EndpointListLease].Leaseholder)
			s.tickAfter(s.options.Timing.TickInterval())
			s.tickAfter(delay.grant)
			s.writeDisk() // the grant
			s.run(4 * testLeaseDuration)
			require.Len(t, s.done, 1)
			assert.Equal(t, RequestDone{ID: id, LeaderTerm: s.LeaderTerm()}, s.done[0])
			assert.Equal(t, before+1, s.state.Leases[EndpointListLease].Term, "the lease is transferred once")
		})
	}
}

// Guards against a second transfer of a lease where the answer to the first one and a repetition of its request cross.
func TestRepeatedTransferRequestAfterTheGrantIsAnswered(t *testing.T) {
	s := startSingleVoter(t)
	s.routes["n2"], s.peers["p"] = route{via: "p"}, &peer{}
	request := func() {
		m := Message{Kind: KindRequest, From: "n2", Request: &Request{Type: RequestTransfer, ID: 9, Lease: EndpointListLease}}
		s.leader.onRequest(s.now, &m)
	}
	before := s.state.Leases[EndpointListLease].Term
	request()
	s.run(testLeaseDuration / 4)
	request()
	s.run(testLeaseDuration / 4)
	answers := 0
	for _, out := range s.Outgoing() {
		if out.Message.Kind == KindReply {
			assert.Equal(t, &LeaderReply{RequestID: 9}, out.Message.Reply)
			answers++
		}
	}
	assert.Equal(t, 2, answers)
	assert.Equal(t, before+1, s.state.Leases[EndpointListLease].Term, "the lease is transferred once")
}
