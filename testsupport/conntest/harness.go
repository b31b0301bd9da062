// Package conntest has what tests of the client and the server connections share: a core with a trivial router, the ends of the
// connections, and messages. A Harness owns the core and both listeners, and closes them when its test ends.
package conntest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/monotonic"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// patience ends a test that fails, and is long enough for a busy machine.
const patience = 15 * time.Second

// Harness is a router's core between the connections of a test's clients and of a fake server.
type Harness struct {
	T        *testing.T
	Router   *Router
	Core     *front.Core
	Clock    *monotonic.Clock
	Limiter  *limits.Descriptors
	Listener *net.TCPListener // where clients connect
	Upstream *net.TCPListener // where connections to the fake server arrive
	Served   chan error       // what the client server's Serve returned
}

// New returns a Harness that is not started.
func New(t *testing.T, limiter *limits.Descriptors) *Harness {
	return &Harness{T: t, Router: newRouter(), Clock: monotonic.NewClock(), Limiter: limiter,
		Listener: Listen(t), Upstream: Listen(t), Served: make(chan error, 1)}
}

// Post passes an event to the core.
func (g *Harness) Post(e front.Event) { g.Core.Post(e) }

// Start runs the core and serves clients until the test ends.
func (g *Harness) Start(pools front.Pools, serve func(*net.TCPListener) error) {
	s := &deployment.Settings{TypeNames: []string{"read", "write"}, ZoneNames: []string{"a"},
		RequestTypes: []routing.RequestType{{Deadline: time.Minute}, {Deadline: time.Minute, Consistency: routing.Write}},
		Limits:       routing.Limits{MaxAttempts: 9, DialTimeout: 5 * time.Second}}
	g.Core = front.NewCore(front.Options{
		StartedAt: g.Clock.StartedAt,
		Seed:      1,
		Settings:  s,
		Pools:     pools,
		Endpoints: noEndpointSource{},
		NewRouter: func(h routing.Host, _ routing.Options) routing.Router {
			g.Router.Host = h
			return g.Router
		},
	})
	g.List(g.Upstream.Addr().String(), 0)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { g.Core.Run(g.Clock, stop) })
	running.Go(func() { g.Served <- serve(g.Listener) })
	g.T.Cleanup(func() {
		_ = g.Listener.Close() // Serve may have closed it
		close(stop)
		running.Wait()
	})
}

// Serve takes one request through and returns the two connections, which are idle.
func (g *Harness) Serve() (client, server *Peer) {
	client = g.Client()
	client.Send(ReadQuery("4000")...)
	server = g.AcceptServer()
	server.Expect("Q")
	server.Send(RowResponse("v")...)
	client.Expect("TDCZ")
	<-g.Router.Finished
	return client, server
}

// List posts an endpoint list of one server, of which since is the start in Unix milliseconds.
func (g *Harness) List(address string, since int64) {
	g.Core.Post(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: address, Zone: "a", Group: 2, StartedAtMillis: since}}}})
}

// Dial connects a client.
func (g *Harness) Dial() *Peer {
	c, err := net.Dial("tcp", g.Listener.Addr().String())
	require.NoError(g.T, err)
	return NewPeer(g.T, c)
}

// Client connects a client and reads its greeting.
func (g *Harness) Client() *Peer {
	p := g.Dial()
	p.Send(pgwire.AppendStartup(nil, "portal", "crm")...)
	p.Expect("RSSSSZ")
	return p
}

// AcceptStartup accepts a connection to the fake server and reads its startup message.
func (g *Harness) AcceptStartup() *Peer {
	c, err := g.Upstream.Accept()
	require.NoError(g.T, err)
	p := NewPeer(g.T, c)
	_, err = p.Reader.ReadStartup()
	require.NoError(g.T, err)
	return p
}

// AcceptServer accepts a connection to the fake server and greets it.
func (g *Harness) AcceptServer() *Peer {
	p := g.AcceptStartup()
	p.Send(pgwire.AppendGreeting(nil)...)
	return p
}

// AnswerAll has the fake server answer each statement, and counts them.
func (g *Harness) AnswerAll() *atomic.Int64 {
	var statements atomic.Int64
	go func() {
		for {
			c, err := g.Upstream.Accept()
			if err != nil {
				return
			}
			go answerAll(c, &statements)
		}
	}()
	return &statements
}

// answerAll serves a connection to the fake server until it ends.
func answerAll(c net.Conn, statements *atomic.Int64) {
	defer func() { _ = c.Close() }() // the other side has ended it
	r := pgwire.NewReader(c, peerBuffer, peerMaxMessage)
	if _, err := r.ReadStartup(); err != nil {
		return
	}
	if _, err := c.Write(pgwire.AppendGreeting(nil)); err != nil {
		return
	}
	for {
		if _, _, err := r.Next(); err != nil {
			return
		}
		statements.Add(1)
		if _, err := c.Write(RowResponse("v")); err != nil {
			return
		}
	}
}

// DiscardEvents takes what the router notes, so that the core never waits for the test.
func (g *Harness) DiscardEvents() {
	go func() {
		for {
			select {
			case <-g.Router.Received:
			case <-g.Router.Finished:
			case <-g.Router.Gone:
			case <-g.T.Context().Done():
				return
			}
		}
	}()
}

// Eventually waits until a condition holds.
func (g *Harness) Eventually(condition func() bool) {
	g.T.Helper()
	require.Eventually(g.T, condition, 10*time.Second, time.Millisecond)
}

// Within waits until a channel is closed; what says what has failed where it is not.
func Within(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(patience):
		require.Fail(t, what)
	}
}

// Listen opens a listener of the loopback address.
func Listen(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // the test may have closed it
	return l.(*net.TCPListener)
}
