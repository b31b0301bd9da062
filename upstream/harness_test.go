package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/limits"
	"dapplerouter/server"
	"dapplerouter/testsupport/conntest"
)

// harness is Pools between the connections of a test's clients and a fake server.
type harness struct {
	*conntest.Harness
	pools  *Pools
	server *server.Server
}

func newHarness(t *testing.T, descriptors int) *harness {
	g := &harness{Harness: conntest.New(t, limits.NewDescriptors(limits.SharesOf(descriptors, 0)))}
	g.pools = NewPools(Options{Post: g.Post, Limiter: g.Limiter, User: "portal", Database: "crm", DialTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MemoryBytes: 32 << 20})
	g.server = server.New(server.Options{Post: g.Post, Limiter: g.Limiter, Clock: g.Clock, WriteTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MemoryBytes: 32 << 20})
	g.Start(g.pools, func(l *net.TCPListener) error { return g.server.Serve(l) })
	return g
}

// serve takes one request through and leaves its connections idle.
func (g *harness) serve() (c, m *conntest.Peer) {
	c, m = g.Serve()
	require.Equal(g.T, 1, g.idle())
	return c, m
}

func (g *harness) idle() int {
	g.pools.mu.Lock()
	defer g.pools.mu.Unlock()
	return len(g.pools.pool(0).idle)
}

func (g *harness) address() string {
	g.pools.mu.Lock()
	defer g.pools.mu.Unlock()
	return g.pools.pool(0).address
}

// settled waits until so many links are idle.
func (g *harness) settled(idle int) { g.Eventually(func() bool { return g.idle() == idle }) }
