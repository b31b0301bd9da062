// Package conntest is shared by the tests of client connections and server connections. It has a core with a trivial router,
// peers that play the ends of the connections, and messages. A Harness owns the core and both listeners, and closes them when
// its test ends.
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

// waitTimeout is how long WaitClosed waits before it fails the test; it is long enough for a busy machine.
const waitTimeout = 15 * time.Second

// Harness runs a core between the client connections of a test and the connections to a fake server.
type Harness struct {
	T        *testing.T
	Router   *Router
	Core     *front.Core
	Clock    *monotonic.Clock
	Limiter  *limits.Descriptors
	Listener *net.TCPListener // where clients connect
	Upstream *net.TCPListener // where connections to the fake server arrive
	Served   chan error       // the error that the function passed to Start returned
}

// New returns a Harness that has its listeners but does not run yet.
func New(t *testing.T, limiter *limits.Descriptors) *Harness {
	return &Harness{T: t, Router: newRouter(), Clock: monotonic.NewClock(), Limiter: limiter,
		Listener: Listen(t), Upstream: Listen(t), Served: make(chan error, 1)}
}

// Post passes an event to the core.
func (h *Harness) Post(e front.Event) { h.Core.Post(e) }

// Start runs the core and serves clients until the test ends. serve accepts clients on the listener until that is closed.
func (h *Harness) Start(pools front.Pools, serve func(*net.TCPListener) error) {
	settings := &deployment.Settings{TypeNames: []string{"read", "write"}, ZoneNames: []string{"a"},
		RequestTypes: []routing.RequestType{{Deadline: time.Minute}, {Deadline: time.Minute, Consistency: routing.Write}},
		Limits:       routing.Limits{MaxAttempts: 9, DialTimeout: 5 * time.Second}}
	h.Core = front.NewCore(front.Options{
		StartedAt: h.Clock.StartedAt,
		Seed:      1,
		Settings:  settings,
		Pools:     pools,
		Endpoints: noEndpointSource{},
		NewRouter: func(host routing.Host, _ routing.Options) routing.Router {
			h.Router.Host = host
			return h.Router
		},
	})
	h.PostEndpoints(h.Upstream.Addr().String(), 0)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { h.Core.Run(h.Clock, stop) })
	running.Go(func() { h.Served <- serve(h.Listener) })
	h.T.Cleanup(func() {
		_ = h.Listener.Close() // Serve may have closed it
		close(stop)
		running.Wait()
	})
}

// RunRequest runs one request from a client to the fake server and back. It returns the two connections, which are idle again.
func (h *Harness) RunRequest() (client, server *Peer) {
	client = h.ConnectClient()
	client.Send(ReadQuery("4000")...)
	server = h.AcceptServer()
	server.Expect("Q")
	server.Send(RowResponse("v")...)
	client.Expect("TDCZ")
	<-h.Router.Finished
	return client, server
}

// PostEndpoints posts an endpoint list with one server. since is the start time of that server in Unix milliseconds.
func (h *Harness) PostEndpoints(address string, since int64) {
	h.Core.Post(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: address, Zone: "a", Group: 2, StartedAtMillis: since}}}})
}

// Dial connects a client without a startup message.
func (h *Harness) Dial() *Peer {
	c, err := net.Dial("tcp", h.Listener.Addr().String())
	require.NoError(h.T, err)
	return NewPeer(h.T, c)
}

// ConnectClient connects a client, sends its startup message and reads the greeting.
func (h *Harness) ConnectClient() *Peer {
	p := h.Dial()
	p.Send(pgwire.AppendStartup(nil, "portal", "crm")...)
	p.Expect("RSSSSZ")
	return p
}

// AcceptStartup accepts a connection to the fake server and reads its startup message.
func (h *Harness) AcceptStartup() *Peer {
	c, err := h.Upstream.Accept()
	require.NoError(h.T, err)
	p := NewPeer(h.T, c)
	_, err = p.Reader.ReadStartup()
	require.NoError(h.T, err)
	return p
}

// AcceptServer accepts a connection to the fake server, reads its startup message and sends the greeting.
func (h *Harness) AcceptServer() *Peer {
	p := h.AcceptStartup()
	p.Send(pgwire.AppendStartupResponse(nil)...)
	return p
}

// RespondToAll makes the fake server respond to every statement with one row. It returns a counter of the statements received.
func (h *Harness) RespondToAll() *atomic.Int64 {
	var statements atomic.Int64
	go func() {
		for {
			c, err := h.Upstream.Accept()
			if err != nil {
				return
			}
			go answerAll(c, &statements)
		}
	}()
	return &statements
}

// answerAll serves a connection to the fake server until it ends, and counts its statements.
func answerAll(conn net.Conn, statements *atomic.Int64) {
	defer func() { _ = conn.Close() }() // the peer may have closed it
	peer := &Peer{Conn: conn, Reader: pgwire.NewReader(conn, peerBuffer, peerMaxMessage)}
	if _, err := peer.Reader.ReadStartup(); err != nil {
		return
	}
	if _, err := conn.Write(pgwire.AppendStartupResponse(nil)); err != nil {
		return
	}
	peer.AnswerAll(func() { statements.Add(1) })
}

// DiscardEvents discards what the router records in its channels, so that the core never blocks on them.
func (h *Harness) DiscardEvents() {
	go func() {
		for {
			select {
			case <-h.Router.Received:
			case <-h.Router.Finished:
			case <-h.Router.Gone:
			case <-h.T.Context().Done():
				return
			}
		}
	}()
}

// Eventually waits until a condition holds, and fails the test after 10 s.
func (h *Harness) Eventually(condition func() bool) {
	h.T.Helper()
	require.Eventually(h.T, condition, 10*time.Second, time.Millisecond)
}

// WaitClosed waits until a channel is closed, and fails the test with the message failure after waitTimeout.
func WaitClosed(t *testing.T, failure string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		require.Fail(t, failure)
	}
}

// Listen opens a listener on a free port of the loopback address. It is closed when the test ends.
func Listen(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // the test may have closed it
	return l.(*net.TCPListener)
}
