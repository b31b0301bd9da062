package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestNothingNewGoesToDrainingOrUnlistedServer(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, State: routing.Draining})
	h.updateEndpoints(routing.Snapshot, routing.Endpoint{Server: 1, Zone: 1, State: routing.Draining})
	h.receive(anyRead)
	assert.Zero(t, h.countActions("send"))
}

// Guards against tables that grow while servers come and go.
func TestServerIndexIsReleasedOnceGoneAndIdle(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	r := h.receive(write)
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Removed})
	h.advance(11 * time.Second)
	assert.Zero(t, h.countActions("release"), "an attempt is in flight")
	h.finish(r, routing.Succeeded, routing.Primary, time.Second)
	h.groups[0].primary = 0 // as if it had claimed the role while it was ejected
	h.advance(time.Second)
	assert.Equal(t, "release 0", h.lastAction("release"))
	assert.Equal(t, none, h.groups[0].primary)
	assert.Equal(t, []int{1}, h.groups[0].servers)
	h.advance(time.Minute)
	assert.Equal(t, 1, h.countActions("release"))
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, Group: 1, Primary: true})
	h.reportRole(1, routing.Primary, 2*time.Second)
	assert.Equal(t, 0, h.groups[1].primary, "the index belongs to another server now")
	assert.Equal(t, 1, h.groups[0].primary, "the claim of the released server no longer counts")
	assert.Equal(t, unknownServer.limit, h.servers[0].limit)
	h.updateEndpoints(routing.Snapshot, routing.Endpoint{Server: 0, Group: 1})
	h.advance(11 * time.Second)
	assert.Equal(t, "release 1", h.lastAction("release"), "the server is missing from the snapshot")
}

func TestEndpointListIsSubscribedAtStartAndAfterFailure(t *testing.T) {
	o := testDeployment()
	o.Topology.PullEndpoints = true
	h := newHarness(o).withGroup(2)
	assert.Equal(t, 1, h.countActions("watch"))
	h.updateEndpoints(routing.UpdateFailed)
	assert.Equal(t, 1, h.countActions("watch"), "after a random pause")
	h.advance(time.Second)
	assert.Equal(t, 2, h.countActions("watch"))
}
