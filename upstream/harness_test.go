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

// harness runs a core with Pools between the client connections of a test and a fake server.
type harness struct {
	*conntest.Harness
	pools  *Pools
	server *server.Server
}

func newHarness(t *testing.T, descriptors int) *harness {
	h := &harness{Harness: conntest.New(t, limits.NewDescriptors(limits.NewDescriptorShares(descriptors, 0)))}
	h.pools = NewPools(Options{Post: h.Post, Limiter: h.Limiter, User: "portal", Database: "crm", DialTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MemoryBytes: 32 << 20})
	h.server = server.New(server.Options{Post: h.Post, Limiter: h.Limiter, Clock: h.Clock, WriteTimeout: 5 * time.Second,
		IdleTimeout: time.Minute, MemoryBytes: 32 << 20})
	h.Start(h.pools, func(l *net.TCPListener) error { return h.server.Serve(l) })
	return h
}

// serve completes one request and returns its client connection and its server connection, both idle.
func (h *harness) serve() (client, upstream *conntest.Peer) {
	client, upstream = h.RunRequest()
	require.Equal(h.T, 1, h.idle())
	return client, upstream
}

// idle returns the number of idle connections to server 0.
func (h *harness) idle() int {
	h.pools.mu.Lock()
	defer h.pools.mu.Unlock()
	return len(h.pools.pool(0).idle)
}

// address returns the address of server 0 that the pools have, or "".
func (h *harness) address() string {
	h.pools.mu.Lock()
	defer h.pools.mu.Unlock()
	return h.pools.pool(0).address
}

// awaitIdle waits until the given number of connections to server 0 are idle.
func (h *harness) awaitIdle(idle int) { h.Eventually(func() bool { return h.idle() == idle }) }
