package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/testsupport/conntest"
)

// Regression: evicted idle clients held their descriptors until they closed, and each of them counted as a free one: many clients that
// never close took the servers' quarter too, and requests of open connections could not be forwarded.
func TestEvictedClientsThatNeverCloseLeaveServerDescriptors(t *testing.T) {
	g := newHarness(t, 40) // three quarters are 30
	g.server.mu.Lock()
	g.server.linger = time.Hour // longer than the test: no descriptor is released by a timeout
	g.server.mu.Unlock()
	worker, first := g.serve()
	worker.Send(conntest.ReadQuery("4000")...) // it is in flight from here on, so its client is not evicted
	first.Expect("Q")
	<-g.Router.Received
	for range 60 {
		g.Client() // after the greeting it is idle, or refused
	}
	clients, _, _ := g.Limiter.InUse()
	assert.LessOrEqual(t, clients, 30+2)
	t.Log("clients", clients)
	for n := range 9 { // with the busy one these are the servers' quarter
		assert.True(t, g.Limiter.AdmitServer(g.pools.EvictIdle), "connection %d to a server is not admitted", n)
	}
}
