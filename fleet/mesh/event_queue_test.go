package mesh

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// Guards against a front that does not notice the acquisition or the end of a lease.
//
// OnEvent writes to the disk. While it is blocked, events queue up. Beyond 16,384 waiting events all kinds were dropped, including the
// end of a lease, which is reported only once. The front then continued to follow the endpoint list for a fleet that had another
// leaseholder, or held a rollout's lease without running a controller, for as long as it kept the lease. Nothing read the count of
// dropped events.
func TestEndOfLeaseIsDeliveredThoughEventsAreDropped(t *testing.T) {
	m, events, dropped, release := startBlockedVoter(t)
	for range 20_000 {
		require.True(t, m.Broadcast("list", nil))
	}
	m.Leave(time.Second)
	release()
	assert.Equal(t, "list", awaitEvent[fleet.LeaseEnded](t, events).Lease)
	assert.Positive(t, <-dropped, "the number of dropped events is reported")
}

// startBlockedVoter is like startVoter, but OnEvent blocks from the first acquired lease on until release is called.
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
	t.Cleanup(release) // runs before the cleanup that closes the mesh, which waits for OnEvent
	<-held
	return m, events, dropped, release
}
