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

// longReadDeployment is testDeployment with reads of type anyRead that typically take longer than the shortest latency
// objective.
func longReadDeployment() routing.Options {
	o := testDeployment()
	o.RequestTypes[anyRead].LatencyObjective = 2 * time.Second
	return o
}

// withLags reports the lags of servers 1, 2, ... of the group, which are replicas. Server 0 is the primary.
func (h *harness) withLags(lags ...time.Duration) *harness {
	h.now = time.Minute
	h.reportRole(0, routing.Primary, h.now)
	for k, lag := range lags {
		h.reportRole(k+1, routing.Replica, h.now-lag)
	}
	return h
}

// serversOf returns the servers that n reads of a type are sent to.
func (h *harness) serversOf(n, requestType int) (servers []int) {
	for range n {
		servers = append(servers, h.sentTo[h.receive(requestType)])
	}
	return servers
}

// Guards against long reads that keep most replicas of a group behind, where servers apply nothing while they run one.
func TestLongReadsThatRequireNoPositionShareTheReplicaFurthestBehind(t *testing.T) {
	h := newHarness(longReadDeployment()).withGroup(5).withLags(0, 10*time.Second, 0, 20*time.Second)
	assert.Equal(t, []int{4, 4}, h.serversOf(2, anyRead), "at most three times the cost of the cheapest replica")
	assert.Equal(t, 2, h.sentTo[h.receive(anyRead)], "the next is behind as well")
}

func TestOtherReadsAreNotKeptTogether(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(5).withLags(0, 10*time.Second, 0, 20*time.Second)
	assert.ElementsMatch(t, []int{2, 4}, h.serversOf(2, anyRead), "short reads that require no position, in this zone")
	h = newHarness(longReadDeployment()).withGroup(5).withLags(0, 10*time.Second, 0, 20*time.Second)
	assert.ElementsMatch(t, []int{1, 3}, h.serversOf(2, sessionRead), "reads that require the start of the primary's term")
	h = newHarness(longReadDeployment()).withGroup(5).withLags(0, 150*ms, 0, 200*ms)
	assert.ElementsMatch(t, []int{2, 4}, h.serversOf(2, anyRead), "lags up to the shortest latency objective")
}

func TestLongReadsLeaveAServerThatIsWarmingUpToItsSlowStart(t *testing.T) {
	h := newHarness(longReadDeployment()).withGroup(5).withLags(0, 10*time.Second, 0, 20*time.Second)
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 4, StartedAt: h.now - time.Second, HasStartTime: true})
	assert.Equal(t, 2, h.sentTo[h.receive(anyRead)])
}
