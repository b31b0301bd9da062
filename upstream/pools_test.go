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

// A server connection that opens late must not carry a request whose client has left meanwhile, also where the deployment allows no
// cancellation; nor while the core is busy.
func TestNothingSentForClientThatLeftDuringDial(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptStartup() // no greeting yet
	<-g.Router.Received
	c.Close()
	<-g.Router.Gone // which cancels nothing
	m.Send(pgwire.AppendGreeting(nil)...)
	assert.Equal(t, routing.NotSent, (<-g.Router.Finished).Result)
	g.settled(1) // the connection is kept for others
	c = g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	second := <-g.Router.Received
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Equal(t, second.Ref, (<-g.Router.Finished).Ref, "the first statement that the server got is another client's")
}

// A server connection that opens after its request has ended carries nothing of it, and is kept for others.
func TestLateConnectionIsKeptIdle(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("60")...)
	m := g.AcceptStartup()
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTransactionRollback)
	m.Send(pgwire.AppendGreeting(nil)...)
	g.settled(1)
	c.Send(conntest.ReadQuery("4000")...)
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Equal(t, 1, g.idle(), "one connection, used by the second alone")
}

// Servers' long messages share a part of the memory too. One that exceeds it counts as an answer that cannot be decoded.
func TestLongResultOverMemoryLimitIsAnError(t *testing.T) {
	g := newHarness(t, 60)
	held := func() int64 { return g.pools.bodies.Reserved() }
	g.pools.bodies = limits.NewMemory(300 << 10)
	long := conntest.RowResponse(strings.Repeat("v", 200<<10))
	first, second := g.Client(), g.Client()
	first.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	m.Send(long[:len(long)-20]...)
	g.Eventually(func() bool { return held() > 200<<10 })
	second.Send(conntest.ReadQuery("4000")...)
	n := g.AcceptServer()
	n.Expect("Q")
	n.Write(long) // it may be cut off midway
	assert.Equal(t, routing.ServerError, (<-g.Router.Finished).Result)
	assert.Contains(t, string(second.Expect("EZ")), pgwire.CodeTransactionRollback)
	m.Send(long[len(long)-20:]...)
	first.Expect("TDCZ")
	g.Eventually(func() bool { return held() == 0 })
}

// The memory of a long row is released as well where its answer never completes.
func TestIncompleteLongResultReleasesMemory(t *testing.T) {
	g := newHarness(t, 60)
	held := func() int64 { return g.pools.bodies.Reserved() }
	long := conntest.RowResponse(strings.Repeat("v", 200<<10))
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	m.Send(long[:len(long)-20]...) // all of the row, nothing of its end
	g.Eventually(func() bool { return held() > 200<<10 })
	m.Close()
	c.Expect("EZ")
	g.Eventually(func() bool { return held() == 0 })
}

func TestTimedOutAttemptIsCancelledAtServer(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("60")...)
	m := g.AcceptServer()
	m.Expect("Q")
	m.ExpectClosed()
	assert.Equal(t, routing.TimedOut, (<-g.Router.Finished).Result)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTransactionRollback)
	c.Send(conntest.ReadQuery("4000")...)
	m = g.AcceptServer()
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
}

func TestAttemptResultByStageOfFailure(t *testing.T) {
	for name, x := range map[string]struct {
		act  func(g *harness)
		want routing.AttemptResult
	}{
		"connection refused":     {func(g *harness) { g.Upstream.Close() }, routing.Unreachable},
		"closed before greeting": {func(g *harness) { g.AcceptStartup().Close() }, routing.Unreachable},
		"malformed greeting":     {func(g *harness) { g.AcceptStartup().Send(conntest.Message('?', "")...) }, routing.Unreachable},
		"an answer with the greeting": {func(g *harness) {
			g.AcceptStartup().Send(append(pgwire.AppendGreeting(nil), conntest.RowResponse("v")...)...)
		}, routing.Unreachable},
		"half a row with the greeting": {func(g *harness) {
			g.AcceptStartup().Send(append(pgwire.AppendGreeting(nil), conntest.Row("v")[:20]...)...)
		}, routing.Unreachable},
		"the end with the greeting": {func(g *harness) { // in one piece, however busy the machine is
			m := g.AcceptStartup()
			raw, err := m.Conn.(*net.TCPConn).SyscallConn()
			require.NoError(g.T, err)
			raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
			require.NoError(g.T, err)
			m.Send(pgwire.AppendGreeting(nil)...)
			m.Close()
		}, routing.Unreachable},
		"rejected at startup": {func(g *harness) {
			g.AcceptStartup().Send(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "full"})...)
		}, routing.Overloaded},
		"closed after the query": {func(g *harness) { m := g.AcceptServer(); m.Expect("Q"); m.Close() }, routing.ConnectionLost},
		"closed within the row":  {func(g *harness) { m := g.AcceptServer(); m.Expect("Q"); m.Send(conntest.Row("v")[:40]...); m.Close() }, routing.ConnectionLost},
		"two rows": {func(g *harness) {
			m := g.AcceptServer()
			m.Expect("Q")
			m.Send(append(conntest.Row("v"), conntest.RowResponse("w")...)...)
		}, routing.ServerError},
		"a row's wrong length, the rest never sent": {func(g *harness) {
			m := g.AcceptServer()
			m.Expect("Q")
			m.Send(conntest.Row("v")[:len(conntest.Row(""))-25]...)
			m.Send('D', 0, 0, 9, 0, 0, 1, 0, 0, 0, 1)
		}, routing.ServerError},
		"noise":     {func(g *harness) { m := g.AcceptServer(); m.Expect("Q"); m.Send([]byte("zzzz\x00")...) }, routing.ServerError},
		"oversized": {func(g *harness) { m := g.AcceptServer(); m.Expect("Q"); m.Send('D', 127, 0, 0, 0) }, routing.ServerError},
		"a fatal error": {func(g *harness) {
			m := g.AcceptServer()
			m.Expect("Q")
			m.Send(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: "72000", Message: "behind"})...)
			m.Close()
		}, routing.Misrouted},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 40)
			c := g.Client()
			if x.want == routing.Unreachable && name == "connection refused" {
				x.act(g)
				c.Send(conntest.ReadQuery("4000")...)
			} else {
				c.Send(conntest.ReadQuery("4000")...)
				x.act(g)
			}
			assert.Equal(t, x.want, (<-g.Router.Finished).Result)
			assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTransactionRollback, "no part of a value reaches the client")
		})
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := newHarness(t, 40)
	c, m := g.serve()
	m.Close()
	g.Eventually(func() bool { return g.idle() == 0 })
	c.Send(conntest.ReadQuery("4000")...)
	m = g.AcceptServer()
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Equal(t, routing.Succeeded, (<-g.Router.Finished).Result)
}

