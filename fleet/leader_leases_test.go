package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// reportAs passes the leader the membership record of a follower that renews the given leases.
func (s *singleVoter) reportAs(name string, seq uint64, renewals ...LeaseRenewal) {
	s.leader.onMembership(s.now, MembershipRecord{Name: name, Incarnation: 5, Seq: seq, AcceptsLeases: true, Renewals: renewals})
}

// runWithFollower runs like run, and passes the leader the records of a follower that is granted leases and never releases them.
func (s *singleVoter) runWithFollower(d time.Duration, name string) {
	for end := s.now + d; s.now < end; {
		s.followerSeq++
		var renewals []LeaseRenewal
		for _, lease := range s.state.Leases {
			if lease.Leaseholder == name {
				renewals = append(renewals, LeaseRenewal{Lease: lease.Name, Term: lease.Term})
			}
		}
		s.reportAs(name, s.followerSeq, renewals...)
		s.run(s.options.Timing.HeartbeatInterval())
	}
}

// Guards against a lease that its holder keeps for good without progress, where the holder renews it and never handles the requests to release
// it.
func TestStalledLeaseOfHolderThatNeverReleasesItIsGrantedToAnother(t *testing.T) {
	s := startSingleVoter(t)
	const bound = 2 * testLeaseDuration
	s.DeclareLease("other", bound)
	s.runWithFollower(testLeaseDuration, "n2")
	require.Equal(t, "n2", s.state.Leases["other"].Leaseholder, "the front with the fewest leases")
	s.runWithFollower(bound+5*testLeaseDuration/2, "n2")
	lease := s.state.Leases["other"]
	assert.Equal(t, "k1", lease.Leaseholder)
	assert.Equal(t, reasonExpired, lease.Reason)
	assert.EqualValues(t, 1, lease.losses("n2"))
}

// Guards against a leader that releases its own lease again and again for a front that may not be granted it, since the front lost
// it under an earlier leader.
func TestLeaderKeepsItsLeaseWhereTheOtherFrontLostIt(t *testing.T) {
	s := startSingleVoter(t)
	s.state.Leases[EndpointListLease].Losses = []Loss{{Front: "n2", Count: 6}}
	before := s.state.Leases[EndpointListLease].Term
	s.runWithFollower(10*testLeaseDuration, "n2")
	lease := s.state.Leases[EndpointListLease]
	assert.Equal(t, "k1", lease.Leaseholder)
	assert.Equal(t, before, lease.Term)
}

// Guards against a release that is not requested because the front has too many other requests.
func TestReleaseIsRequestedBesideManyRequests(t *testing.T) {
	s := startSingleVoter(t)
	for id := range uint64(maxPendingRequests) {
		m := Message{Kind: KindRequest, From: "k1", Request: &Request{Type: RequestDigests, ID: id}}
		s.pendingRequests[id] = &pendingRequest{message: &m, startedAt: s.now, sentAt: s.now}
	}
	before := s.state.Leases[EndpointListLease].Term
	s.releaseLease(s.now, EndpointListLease, "", reasonTransferRequested)
	s.run(20 * testLeaseDuration)
	_, held := s.HoldsLease(s.now, EndpointListLease)
	assert.True(t, held)
	assert.Equal(t, before+1, s.state.Leases[EndpointListLease].Term)
}

// A write of a voter's disk may end after the voter has halted, or after it was removed from the voters.
func TestEndOfWriteAfterTheVoterEnded(t *testing.T) {
	for name, end := range map[string]func(s *singleVoter){
		"halted, then written":  func(s *singleVoter) { s.voter.halt("test"); s.WriteDone(s.now) },
		"halted, then failed":   func(s *singleVoter) { s.voter.halt("test"); s.WriteFailed(assert.AnError) },
		"removed, then written": func(s *singleVoter) { delete(s.state.Voters, "k1"); s.WriteDone(s.now) },
		"removed, then failed":  func(s *singleVoter) { delete(s.state.Voters, "k1"); s.WriteFailed(assert.AnError) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startSingleVoter(t)
			s.TransferLease(s.now, EndpointListLease, "")
			s.tickAfter(s.options.Timing.TickInterval())
			_, ok := s.PendingWrite()
			require.True(t, ok)
			end(s)
			s.run(testLeaseDuration)
		})
	}
}
