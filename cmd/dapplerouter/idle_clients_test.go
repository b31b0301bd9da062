package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against idle clients that use up the descriptors needed by the watch of the endpoint list, connections to servers, and clients
// with requests. Discovery is down meanwhile, so that its watch has to be reopened.
func TestIdleClientsLeaveDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 96
	for name, closeWithFront := range map[string]bool{"clients that close when the front does": true, "clients that never close": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 3)
			l := startEndpointList(t, g)
			p := startProcess(t, g, l.address(), 8*time.Second, setting{"sockets", sockets})
			p.limitDescriptors(sockets)
			require.Eventually(t, func() bool { return l.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
			l.setUp(false)
			p.connectIdleClients(75, closeWithFront)
			const requests = 10
			served, peak := 0, 0
			for n := range requests {
				for range 3 { // a client that found no free descriptor retries
					peak = max(peak, p.descriptors())
					if p.isServed(fmt.Sprint("work", n)) {
						served++
						break
					}
				}
			}
			before := l.watches.Load()
			l.setUp(true)
			upAgain := time.Now()
			require.Eventually(t, func() bool { return l.watches.Load() > before }, 6*time.Second, time.Millisecond, "the watch was not reopened")
			t.Logf("watch reopened after %v; %d of %d requests served; %d descriptors at most", time.Since(upAgain), served, requests, peak)
			assert.LessOrEqual(t, peak, sockets)
			assert.GreaterOrEqual(t, served, requests*4/5, "clients with requests were not served")
			require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)), "the front has ended")
		})
	}
}
