package agent

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/rollout"
)

// A history whose disk blocks must not block the fleet: the mesh's lock is free while a line waits.
func TestBlockedHistoryDoesNotHoldMeshLock(t *testing.T) {
	for name, cause := range map[string]func(a *Agent){
		"version in force": func(a *Agent) {
			adopted := make(chan struct{})
			close(adopted)
			a.rollout.acknowledge(0, adopted)
		},
		"rollout changed": func(a *Agent) {
			value, _ := msgpack.Marshal(rollout.State{Reason: "test"})
			a.mesh.Do(func(n *fleet.Node, _ time.Duration) {
				n.State().Values["roll"] = &fleet.StoredValue{Index: 9, Value: value}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "history")
			blocked, release := make(chan struct{}, 1000), make(chan struct{})
			calls := disk.SystemCalls()
			opens := 0
			calls.OpenFile = func(string, int, os.FileMode) (*os.File, error) { // called by one goroutine at a time
				if opens++; opens > 1 {
					blocked <- struct{}{}
					<-release
				}
				return nil, &os.PathError{Op: "open", Path: path, Err: syscall.EIO}
			}
			a := newVoterAgent(t, func(c *Config) {
				c.Calls, c.Fleet.History = &calls, path
				c.Rollout, c.Rules = &rollout.Config{Dir: t.TempDir()}, &deployment.Rules{}
			})
			t.Cleanup(a.Close)
			t.Cleanup(func() { close(release) })
			a.goroutines.Go(a.rollout.run)
			go cause(a)
			select {
			case <-blocked:
			case <-time.After(10 * time.Second):
				require.Fail(t, "no line was written")
			}
			free := make(chan struct{})
			go func() {
				a.mesh.Do(func(*fleet.Node, time.Duration) {})
				close(free)
			}()
			select {
			case <-free:
			case <-time.After(time.Second):
				assert.Fail(t, "the mesh's lock is held")
			}
		})
	}
}
