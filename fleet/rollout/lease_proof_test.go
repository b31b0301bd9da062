package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/fleet"
)

func TestLeaseIsProvenExpiredOnlyByALeaderThatAMajorityConfirmed(t *testing.T) {
	const term = 7
	reports := map[string]fleet.MemberReport{"silent": {Age: 14 * time.Second}, "heard": {Age: time.Second}}
	answer := func(requestedAt time.Duration) digestResponse {
		return digestResponse{term: term, requestedAt: requestedAt, receivedAt: requestedAt + 10*time.Millisecond, reports: reports}
	}
	p := leaseProof{expiredAfter: 13500 * time.Millisecond}
	p.observeTerm(0, term)
	p.add(answer(10 * time.Second))
	assert.False(t, p.expired("silent", 0), "the leader may have been replaced before it answered")
	p.confirm(term, 10*time.Second)
	assert.False(t, p.expired("silent", 0), "the leader was confirmed only before its answer")
	p.confirm(term+1, 11*time.Second)
	assert.False(t, p.expired("silent", 0), "another leader was confirmed")
	p.confirm(term, 11*time.Second)
	assert.True(t, p.expired("silent", 9*time.Second))
	assert.False(t, p.expired("silent", 10500*time.Millisecond), "a lease may have been granted between the answer and this time")
	assert.False(t, p.expired("heard", 0))
	assert.False(t, p.expired("unknown", 0), "an earlier leader may have renewed its lease")
	p.add(answer(13600 * time.Millisecond))
	p.confirm(term, 14*time.Second)
	assert.True(t, p.expired("unknown", 0), "this leader has led for longer than a lease")
	p.observeTerm(15*time.Second, term+1)
	p.add(digestResponse{term: term + 1, requestedAt: 16 * time.Second, receivedAt: 16 * time.Second, reports: map[string]fleet.MemberReport{}})
	p.confirm(term+1, 17*time.Second)
	assert.False(t, p.expired("silent", 0), "the next leader has no report of it")
	p.add(digestResponse{requestedAt: 18 * time.Second, receivedAt: 18 * time.Second, reports: reports})
	assert.Empty(t, p.unconfirmed, "an older program does not send its term")
}
