package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestSessionReadGoesToReplicaThatHasItsWrite(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(4)
	h.now = time.Second
	w := h.receive(write)
	assert.Equal(t, "send 1 to 0", h.lastAction("send"))
	h.finish(w, routing.Succeeded, routing.Primary, h.now)
	h.reportRole(2, routing.Replica, h.now-100*ms)
	h.reportRole(1, routing.Replica, h.now)
	h.reportRole(3, routing.Replica, h.now-100*ms)
	h.receive(sessionRead)
	assert.Equal(t, "send 2 to 1", h.lastAction("send"), "a fresh replica in another zone is preferred to a stale one in this zone")
	h.reportRole(2, routing.Replica, h.now)
	h.receive(sessionRead)
	assert.Equal(t, "send 3 to 2", h.lastAction("send"), "among fresh replicas, the one in this zone is preferred")
}

func TestLeastBehindReplicaChecksForItselfWhenNoneIsKnownFresh(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = time.Second
	h.finish(h.receive(write), routing.Succeeded, routing.Primary, h.now)
	h.reportRole(1, routing.Replica, h.now-40*ms)
	h.reportRole(2, routing.Replica, h.now-30*ms)
	r := h.receive(sessionRead)
	assert.Equal(t, "send 2 to 2", h.lastAction("send"))
	h.finish(r, routing.Misrouted, routing.Replica, h.now-20*ms)
	assert.Equal(t, "send 2 to 0", h.lastAction("send"), "after a misrouted attempt, the primary")
}

func TestFreshnessWaitThatCannotSufficeIsSkipped(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.now = 5 * time.Second
	h.finish(h.receive(write), routing.Succeeded, routing.Primary, h.now)
	h.reportRole(1, routing.Replica, h.now-2*time.Second)
	h.reportRole(2, routing.Replica, h.now-2*time.Second)
	h.receive(sessionRead)
	assert.Equal(t, "send 2 to 0", h.lastAction("send"), "the whole group is behind, so the read goes directly to the primary")
}

func TestOnlyProvenPositionCountsWithoutStalenessCheck(t *testing.T) {
	p := testDeployment()
	p.Replication.StalenessCheck = routing.NoStalenessCheck
	h := newHarness(p).withGroup(3)
	h.now = time.Second
	h.finish(h.receive(write), routing.Succeeded, routing.Primary, h.now)
	h.reportRole(1, routing.Replica, h.now-20*ms)
	h.reportRole(2, routing.Replica, h.now-20*ms)
	h.now += 100 * ms // both have it by the estimate, but neither has reported it
	h.receive(sessionRead)
	assert.Equal(t, "send 2 to 0", h.lastAction("send"))
	h.reportRole(2, routing.Replica, h.now)
	h.receive(sessionRead)
	assert.Equal(t, "send 3 to 2", h.lastAction("send"))
}

func TestStrongReadGoesToPrimary(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.receive(strongRead)
	assert.Equal(t, "send 1 to 0", h.lastAction("send"))
}
