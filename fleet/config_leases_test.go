package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAllowedConfigVersions(t *testing.T) {
	state := newReplicatedState()
	assert.True(t, state.allowsVersion(0) && state.allowsVersion(9), "all versions are allowed where none are stored")
	state.Values[AllowedVersionsKey] = &StoredValue{Index: 3, Value: AllowedVersions{Min: 2, Max: 3}.Encode()}
	assert.Equal(t, []bool{false, true, true, false}, []bool{state.allowsVersion(1), state.allowsVersion(2), state.allowsVersion(3), state.allowsVersion(4)})
	state.Values[AllowedVersionsKey].Value = AllowedVersions{Min: 0, Max: 2}.Encode()
	assert.False(t, state.allowsVersion(1), "a version between Min and Max was rolled back")
}

// Guards against a delayed reply that extends a configuration lease too far: the lease must count from the request. A reply to another
// incarnation, to a later report, or for a version that this front does not request must extend no lease.
func TestConfigLeaseCountsFromItsRequest(t *testing.T) {
	n := newTestFollower(t, "n1")
	n.Tick(1600 * time.Millisecond)
	requested := n.reportSeq
	require.Equal(t, 1600*time.Millisecond, n.sentAt[requested])
	n.Tick(3 * time.Second)
	for _, ignored := range []Position{{Name: "n1", Term: 6, Index: requested}, {Name: "n1", Term: 7, Index: requested, Version: 3}, {Name: "n1", Term: 7, Index: requested + 1}} {
		n.onConfigLeases([]Position{ignored})
		assert.Zero(t, n.ConfigLeaseExpiry(ignored.Version))
	}
	n.onConfigLeases([]Position{{Name: "n1", Term: 7, Index: requested}})
	assert.Equal(t, 1600*time.Millisecond+10500*time.Millisecond, n.ConfigLeaseExpiry(0))
	n.SetPendingVersion(3100*time.Millisecond, 3)
	n.onConfigLeases([]Position{{Name: "n1", Term: 7, Index: n.reportSeq, Version: 3}})
	assert.Equal(t, 3100*time.Millisecond+10500*time.Millisecond, n.ConfigLeaseExpiry(3))
	n.SetActiveVersion(3200*time.Millisecond, 3)
	n.onConfigLeases([]Position{{Name: "n1", Term: 7, Index: n.reportSeq, Version: 3}})
	assert.Zero(t, n.ConfigLeaseExpiry(0), "a version that this front no longer uses")
}

// A configuration lease on a version that is not allowed must not be renewed, even after a majority has confirmed the leader.
func TestConfigLeaseOnDisallowedVersionIsNotRenewed(t *testing.T) {
	n, l := newTestLeader(t)
	request := func(version uint64) []OutgoingMessage {
		l.onMembership(time.Second, MembershipRecord{Name: "n2", Incarnation: 4, Seq: version + 1, ActiveVersion: version, WantsConfigLease: true})
		l.renewConfigLeases(n.voter.roundsStarted)
		require.Empty(t, n.Outgoing(), "no renewal before the confirmation of a round that started after the report")
		l.renewConfigLeases(n.voter.roundsStarted + 1)
		return n.Outgoing()
	}
	n.state.Values[AllowedVersionsKey] = &StoredValue{Index: 3, Value: AllowedVersions{Min: 2, Max: 3}.Encode()}
	assert.Empty(t, request(1))
	require.Len(t, request(2), 1)
	assert.Empty(t, request(4))
}
