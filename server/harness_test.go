package server

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/limits"
	"dapplerouter/testsupport/conntest"
	"dapplerouter/upstream"
)

// harness connects a Server with the clients of a test and with a fake database server.
type harness struct {
	*conntest.Harness
	pools  *upstream.Pools
	server *Server
}

// newHarness returns a harness whose limiter distributes the given number of descriptors. It calls each function of configure before the
// server starts.
func newHarness(t *testing.T, descriptors int, configure ...func(*Server)) *harness {
	return newHarnessWith(t, limits.NewDescriptorShares(descriptors, 0), configure...)
}

// newHarnessWith is like newHarness with explicit shares of the descriptors.
func newHarnessWith(t *testing.T, shares limits.DescriptorShares, configure ...func(*Server)) *harness {
	h := &harness{Harness: conntest.New(t, limits.NewDescriptors(shares))}
	h.pools = upstream.NewPools(upstream.Options{Post: h.Post, Limiter: h.Limiter, User: "portal", Database: "crm",
		DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MemoryBytes: 32 << 20})
	h.server = New(Options{Post: h.Post, Limiter: h.Limiter, Clock: h.Clock, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		MemoryBytes: 32 << 20})
	for _, configureServer := range configure {
		configureServer(h.server)
	}
	h.Start(h.pools, func(l *net.TCPListener) error { return h.server.Serve(l) })
	return h
}

// messageMemoryLimit sets the budget for long messages and requests that were read ahead.
func messageMemoryLimit(bytes int64) func(*Server) {
	return func(s *Server) { s.messageMemory = limits.NewMemory(bytes) }
}

// answerMemoryLimit sets the budget for answers that are not written yet.
func answerMemoryLimit(bytes int64) func(*Server) {
	return func(s *Server) { s.answerMemory = limits.NewMemory(bytes) }
}

// serve serves one request. It returns the idle connections of its client and to the fake server.
func (h *harness) serve() (c, server *conntest.Peer) {
	c, server = h.RunRequest()
	clients, servers, _ := h.Limiter.InUse()
	require.True(h.T, clients > 0 && servers == 1)
	return c, server
}

// drainUntilRejecting begins a graceful shutdown and waits until no more connections are accepted, so that requests are rejected.
func (h *harness) drainUntilRejecting() {
	h.server.Drain(h.Listener)
	require.NoError(h.T, <-h.Served)
	h.Served <- nil
}
