package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/testsupport/conntest"
)

// Clients at rest that were asked to make way held their descriptors until they closed, and each of them counted as room for the
// next: a crowd that never closes filled the members' quarter too, and what came on an open connection could not be sent on.
func TestEvictedClientsThatNeverCloseLeaveServerDescriptors(t *testing.T) {
	g := newHarness(t, 40) // three quarters are 30
	g.server.mu.Lock()
	g.server.linger = time.Hour // longer than the test: nobody's descriptor is free by time
	g.server.mu.Unlock()
	worker, first := g.serve()
	worker.Send(conntest.ReadQuery("4000")...) // it is out from here on, so nobody asks its client to leave
	first.Expect("Q")
	<-g.Router.Received
	for range 60 {
		g.Client() // with the welcome it is at rest, or among those for whom there is no room
	}
	clients, _, _ := g.Limiter.InUse()
	assert.LessOrEqual(t, clients, 30+2)
	t.Log("clients in hand", clients)
	for n := range 9 { // with the one at work these are the members' quarter
		assert.True(t, g.Limiter.AdmitServer(g.pools.EvictIdle), "connection %d to a member finds no room", n)
	}
}
