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

// harness is a Server between the connections of a test's clients and a fake server.
type harness struct {
	*conntest.Harness
	pools  *upstream.Pools
	server *Server
}

// newHarness shares out a number of descriptors; each of configure is called before the server starts.
func newHarness(t *testing.T, descriptors int, configure ...func(*Server)) *harness {
	return newHarnessWith(t, limits.SharesOf(descriptors, 0), configure...)
}

func newHarnessWith(t *testing.T, shares limits.DescriptorShares, configure ...func(*Server)) *harness {
	g := &harness{Harness: conntest.New(t, limits.NewDescriptors(shares))}
	g.pools = upstream.NewPools(upstream.Options{Post: g.Post, Limiter: g.Limiter, User: "portal", Database: "crm",
		DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MemoryBytes: 32 << 20})
	g.server = New(Options{Post: g.Post, Limiter: g.Limiter, Clock: g.Clock, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		MemoryBytes: 32 << 20})
	for _, each := range configure {
		each(g.server)
	}
	g.Start(g.pools, func(l *net.TCPListener) error { return g.server.Serve(l) })
	return g
}

// bodyLimit sets the budget for long messages.
func bodyLimit(bytes int64) func(*Server) {
	return func(s *Server) { s.bodies = limits.NewMemory(bytes) }
}

// answerLimit sets the budget for answers that are not written yet.
func answerLimit(bytes int64) func(*Server) {
	return func(s *Server) { s.answers = limits.NewMemory(bytes) }
}

// serve takes one request through and leaves its connections idle.
func (g *harness) serve() (c, m *conntest.Peer) {
	c, m = g.Serve()
	clients, servers, _ := g.Limiter.InUse()
	require.True(g.T, clients > 0 && servers == 1)
	return c, m
}
