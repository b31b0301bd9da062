package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an excluded voter that does not learn of its exclusion. A voter may send its first message on a link before it recovers
// the voters without the receiver, so its later pings must report the exclusion.
func TestPingReportsExclusionToVoter(t *testing.T) {
	first, second := newTestVoter(t, "k1"), newTestVoter(t, "k2")
	second.LinkUp(0, first.Hello("k2", true))
	first.LinkUp(0, second.Hello("k1", false))
	ping := func() {
		first.Tick(first.lastTickAt + 600*time.Millisecond)
		for _, out := range first.Outgoing() {
			if out.To == "k2" && out.Message.Kind == KindPing {
				require.NoError(t, second.Receive(first.lastTickAt, "k1", out.Message))
			}
		}
	}
	ping()
	require.Empty(t, second.VoterHaltReason())
	first.voter.peerFloors["k2"] = excludedFloor
	ping()
	assert.Contains(t, second.VoterHaltReason(), "recovered at k1 without it")
}

// Guards against votes that depend on a voter that knows nothing: a voter whose disk is empty, or was refused, must not vouch for
// another voter's disk.
func TestOnlyVotersWithUsedDisksVouch(t *testing.T) {
	n, other := newTestVoter(t, "k1"), newTestVoter(t, "k2")
	empty := other.Hello("k1", true)
	empty.Hello.Floor = Floor{OpenCount: 1}
	n.LinkUp(0, empty)
	assert.False(t, n.voter.mayVote(), "a voter with an empty disk does not vouch")
	n.LinkUp(0, other.Hello("k1", true))
	assert.True(t, n.voter.mayVote())
	other.voter.halt("its disk was refused")
	n.LinkUp(0, other.Hello("k1", true))
	assert.False(t, n.voter.mayVote(), "a halted voter no longer vouches")
}
