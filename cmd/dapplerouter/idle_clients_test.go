package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Idle clients must not take the descriptors that the watch, connections to servers and clients with requests need.
func TestIdleClientsLeaveDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 96
	for name, closes := range map[string]bool{"that closes when it is asked to": true, "that never closes": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 3)
			l := startEndpointList(t, g)
			p := startProcess(t, g, l.address(), 8*time.Second, setting{"sockets", sockets})
			p.limitDescriptors(sockets)
			require.Eventually(t, func() bool { return l.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
			l.setUp(false)
			p.connectIdleClients(75, closes)
			const asked = 10
			served, most := 0, 0
			for n := range asked {
				for range 3 { // one for whom there was no room comes again
					most = max(most, p.descriptors())
					if p.isServed(fmt.Sprint("work", n)) {
						served++
						break
					}
				}
			}
			before := l.watches.Load()
			l.setUp(true)
			back := time.Now()
			require.Eventually(t, func() bool { return l.watches.Load() > before }, 6*time.Second, time.Millisecond, "the watch gets its descriptor")
			t.Logf("watched again after %v; %d of %d with work served; %d descriptors at most", time.Since(back), served, asked, most)
			assert.LessOrEqual(t, most, sockets)
			assert.GreaterOrEqual(t, served, asked*4/5, "who comes with work gets in")
			require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)), "it lives")
		})
	}
}
