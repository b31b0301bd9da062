package server

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
	"dapplerouter/testsupport/conntest"
)

// awaitHalfClose waits until the server's half of a connection has ended, without reading what came before.
func awaitHalfClose(t *testing.T, p *conntest.Peer) {
	done := make(chan struct{})
	go func() { defer close(done); tcpconn.AwaitHangup(p.Conn.(*net.TCPConn)) }()
	conntest.Within(t, "the server does not close its half", done)
}

// Regression, on short days: clients send their next request with the answer to the last, so no connection ended after a shutdown
// began, and requests in flight were lost when the process was killed.
func TestDrainClosesConnectionThatAlwaysHasMoreRequests(t *testing.T) {
	g := newHarness(t, 40)
	g.DiscardEvents()
	asked := g.AnswerAll()
	c := g.Client()
	c.SetDeadline(time.Now().Add(time.Minute))
	gone := make(chan struct{})
	go func() { // sends without end, and never pauses
		defer close(gone)
		for {
			if _, err := c.Write(conntest.ReadQuery("4000")); err != nil {
				return
			}
		}
	}()
	served, refused := int64(0), int64(0)
	hear := func() bool {
		typ, body, err := c.Reader.Next()
		if err != nil {
			assert.ErrorIs(t, err, io.EOF, "no reset takes an answer with it")
			return false
		}
		switch typ {
		case 'D':
			served++
		case 'E':
			assert.Contains(t, string(body), pgwire.CodeCannotConnectNow)
			refused++
		}
		return true
	}
	for served < 50 {
		require.True(t, hear())
	}
	g.server.Drain(g.Listener)
	for hear() {
	}
	assert.Equal(t, asked.Load(), served, "each statement that a server received is answered")
	assert.Equal(t, g.server.RejectedWhileDraining(), refused, "and so is what was read and not forwarded")
	c.Close()
	conntest.Within(t, "the client writes on", gone)
	require.NoError(t, <-g.Served)
	assert.True(t, g.server.Wait(10*time.Second))
	g.Served <- nil
}

// A request that crosses the server's close is neither taken nor answered with a reset, which could overtake the last answer.
func TestRequestThatCrossesCloseIsNeitherTakenNorReset(t *testing.T) {
	for name, end := range map[string]func(g *harness){
		"stop":     func(g *harness) { g.server.Drain(g.Listener) },
		"eviction": func(g *harness) { g.server.evictIdle() },
		"rest":     func(g *harness) { g.server.SetStandby(true, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 40)
			c, _ := g.serve()
			<-g.Router.Received
			g.idleClient()
			end(g)
			awaitHalfClose(t, c)
			c.Send(conntest.ReadQuery("4000")...)
			c.ExpectClosed() // again and again: no reset
			c.Send(conntest.ReadQuery("4000")...)
			c.ExpectClosed()
			c.Close()
			require.True(t, g.server.Wait(10*time.Second))
			assert.Empty(t, g.Router.Received, "nothing of it is forwarded")
		})
	}
}

func TestLastAnswerArrivesWhileClientKeepsWriting(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	g.server.Drain(g.Listener)
	m.Send(conntest.RowResponse("the last")...)
	awaitHalfClose(t, c)
	c.Send(conntest.ReadQuery("4000")...)
	c.Expect("T")
	assert.Equal(t, "the last", string(c.Expect("D")[6:]))
	c.Expect("CZ")
	c.ExpectClosed()
}

// An evicted client may be sending just then: what has come in when its connection would end is served first. The same holds for an
// idle timeout and for a shutdown.
func TestRequestPendingAtCloseIsServed(t *testing.T) {
	for name, end := range map[string]func(*client){
		"eviction": func(c *client) { c.evicted.Store(true) },
		"idle":     func(c *client) { c.server.options.IdleTimeout = 0 },
		"stop":     func(c *client) { c.server.stage.Store(draining) },
	} {
		t.Run(name, func(t *testing.T) { sending(t, end) })
	}
}

// pair returns a client and the server's side of its connection, which no goroutine serves.
func (g *harness) pair() (*conntest.Peer, *client) {
	l := conntest.Listen(g.T)
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(g.T, err)
	in, err := l.AcceptTCP()
	require.NoError(g.T, err)
	g.T.Cleanup(func() { in.Close() })
	return conntest.NewPeer(g.T, out), &client{server: g.server, tcp: in, startBy: time.Now().Add(time.Minute), reader: g.server.newReader(in, readBuffer)}
}

func sending(t *testing.T, end func(*client)) {
	g := newHarness(t, 40)
	p, c := g.pair()
	c.answered = true
	p.Send(conntest.ReadQuery("4000")...)
	g.Eventually(func() bool { return tcpconn.Peek(c.tcp) == tcpconn.DataPending }) // and nobody has read it
	end(c)
	require.NoError(t, c.awaitMessage(), "it is served")
	typ, _, err := c.nextMessage()
	assert.True(t, err == nil && typ == 'Q')
	assert.ErrorIs(t, c.awaitMessage(), errDraining, "and then the connection ends")
}

