package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRequestWithTooManyDeclarationsIsRejected(t *testing.T) {
	m := Message{Kind: KindRequest, From: "n2", Request: &Request{Declarations: make([]Declaration, maxDeclarations)}}
	assert.Error(t, m.check(), "without names")
	for i := range m.Request.Declarations {
		m.Request.Declarations[i].Lease = "a"
	}
	assert.NoError(t, m.check())
	m.Request.Declarations = append(m.Request.Declarations, Declaration{Lease: "a"})
	assert.Error(t, m.check())
}

// A request of one lease duration is remembered through the next; a front with too many of them waits until there is room.
func TestProposalsAreRememberedWhileTheyMayBeRepeated(t *testing.T) {
	m := newProposalMemory(0)
	for id := range uint64(maxRememberedProposals) {
		require.True(t, m.admit("n2", id))
		m.add("n2", id)
	}
	assert.False(t, m.admit("n2", maxRememberedProposals), "there is no room")
	assert.True(t, m.admit("n3", 0), "for another there is")
	m.rotate(3*time.Second, 3*time.Second)
	assert.False(t, m.admit("n2", 5), "repeated, and so remembered for longer")
	m.rotate(6*time.Second, 3*time.Second)
	assert.False(t, m.admit("n2", 5))
	assert.True(t, m.admit("n2", 6), "not repeated for a lease duration")
}
