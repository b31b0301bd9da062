package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A voter's first message may be on its way when the voters are recovered without the receiver: the pings after it report that.
func TestPingReportsExclusionToVoter(t *testing.T) {
	first, second := newTestVoter(t, "k1"), newTestVoter(t, "k2")
	second.LinkUp(0, first.Hello("k2", true))
	first.LinkUp(0, second.Hello("k1", false))
	ping := func() {
		first.Tick(first.tickedAt + 600*time.Millisecond)
		for _, out := range first.Outgoing() {
			if out.To == "k2" && out.Message.Kind == KindPing {
				require.NoError(t, second.Receive(first.tickedAt, "k1", out.Message))
			}
		}
	}
	ping()
	require.Empty(t, second.VoterHaltReason())
	first.voter.peerFloors["k2"] = excludedFloor
	ping()
	assert.Contains(t, second.VoterHaltReason(), "recovered at k1 without it")
}

// A voter whose disk is empty vouches for none, nor does one whose disk was refused.
func TestOnlyVotersWithUsedDisksVouch(t *testing.T) {
	n, other := newTestVoter(t, "k1"), newTestVoter(t, "k2")
	empty := other.Hello("k1", true)
	empty.Hello.Floor = Floor{OpenCount: 1}
	n.LinkUp(0, empty)
	assert.False(t, n.voter.mayVote(), "an empty disk knows nothing")
	n.LinkUp(0, other.Hello("k1", true))
	assert.True(t, n.voter.mayVote())
	other.voter.halt("its disk was refused")
	n.LinkUp(0, other.Hello("k1", true))
	assert.False(t, n.voter.mayVote(), "it is no longer a voter")
}
