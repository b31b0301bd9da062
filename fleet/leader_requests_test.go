package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRequestWithTooManyDeclarationsIsRejected(t *testing.T) {
	m := Message{Kind: KindRequest, From: "n2", Request: &Request{Declarations: make([]Declaration, maxDeclarations)}}
	assert.Error(t, m.check(), "declarations without names are rejected")
	for i := range m.Request.Declarations {
		m.Request.Declarations[i].Lease = "a"
	}
	assert.NoError(t, m.check())
	m.Request.Declarations = append(m.Request.Declarations, Declaration{Lease: "a"})
	assert.Error(t, m.check())
}

// Guards against a repeated request that is proposed twice: a request must be remembered for at least one more lease duration after it
// was last received. A front with too many remembered requests must wait until there is room.
func TestProposalsAreRememberedWhileTheyMayBeRepeated(t *testing.T) {
	m := newProposalMemory(0)
	for id := range uint64(maxRememberedProposals) {
		require.True(t, m.admit("n2", id))
		m.add("n2", id)
	}
	assert.False(t, m.admit("n2", maxRememberedProposals), "there is no room for another request of this front")
	assert.True(t, m.admit("n3", 0), "there is room for requests of another front")
	m.rotate(3*time.Second, 3*time.Second)
	assert.False(t, m.admit("n2", 5), "the request is repeated, and so it is remembered for longer")
	m.rotate(6*time.Second, 3*time.Second)
	assert.False(t, m.admit("n2", 5))
	assert.True(t, m.admit("n2", 6), "the request was not repeated for a lease duration")
}
