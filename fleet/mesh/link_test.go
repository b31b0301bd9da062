package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// panickingMirror is a mirror that panics when a broadcast is applied.
type panickingMirror struct{}

func (panickingMirror) Position() (term, index uint64) { return 0, 0 }
func (panickingMirror) Snapshot() []byte               { return nil }
func (panickingMirror) Apply(uint64, []byte) (news []byte, behind bool) {
	panic("a fault in a mirror")
}

// Guards against a mesh that stops for good. A panic while a message was handled was caught, and the lock stayed held: each later call,
// Close included, waited for ever. The link stayed in the table of links too, as if its peer were still linked.
func TestPanicInAMessageEndsOnlyItsLink(t *testing.T) {
	m := newIdleMesh(t, 0)
	m.Do(func(n *fleet.Node, _ time.Duration) { n.SetMirror("list", panickingMirror{}) })
	p := serveUnbuffered(t, m, "")
	p.sendHello(t, "b", true)
	go p.readAll(nil)
	require.NoError(t, send(p.codec, &fleet.Message{Kind: fleet.KindBroadcast, From: "b", Name: "list", Term: 1, Number: 1, Data: []byte("x")}))
	require.ErrorIs(t, <-p.served, errPanic)
	locked := false
	for end := time.Now().Add(time.Second); !locked && time.Now().Before(end); time.Sleep(time.Millisecond) {
		locked = m.mu.TryLock()
	}
	defer m.mu.Unlock() // where the lock is held for ever too, for the cleanup of the mesh
	require.True(t, locked, "the lock is free")
	assert.Empty(t, m.links)
	assert.Empty(t, m.node.Peers())
}