// Regression: the disconnect of a client that had sent more than is read ahead was not noticed, and its requests were forwarded.
func TestDisconnectNoticedBehindUnreadRequests(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(bytes.Repeat(conntest.ReadQuery("4000"), 3*readBuffer/len(conntest.ReadQuery("4000")))...)
	g.AcceptServer().Expect("Q")
	c.Close()
	select {
	case left := <-g.Router.Gone:
		assert.Equal(t, (<-g.Router.Received).Ref, left)
	case <-time.After(10 * time.Second):
		require.Fail(t, "its disconnect is not noticed")
	}
	require.True(t, g.eventuallyGone())
	assert.Empty(t, g.Router.Received, "what it sent later is not taken")
}

func (g *harness) eventuallyGone() bool {
	g.Eventually(func() bool { clients, _, _ := g.Limiter.InUse(); return clients == 0 })
	return true
}

// The process must not exit before the first request of a new connection is answered.
func TestRequestAfterDrainIsRejected(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	g.server.Drain(g.Listener)
	require.NoError(t, <-g.Served) // no more connections are accepted, and requests are rejected
	g.Served <- nil
	c.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeCannotConnectNow)
	c.ExpectClosed()
	c.Close()
	assert.True(t, g.server.Wait(10*time.Second))
	assert.Empty(t, g.Router.Received)
}

func TestCloseEndsConnectionsWithoutRequest(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "half a request": string(conntest.ReadQuery("4000")[:20])} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 40)
			g.server.linger = 0
			c := g.Client()
			c.Send([]byte(sent)...)
			g.server.Drain(g.Listener)
			require.NoError(t, <-g.Served)
			g.Served <- nil
			g.server.Close()
			c.ExpectClosed()
			assert.True(t, g.server.Wait(10*time.Second))
		})
	}
}

// The rest of a request that was partly read when its connection would end is in the system or on its way: it is owed an answer.
func TestRequestPartlyReadBeforeCloseIsTaken(t *testing.T) {
	g := newHarness(t, 40)
	p, c := g.pair()
	q := conntest.ReadQuery("4000")
	p.Send(q[:20]...)
	_, err := c.reader.WaitForInput()
	require.NoError(t, err)
	p.Send(q[20:]...)
	g.Eventually(func() bool { return tcpconn.Peek(c.tcp) == tcpconn.DataPending })
	g.server.stage.Store(closing)
	typ, _, err := c.nextMessage()
	assert.True(t, err == nil && typ == 'Q', "%v", err)
	c.answered = true
	p.Send(q[:20]...)
	g.Eventually(func() bool { return tcpconn.Peek(c.tcp) == tcpconn.DataPending })
	_, _, err = c.nextMessage()
	assert.ErrorIs(t, err, errDraining, "a request that was not read was not taken, as its client sees")
	c = &client{server: g.server, tcp: c.tcp, answered: true, reader: g.server.newReader(c.tcp, readBuffer)}
	c.tcp.SetReadDeadline(time.Time{})
	_, err = c.reader.WaitForInput()
	require.NoError(t, err)
	g.server.linger = 0
	_, _, err = c.nextMessage()
	assert.ErrorIs(t, err, errDraining, "the rest is awaited, but not for long")
}

// A server that can no longer accept connections answers the clients that it has.
func TestListenerFailureLeavesNoRequestUnanswered(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	g.Listener.Close()
	require.ErrorIs(t, <-g.Served, net.ErrClosed)
	g.Served <- nil
	g.server.Drain(g.Listener)
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.ExpectClosed()
	c.Close()
	assert.True(t, g.server.Wait(10*time.Second))
}

// A shutdown answers requests in flight at once, and cancels their attempts at the servers.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	g.Core.Post(front.Shutdown{})
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections)
	m.ExpectClosed()
	c.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections, "no request is accepted any more")
}

// A disconnect is seen at once, though what the client sent before is unread and the connection's goroutine is busy.
func TestPeerMonitorSeesDisconnectBehindUnreadData(t *testing.T) {
	l := conntest.Listen(t)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.AcceptTCP()
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	q := (&request{client: &client{tcp: conn, monitor: tcpconn.NewPeerMonitor(raw)}}).Connection()
	_, err = c.Write(conntest.ReadQuery("4000"))
	require.NoError(t, err)
	assert.False(t, q.Disconnected())
	c.Close()
	require.Eventually(t, q.Disconnected, 5*time.Second, time.Millisecond)
	conn.Close()
	assert.True(t, q.Disconnected(), "a connection that was closed here counts as disconnected")
}
