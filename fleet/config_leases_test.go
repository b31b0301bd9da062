package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAllowedConfigVersions(t *testing.T) {
	state := newReplicatedState()
	assert.True(t, state.allowsVersion(0) && state.allowsVersion(9), "all, where none are named")
	state.Values[AllowedVersionsKey] = &StoredValue{Index: 3, Value: AllowedVersions{Min: 2, Max: 3}.Encode()}
	assert.Equal(t, []bool{false, true, true, false}, []bool{state.allowsVersion(1), state.allowsVersion(2), state.allowsVersion(3), state.allowsVersion(4)})
	state.Values[AllowedVersionsKey].Value = AllowedVersions{Min: 0, Max: 2}.Encode()
	assert.False(t, state.allowsVersion(1), "a version between them was rolled back")
}

// A reply that was long on its way extends a lease no further than one that came at once; a reply to another incarnation, or for a
// version that this front does not request, extends none.
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
	assert.Zero(t, n.ConfigLeaseExpiry(0), "a version that it uses no more")
}

// A configuration lease on a version that is not allowed is not renewed, though a majority confirms the leader.
func TestConfigLeaseOnDisallowedVersionIsNotRenewed(t *testing.T) {
	n, l := newTestLeader(t)
	request := func(version uint64) []OutgoingMessage {
		l.onMembership(time.Second, MembershipRecord{Name: "n2", Incarnation: 4, Seq: version + 1, ActiveVersion: version, WantsConfigLease: true})
		l.renewConfigLeases(n.voter.readRounds)
		require.Empty(t, n.Outgoing(), "not before a round that began after the report")
		l.renewConfigLeases(n.voter.readRounds + 1)
		return n.Outgoing()
	}
	n.state.Values[AllowedVersionsKey] = &StoredValue{Index: 3, Value: AllowedVersions{Min: 2, Max: 3}.Encode()}
	assert.Empty(t, request(1))
	require.Len(t, request(2), 1)
	assert.Empty(t, request(4))
}
