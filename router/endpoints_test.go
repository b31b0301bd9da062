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

// softRemovalDeployment is testDeployment with the rule that only draining ends the use of a server.
func softRemovalDeployment() routing.Options {
	o := testDeployment()
	o.DeploymentRules.OnlyDrainingBinds = true
	return o
}

func TestServerThatOnlyLeftTheListStillServesWhereOnlyDrainingBinds(t *testing.T) {
	for name, leave := range map[string]func(h *harness){
		"missing from a snapshot": func(h *harness) { h.updateEndpoints(routing.Snapshot, routing.Endpoint{Server: 1, Zone: 1}) },
		"removed by a delta": func(h *harness) {
			h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Removed})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(softRemovalDeployment()).withGroup(2)
			leave(h)
			h.receive(write)
			assert.Equal(t, "send 1 to 0", h.lastAction("send"), "the primary is still known and in use")
		})
	}
}

func TestServerThatDrainedBeforeItLeftTheListGetsNothingNew(t *testing.T) {
	for _, state := range []routing.ServerState{routing.Draining, routing.Partitioned} {
		h := newHarness(softRemovalDeployment()).withGroup(1)
		h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: state})
		h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Removed})
		h.updateEndpoints(routing.Snapshot)
		h.receive(anyRead)
		assert.Zero(t, h.countActions("send"), state)
		h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0})
		assert.Equal(t, "send 1 to 0", h.lastAction("send"), "the list says that it serves again after %v", state)
	}
}

// The deployment's rules permit attempts only at servers that a list has named.
func TestServerThatIsFirstListedAsRemovedGetsNothing(t *testing.T) {
	h := newHarness(softRemovalDeployment())
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 0, State: routing.Removed})
	h.receive(anyRead)
	assert.Zero(t, h.countActions("send"))
}

func TestIndexOfUnlistedServerIsKeptWhileItAnswers(t *testing.T) {
	h := newHarness(softRemovalDeployment()).withGroup(1)
	h.updateEndpoints(routing.Snapshot)
	for range 3 {
		h.advance(4 * time.Second)
		h.finish(h.receive(write), routing.Succeeded, routing.Primary, h.now)
	}
	assert.Zero(t, h.countActions("release"))
	h.advance(11 * time.Second)
	assert.Equal(t, "release 0", h.lastAction("release"), "it has answered nothing for the duration of a slow start")
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
