package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/fleet/mesh"
	"dapplerouter/routing"
)

// Guards against lost changes of the endpoint list. The event of a change may be dropped while a disk hangs. The following updates only
// say that the discovery service still answers, so a draining server would receive requests until the next change of the list.
func TestChangesOfDroppedEventsReachTheFront(t *testing.T) {
	node, err := fleet.New(fleet.Options{Fleet: "x", Name: "n1", Incarnation: 7, Timing: fleet.Timing{LeaseDuration: time.Second}, Seed: 1}, nil)
	require.NoError(t, err)
	m, err := mesh.New(mesh.Options{Listen: "127.0.0.1:0", Node: node, Timing: fleet.Timing{LeaseDuration: time.Second}})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	updates := make(chan discovery.Update, 10)
	watcher := discovery.NewWatcher(t.Context(), discovery.NewClient("127.0.0.1:1", 0), func(u discovery.Update) { updates <- u }, func() float64 { return 1 })
	watcher.Follow()
	f := newEndpointFollower(&Agent{mesh: m}, watcher, "127.0.0.1:1")
	apply := func(index int64, state routing.ServerState, deliver bool) {
		l := discovery.List{Index: index, Snapshot: index == 1, Endpoints: []discovery.Endpoint{{Name: "s1", Address: "127.0.0.1:2", State: state}}}
		data, err := f.list.EncodeUpdate(l, index-1)
		require.NoError(t, err)
		m.Do(func(*fleet.Node, time.Duration) { f.list.Apply(1, data) })
		if deliver {
			f.onUpdate(data)
		}
	}
	latest := func() (u discovery.Update) {
		for u = range updates {
			if u.Kind != routing.UpdateFailed { // failures of the front's own watch
				return u
			}
		}
		return u
	}
	apply(1, routing.Serving, true)
	assert.Equal(t, routing.Serving, latest().List.Endpoints[0].State)
	apply(2, routing.Draining, false)
	(&Agent{endpoints: f}).onDroppedEvents(1)
	u := latest()
	assert.EqualValues(t, 2, u.List.Index)
	assert.Equal(t, routing.Draining, u.List.Endpoints[0].State)
}
