package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestWriteWaitsUntilPrimaryIsKnown(t *testing.T) {
	o := testDeployment()
	o.Topology.RoleListing = routing.RolesNotListed
	h := newHarness(o).withGroup(3)
	h.receive(write)
	assert.Empty(t, h.lastAction("send"), "no write is sent while the primary is unknown")
	assert.Equal(t, 3, h.countActions("check"), "all servers are checked")
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
}

func TestMisroutedWriteFindsPrimaryWithoutHealthChecks(t *testing.T) {
	o := testDeployment()
	o.Topology.RoleListing, o.Limits.HealthChecks = routing.RolesNotListed, false
	h := newHarness(o).withGroup(2)
	w := h.receive(write)
	first := h.sentTo[w]
	h.finish(w, routing.Misrouted, routing.Replica, h.now+ms)
	assert.Equal(t, 2, h.attempts[w])
	assert.NotEqual(t, first, h.sentTo[w])
	h.finish(w, routing.Succeeded, routing.Primary, h.now+ms)
	assert.Equal(t, h.sentTo[w], h.groups[0].primary)
}

func TestLaterLogPositionWinsPrimaryClaim(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = 10 * time.Second
	h.reportRole(1, routing.Primary, 9*time.Second)
	h.reportRole(0, routing.Primary, 5*time.Second) // an old report of the old primary
	h.receive(write)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
	h.reportRole(1, routing.Replica, 8*time.Second) // older than the server's own claim
	h.receive(write)
	assert.Equal(t, "send 2 to 1", h.lastAction("send"))
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 2, Primary: true}) // the endpoint list is delayed
	h.receive(write)
	assert.Equal(t, "send 3 to 1", h.lastAction("send"))
}

func TestMisroutedWriteLooksForNewPrimary(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = time.Second
	w := h.receive(write)
	h.finish(w, routing.Misrouted, routing.Replica, 900*ms)
	assert.Equal(t, 1, h.countActions("send"))
	h.reportRole(2, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 2", h.lastAction("send"))
}

func TestDrainingPrimaryIsReplaced(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.advance(time.Second)
	n := h.countActions("check")
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Draining, Primary: true})
	h.receive(write)
	assert.Empty(t, h.lastAction("send"))
	assert.Equal(t, n+2, h.countActions("check"), "the other servers are checked")
	h.reportRole(1, routing.Primary, h.now+ms)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
}

// Guards against requests that wait for a primary at another site while the network to it is cut. Reads that a local
// replica may answer continue. All requests continue once the network is restored.
func TestPartitionedPrimaryIsNotWaitedForAndServesAfterHeal(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = time.Second
	h.finish(h.receive(write), routing.Succeeded, routing.Primary, h.now)
	h.reportRole(2, routing.Replica, h.now)
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Partitioned, Primary: true})
	h.receive(nonIdempotentWrite)
	assert.Equal(t, "reject 2, retry after 200ms", h.lastAction("reject"), "rejected at once")
	h.receive(anyRead)
	assert.Equal(t, "send 3 to 2", h.lastAction("send"))
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, Primary: true})
	h.receive(nonIdempotentWrite)
	assert.Equal(t, "send 4 to 0", h.lastAction("send"))
}

func TestOldReportDoesNotMakeServerPrimaryAfterItAnsweredAsReplica(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = time.Second
	h.reportRole(0, routing.Primary, 900*ms)
	h.finish(h.receive(write), routing.Misrouted, routing.Replica, h.now)
	assert.Equal(t, none, h.groups[0].primary)
	h.now += 100 * ms
	h.reportRole(0, routing.Primary, 950*ms)
	assert.Equal(t, none, h.groups[0].primary, "made before the answer")
	h.reportRole(0, routing.Primary, h.now)
	assert.Equal(t, 0, h.groups[0].primary, "made after it")
}

func TestAnswerAsReplicaEndsClaimWhateverItsPosition(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = time.Second
	h.reportRole(0, routing.Primary, 990*ms)
	h.finish(h.receive(write), routing.Misrouted, routing.Replica, 700*ms) // the server has lost the end of its log
	assert.Equal(t, none, h.groups[0].primary)
	assert.Equal(t, routing.Replica, h.servers[0].role)
}

func TestListedPrimaryThatAnsweredAsReplicaIsSentNoUncheckedRead(t *testing.T) {
	for _, read := range []int{boundedRead, sessionRead, strongRead} {
		o := testDeployment()
		o.Replication.StalenessCheck = routing.NoStalenessCheck
		h := newHarness(o).withGroup(3)
		h.now = time.Second
		h.reportRole(0, routing.Primary, h.now)
		h.finish(h.receive(write), routing.Misrouted, routing.Replica, h.now)
		h.reportRole(1, routing.Primary, h.now)
		h.advance(time.Second)
		h.recordWrite(sessionKey(&routing.Request{Session: 9}), h.groups[0], h.now)
		h.eject(h.now, 1)
		h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, Primary: true}) // the endpoint list is delayed
		r := h.receive(read)
		assert.Zero(t, h.attempts[r], "type %d", read)
		h.now += ms
		h.reportRole(0, routing.Primary, h.now)
		assert.Equal(t, 0, h.sentTo[r], "type %d: it has become primary again", read)
	}
}
