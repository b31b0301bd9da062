package upstream

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
	"dapplerouter/tcpconn"
	"dapplerouter/testsupport/conntest"
)

// A server connection that opens late must not carry a request whose client has disconnected in the meantime. This also holds if the
// router cancels nothing, because the deployment forbids cancellation, and while the core is busy.
func TestNothingSentForClientThatLeftDuringDial(t *testing.T) {
	h := newHarness(t, 40)
	client := h.ConnectClient()
	client.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptStartup() // the greeting is sent below
	<-h.Router.Received
	client.Close()
	<-h.Router.Gone // the router does not cancel the attempt
	upstream.Send(pgwire.AppendStartupResponse(nil)...)
	assert.Equal(t, routing.NotSent, (<-h.Router.Finished).Result)
	h.awaitIdle(1) // the connection is kept for other requests
	client = h.ConnectClient()
	client.Send(conntest.ReadQuery("4000")...)
	second := <-h.Router.Received
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	client.Expect("TDCZ")
	assert.Equal(t, second.Ref, (<-h.Router.Finished).Ref, "the first statement that the server receives is that of the second client")
}

// A server connection that opens after its request has timed out carries nothing of the request and is kept for other requests.
func TestLateConnectionIsKeptIdle(t *testing.T) {
	h := newHarness(t, 40)
	client := h.ConnectClient()
	client.Send(conntest.ReadQuery("60")...)
	upstream := h.AcceptStartup()
	assert.Contains(t, string(client.Expect("EZ")), pgwire.CodeTransactionRollback)
	upstream.Send(pgwire.AppendStartupResponse(nil)...)
	h.awaitIdle(1)
	client.Send(conntest.ReadQuery("4000")...)
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	client.Expect("TDCZ")
	assert.Equal(t, 1, h.idle(), "there is one connection, used by the second request only")
}

// Long messages of servers share a memory budget. A message that exceeds the budget counts as a response that cannot be decoded.
func TestLongResultOverMemoryLimitIsAnError(t *testing.T) {
	h := newHarness(t, 60)
	held := func() int64 { return h.pools.bodies.Reserved() }
	h.pools.bodies = limits.NewMemory(300 << 10)
	long := conntest.RowResponse(strings.Repeat("v", 200<<10))
	first, second := h.ConnectClient(), h.ConnectClient()
	first.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(long[:len(long)-20]...)
	h.Eventually(func() bool { return held() > 200<<10 })
	second.Send(conntest.ReadQuery("4000")...)
	secondUpstream := h.AcceptServer()
	secondUpstream.Expect("Q")
	secondUpstream.Write(long) // the connection may be closed before all is written
	assert.Equal(t, routing.ServerError, (<-h.Router.Finished).Result)
	assert.Contains(t, string(second.Expect("EZ")), pgwire.CodeTransactionRollback)
	upstream.Send(long[len(long)-20:]...)
	first.Expect("TDCZ")
	h.Eventually(func() bool { return held() == 0 })
}

// The memory that is reserved for a long row is also released if its result never completes.
func TestIncompleteLongResultReleasesMemory(t *testing.T) {
	h := newHarness(t, 60)
	held := func() int64 { return h.pools.bodies.Reserved() }
	long := conntest.RowResponse(strings.Repeat("v", 200<<10))
	client := h.ConnectClient()
	client.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(long[:len(long)-20]...) // the complete row, but not the messages after it
	h.Eventually(func() bool { return held() > 200<<10 })
	upstream.Close()
	client.Expect("EZ")
	h.Eventually(func() bool { return held() == 0 })
}

