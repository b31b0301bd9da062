package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
)

func TestSessionTargetIsMonotonicWithinTermAndRaisedToNextTermStart(t *testing.T) {
	s := newSessions(false)
	g := &group{term: 1}
	in := &routing.Request{Session: 9}
	s.recordWrite(9, g, 500*ms)
	s.recordWrite(9, g, 400*ms)
	assert.Equal(t, 500*ms, s.requiredPosition(0, in, g))
	g.term, g.termStart = 2, 900*ms
	assert.Equal(t, 900*ms, s.requiredPosition(0, in, g))
	s.recordWrite(9, g, 950*ms)
	g.term = 1
	s.recordWrite(9, g, 990*ms)
	g.term = 2
	assert.Equal(t, 950*ms, s.requiredPosition(0, in, g), "a position of an older term does not count in the current term")
}

func TestEvictedSessionTargetRaisesGroupTarget(t *testing.T) {
	s := newSessions(false)
	s.targets = s.targets[:sessionBucketSize]
	g := &group{}
	for i := range uint64(sessionBucketSize + 1) {
		s.recordWrite(i+1, g, time.Duration(i+1)*ms)
	}
	assert.Equal(t, ms, s.requiredPosition(0, &routing.Request{Session: 1}, g), "the evicted target")
	assert.Equal(t, 3*ms, s.requiredPosition(0, &routing.Request{Session: 3}, g))
}

// Buckets are shared by all groups. A target that a write of another group evicts must raise the evictedTarget of its own group;
// otherwise a later read of its session may be served by a replica that has not applied the session's write.
func TestTargetEvictedByAnotherGroupRaisesItsOwnGroupTarget(t *testing.T) {
	s := newSessions(false)
	s.targets = s.targets[:sessionBucketSize]
	read := &routing.Request{Session: 100, Group: 1}
	own, other := &group{evictedTarget: sessionTarget{pos: never}}, &group{evictedTarget: sessionTarget{pos: never}}
	s.recordWrite(sessionKey(read), own, 5*ms)
	for i := range uint64(sessionBucketSize) {
		s.recordWrite(i+1, other, time.Duration(i+10)*ms)
	}
	assert.Equal(t, 5*ms, s.requiredPosition(0, read, own))
}

func TestCarriedTokenIsAnAge(t *testing.T) {
	s := newSessions(true)
	assert.Equal(t, 700*ms, s.requiredPosition(time.Second, &routing.Request{TokenAge: 300 * ms}, &group{termStart: never}))
	assert.Equal(t, never, s.requiredPosition(time.Second, &routing.Request{Session: 9}, &group{}))
}

// Two sessions of different groups can have the same key, which is the sum of a session's hash and its group's index. Each must keep its
// own target: they have nothing in common, and their groups' terms are not comparable.
func TestSessionsOfDifferentGroupsWithSameKeyKeepTheirTargets(t *testing.T) {
	s := newSessions(false)
	first, second := &routing.Request{Session: 5, Group: 1}, &routing.Request{Session: 6, Group: 0}
	require.Equal(t, sessionKey(first), sessionKey(second))
	older, newer := &group{evictedTarget: sessionTarget{pos: never}}, &group{evictedTarget: sessionTarget{pos: never}, term: 1}
	s.recordWrite(sessionKey(first), older, 100*ms)
	s.recordWrite(sessionKey(second), newer, 50*ms)
	assert.Equal(t, 100*ms, s.requiredPosition(0, first, older))
	assert.Equal(t, 50*ms, s.requiredPosition(0, second, newer))
}
