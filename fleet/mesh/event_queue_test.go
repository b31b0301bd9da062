package mesh

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// A front whose disk hung for a while missed that it had lost, or acquired, a lease.
//
// OnEvent writes to the disk. While it waits, events queue up; beyond 16,384 all were dropped alike, a lease's end too, which is told
// once: the front would go on following the endpoint list for a fleet that had another leaseholder, or have a rollout's lease and no
// controller, for as long as it kept the lease. The count of lost events was read by nobody.
func TestEndOfLeaseIsDeliveredThoughEventsAreDropped(t *testing.T) {
	m, events, dropped, release := startBlockedVoter(t)
	for range 20_000 {
		require.True(t, m.Broadcast("list", nil))
	}
	m.Leave(time.Second)
	release()
	assert.Equal(t, "list", awaitEvent[fleet.LeaseEnded](t, events).Lease)
	assert.Positive(t, <-dropped, "and what was dropped is told")
}

// startBlockedVoter is startVoter whose OnEvent is held up from the first lease on, until release.
func startBlockedVoter(t *testing.T) (m *Mesh, events chan fleet.Event, dropped chan uint64, release func()) {
	t.Helper()
	events, dropped = make(chan fleet.Event, 1<<16), make(chan uint64, 1<<10)
	held, blocked := make(chan struct{}), make(chan struct{})
	var once, unblock sync.Once
	release = func() { unblock.Do(func() { close(blocked) }) }
	m = runVoter(t, noDisk{}, 0, func(_ time.Duration, e fleet.Event) {
		events <- e
		if _, ok := e.(fleet.LeaseAcquired); ok {
			once.Do(func() { close(held) })
			<-blocked
		}
	}, func(n uint64) { dropped <- n })
	t.Cleanup(release) // before the mesh is closed, which waits for OnEvent
	<-held
	return m, events, dropped, release
}