// Regression, on a day of faulty servers: surplus data answered the next attempt of the connection, and so on, 416 times.
func TestSurplusDataClosesOnlyItsConnection(t *testing.T) {
	for name, after := range map[string]func(g *harness, m *conntest.Peer){
		"with the answer": func(g *harness, m *conntest.Peer) {
			m.Send(append(conntest.RowResponse("v"), conntest.RowResponse("stale")...)...)
		},
		"on an idle connection": func(g *harness, m *conntest.Peer) {
			m.Send(conntest.RowResponse("v")...)
			g.settled(1)
			m.Send(conntest.RowResponse("stale")...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 40)
			c := g.Client()
			c.Send(conntest.ReadQuery("4000")...)
			m := g.AcceptServer()
			m.Expect("Q")
			after(g, m)
			c.Expect("TDCZ")
			g.settled(0)
			c.Send(conntest.ReadQuery("4000")...)
			m = g.AcceptServer()
			m.Expect("Q")
			m.Send(conntest.RowResponse("w")...)
			c.Expect("T")
			assert.Equal(t, "w", string(c.Expect("D")[6:]))
		})
	}
}

// A connection that was taken just as its server sent data or closed is not used: nothing of the attempt was sent.
func TestAttemptOnSpoiltConnectionUsesAnother(t *testing.T) {
	for name, spoil := range map[string]func(m *conntest.Peer){
		"bytes": func(m *conntest.Peer) { m.Send(conntest.RowResponse("stale")...) },
		"end":   func(m *conntest.Peer) { m.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 40)
			ended := make(chan front.Event, 1)
			g.pools.options.Post = func(e front.Event) { ended <- e }
			g.Eventually(func() bool { return g.address() != "" })
			dialled, err := net.Dial("tcp", g.Upstream.Addr().String())
			require.NoError(t, err)
			l := &conn{pools: g.pools, pool: g.pools.pool(0), address: g.address(), tcp: dialled.(*net.TCPConn), next: make(chan *front.Attempt, 1),
				reader: pgwire.NewReader(dialled, 4096, 4096)}
			c, err := g.Upstream.Accept()
			require.NoError(t, err)
			spoil(conntest.NewPeer(t, c))
			g.Eventually(func() bool { return tcpconn.Peek(l.tcp) != tcpconn.NoInput })
			s := front.NewHealthCheck(pgwire.AppendQuery(nil, "SELECT 2"))
			l.next <- s
			assert.Nil(t, l.awaitNext())
			m := g.AcceptServer()
			m.Expect("Q")
			m.Send(conntest.RowResponse("w")...)
			assert.Nil(t, (<-ended).(*front.AttemptFinished).Err)
		})
	}
}

// A retry must not be in flight beside the attempt that it replaces.
func TestConnectionClosedBeforeFailureIsPosted(t *testing.T) {
	g := newHarness(t, 40)
	post, m, seen := g.pools.options.Post, make(chan *conntest.Peer, 1), make(chan error, 1)
	g.pools.options.Post = func(e front.Event) {
		_, _, err := (<-m).Reader.Next()
		seen <- err
		post(e)
	}
	g.Client().Send(conntest.ReadQuery("4000")...)
	up := g.AcceptServer()
	up.Expect("Q")
	up.Send(conntest.Message('?', "")...)
	m <- up
	assert.ErrorIs(t, <-seen, io.EOF)
	assert.Equal(t, routing.ServerError, (<-g.Router.Finished).Result, "the server answered")
}

func TestConnectionsBeforeServerRestartAreClosed(t *testing.T) {
	g := newHarness(t, 40)
	_, m := g.serve()
	g.List(g.Upstream.Addr().String(), time.Now().Add(time.Hour).UnixMilli())
	m.ExpectClosed()
	g = newHarness(t, 40)
	_, m = g.serve()
	g.List("127.0.0.1:1", 0)
	m.ExpectClosed() // it moved
}

func TestRemovedServersConnectionsAreNotReused(t *testing.T) {
	g := newHarness(t, 40)
	_, idle := g.serve()
	g.pools.mu.Lock()
	l := g.pools.pools[0].idle[0]
	g.pools.mu.Unlock()
	g.pools.Remove(0)
	idle.ExpectClosed()
	g.pools.SetAddress(0, g.Upstream.Addr().String(), 0)
	l.putBack() // one that was at work meanwhile
	assert.Zero(t, g.idle(), "it is the removed server's")
}
