package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/testsupport/conntest"
)

// Regression test: Evicted idle clients hold their descriptors until they close, but each of them counted as a free descriptor. Many
// clients that never closed took the quarter reserved for server connections too, and requests of open connections could not be
// forwarded.
func TestEvictedClientsThatNeverCloseLeaveServerDescriptors(t *testing.T) {
	h := newHarness(t, 40) // three quarters of 40 are 30
	h.server.mu.Lock()
	h.server.linger = time.Hour // longer than the test, so that no descriptor is released by a timeout
	h.server.mu.Unlock()
	busy, upstream := h.serve()
	busy.Send(conntest.ReadQuery("4000")...) // the request stays in flight, so its client is not evicted
	upstream.Expect("Q")
	<-h.Router.Received
	for range 60 {
		h.ConnectClient() // idle after the greeting, or refused
	}
	clients, _, _ := h.Limiter.InUse()
	assert.LessOrEqual(t, clients, 30+2)
	t.Log("clients", clients)
	for n := range 9 { // together with the one in use, these are the servers' quarter
		assert.True(t, h.Limiter.AdmitServer(h.pools.EvictIdle), "connection %d to a server was not admitted", n)
	}
}