func TestTimedOutAttemptIsCancelledAtServer(t *testing.T) {
	h := newHarness(t, 40)
	client := h.ConnectClient()
	client.Send(conntest.ReadQuery("60")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.ExpectClosed()
	assert.Equal(t, routing.TimedOut, (<-h.Router.Finished).Result)
	assert.Contains(t, string(client.Expect("EZ")), pgwire.CodeTransactionRollback)
	client.Send(conntest.ReadQuery("4000")...)
	upstream = h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	client.Expect("TDCZ")
}

func TestAttemptResultByStageOfFailure(t *testing.T) {
	for name, x := range map[string]struct {
		act  func(h *harness) // causes the failure
		want routing.AttemptResult
	}{
		"connection refused":     {func(h *harness) { h.Upstream.Close() }, routing.Unreachable},
		"closed before greeting": {func(h *harness) { h.AcceptStartup().Close() }, routing.Unreachable},
		"malformed greeting":     {func(h *harness) { h.AcceptStartup().Send(conntest.Message('?', "")...) }, routing.Unreachable},
		"a result with the greeting": {func(h *harness) {
			h.AcceptStartup().Send(append(pgwire.AppendStartupResponse(nil), conntest.RowResponse("v")...)...)
		}, routing.Unreachable},
		"half a row with the greeting": {func(h *harness) {
			h.AcceptStartup().Send(append(pgwire.AppendStartupResponse(nil), conntest.Row("v")[:20]...)...)
		}, routing.Unreachable},
		"closed with the greeting": {func(h *harness) { // TCP_CORK sends the greeting and the FIN in one segment
			upstream := h.AcceptStartup()
			raw, err := upstream.Conn.(*net.TCPConn).SyscallConn()
			require.NoError(h.T, err)
			raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
			require.NoError(h.T, err)
			upstream.Send(pgwire.AppendStartupResponse(nil)...)
			upstream.Close()
		}, routing.Unreachable},
		"rejected at startup": {func(h *harness) {
			h.AcceptStartup().Send(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "full"})...)
		}, routing.Overloaded},
		"closed after the query": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Close()
		}, routing.ConnectionLost},
		"closed within the row": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(conntest.Row("v")[:40]...)
			upstream.Close()
		}, routing.ConnectionLost},
		"two rows": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(append(conntest.Row("v"), conntest.RowResponse("w")...)...)
		}, routing.ServerError},
		"a row's wrong length, the rest never sent": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(conntest.Row("v")[:len(conntest.Row(""))-25]...)
			upstream.Send('D', 0, 0, 9, 0, 0, 1, 0, 0, 0, 1)
		}, routing.ServerError},
		"bytes that are no message": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send([]byte("zzzz\x00")...)
		}, routing.ServerError},
		"oversized": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send('D', 127, 0, 0, 0)
		}, routing.ServerError},
		"a fatal error": {func(h *harness) {
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: "72000", Message: "behind"})...)
			upstream.Close()
		}, routing.Misrouted},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 40)
			client := h.ConnectClient()
			if x.want == routing.Unreachable && name == "connection refused" {
				x.act(h)
				client.Send(conntest.ReadQuery("4000")...)
			} else {
				client.Send(conntest.ReadQuery("4000")...)
				x.act(h)
			}
			assert.Equal(t, x.want, (<-h.Router.Finished).Result)
			assert.Contains(t, string(client.Expect("EZ")), pgwire.CodeTransactionRollback, "no part of a value reaches the client")
		})
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	h := newHarness(t, 40)
	client, upstream := h.serve()
	upstream.Close()
	h.Eventually(func() bool { return h.idle() == 0 })
	client.Send(conntest.ReadQuery("4000")...)
	upstream = h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	client.Expect("TDCZ")
	assert.Equal(t, routing.Succeeded, (<-h.Router.Finished).Result)
}

