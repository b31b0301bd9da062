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
	m.Do(func(n *fleet.Node, now time.Duration) { // one call, in which the lease cannot expire however late the test runs
		for range 20_000 {
			require.True(t, n.Broadcast(now, "list", nil))
		}
	})
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

// Guards against a front that keeps an old holder of a probe lease for as long as the lease is held. The grant of a lease was dropped like
// a broadcast, but it is reported only once, and the prober acts on it.
func TestGrantOfALeaseIsDeliveredThoughEventsAreDropped(t *testing.T) {
	m, events, dropped, release := startBlockedVoter(t)
	m.Do(func(n *fleet.Node, now time.Duration) {
		for range maxQueuedEvents + 100 {
			n.SendDatagram(now, "a", "x", nil)
		}
		n.DeclareLease("scout/1", 0)
	})
	require.Eventually(t, func() (held bool) {
		m.Do(func(n *fleet.Node, now time.Duration) { _, held = n.HoldsLease(now, "scout/1") })
		return held
	}, 10*time.Second, time.Millisecond)
	release()
	for granted := ""; granted != "scout/1"; {
		granted = awaitEvent[fleet.LeaseGranted](t, events).Lease
	}
	assert.Positive(t, <-dropped, "the number of dropped events is reported")
}

// Guards against events that take all memory. Their number was limited and not the size of their data: 16,384 broadcasts of up to 4 MiB.
func TestWaitingEventsAreLimitedInBytes(t *testing.T) {
	q := newEventQueue()
	data := make([]byte, 1<<20)
	for range 200 {
		q.add(timedEvent{event: fleet.BroadcastReceived{Lease: "list", Data: data}})
	}
	q.add(timedEvent{event: fleet.LeaseEnded{Lease: "list"}})
	events, dropped := q.take()
	assert.Equal(t, fleet.LeaseEnded{Lease: "list"}, events[len(events)-1].event, "reported only once, so never dropped")
	assert.LessOrEqual(t, len(events)-1, 64)
	assert.Positive(t, dropped)
	q.add(timedEvent{event: fleet.DatagramReceived{Subsystem: "roll", Data: data}})
	events, after := q.take()
	assert.Len(t, events, 1, "there is room again")
	assert.Equal(t, dropped, after)
}