// Regression test: Faulty servers sent surplus data, which was read as the response to the connection's next attempt, and so on for each
// later attempt, 416 times.
func TestSurplusDataClosesOnlyItsConnection(t *testing.T) {
	for name, after := range map[string]func(h *harness, upstream *conntest.Peer){
		"with the response": func(h *harness, upstream *conntest.Peer) {
			upstream.Send(append(conntest.RowResponse("v"), conntest.RowResponse("stale")...)...)
		},
		"on an idle connection": func(h *harness, upstream *conntest.Peer) {
			upstream.Send(conntest.RowResponse("v")...)
			h.awaitIdle(1)
			upstream.Send(conntest.RowResponse("stale")...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 40)
			client := h.ConnectClient()
			client.Send(conntest.ReadQuery("4000")...)
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			after(h, upstream)
			client.Expect("TDCZ")
			h.awaitIdle(0)
			client.Send(conntest.ReadQuery("4000")...)
			upstream = h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(conntest.RowResponse("w")...)
			client.Expect("T")
			assert.Equal(t, "w", string(client.Expect("D")[6:]))
		})
	}
}

// A connection may be taken from its pool at the moment at which its server sends data or closes it. It is not used, and the attempt, of
// which nothing was sent, goes to another connection.
func TestAttemptOnUnusableConnectionUsesAnother(t *testing.T) {
	for name, act := range map[string]func(upstream *conntest.Peer){
		"data":  func(upstream *conntest.Peer) { upstream.Send(conntest.RowResponse("stale")...) },
		"close": func(upstream *conntest.Peer) { upstream.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 40)
			finished := make(chan front.Event, 1)
			h.pools.options.Post = func(e front.Event) { finished <- e }
			h.Eventually(func() bool { return h.address() != "" })
			dialled, err := net.Dial("tcp", h.Upstream.Addr().String())
			require.NoError(t, err)
			idle := &conn{pools: h.pools, pool: h.pools.pool(0), address: h.address(), tcp: dialled.(*net.TCPConn),
				next: make(chan *front.Attempt, 1), reader: pgwire.NewReader(dialled, 4096, 4096)}
			accepted, err := h.Upstream.Accept()
			require.NoError(t, err)
			act(conntest.NewPeer(t, accepted))
			h.Eventually(func() bool { return tcpconn.Peek(idle.tcp) != tcpconn.NoInput })
			idle.next <- front.NewHealthCheck("SELECT 2")
			assert.Nil(t, idle.awaitNext())
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(conntest.RowResponse("w")...)
			assert.Nil(t, (<-finished).(*front.AttemptFinished).Err)
		})
	}
}

// The connection of a failed attempt must be closed before its result is posted. Otherwise a retry could be in flight together with the
// attempt that it replaces.
func TestConnectionClosedBeforeFailureIsPosted(t *testing.T) {
	h := newHarness(t, 40)
	post, peer, seen := h.pools.options.Post, make(chan *conntest.Peer, 1), make(chan error, 1)
	h.pools.options.Post = func(e front.Event) {
		_, _, err := (<-peer).Reader.Next()
		seen <- err
		post(e)
	}
	h.ConnectClient().Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(conntest.Message('?', "")...)
	peer <- upstream
	assert.ErrorIs(t, <-seen, io.EOF)
	assert.Equal(t, routing.ServerError, (<-h.Router.Finished).Result, "the server responded, but not with a valid message")
}

func TestConnectionsBeforeServerRestartAreClosed(t *testing.T) {
	h := newHarness(t, 40)
	_, upstream := h.serve()
	h.PostEndpoints(h.Upstream.Addr().String(), time.Now().Add(time.Hour).UnixMilli())
	upstream.ExpectClosed()
	h = newHarness(t, 40)
	_, upstream = h.serve()
	h.PostEndpoints("127.0.0.1:1", 0)
	upstream.ExpectClosed() // the server's address has changed
}

func TestRemovedServersConnectionsAreNotReused(t *testing.T) {
	h := newHarness(t, 40)
	_, upstream := h.serve()
	h.pools.mu.Lock()
	connection := h.pools.pools[0].idle[0]
	h.pools.mu.Unlock()
	h.pools.Remove(0)
	upstream.ExpectClosed()
	h.pools.SetAddress(0, h.Upstream.Addr().String(), 0)
	connection.putBack() // like a connection that was busy while its server was removed
	assert.Zero(t, h.idle(), "the connection belongs to the pool of the removed server")
}
