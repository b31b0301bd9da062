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

// awaitHalfClose waits until the server has closed its sending side of the connection. It does not read what was sent before.
func awaitHalfClose(t *testing.T, p *conntest.Peer) {
	done := make(chan struct{})
	go func() { defer close(done); tcpconn.AwaitHangup(p.Conn.(*net.TCPConn)) }()
	conntest.WaitClosed(t, "the server does not close its half", done)
}

// Regression test: Clients send their next request as soon as they receive an answer. No connection ended after a shutdown began, and
// requests in flight were lost when the process was killed.
func TestDrainClosesConnectionThatAlwaysHasMoreRequests(t *testing.T) {
	h := newHarness(t, 40)
	h.DiscardEvents()
	forwarded := h.RespondToAll()
	c := h.ConnectClient()
	c.SetDeadline(time.Now().Add(time.Minute))
	writerDone := make(chan struct{})
	go func() { // sends requests without a pause until the connection is closed
		defer close(writerDone)
		for {
			if _, err := c.Write(conntest.ReadQuery("4000")); err != nil {
				return
			}
		}
	}()
	served, refused := int64(0), int64(0)
	readMessage := func() bool {
		typ, body, err := c.Reader.Next()
		if err != nil {
			assert.ErrorIs(t, err, io.EOF, "the connection must not be reset, or answers could be lost")
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
		require.True(t, readMessage())
	}
	h.server.Drain(h.Listener)
	for readMessage() {
	}
	assert.Equal(t, forwarded.Load(), served, "each forwarded statement is answered")
	assert.Equal(t, h.server.RejectedWhileDraining(), refused, "each statement that was read and not forwarded is answered")
	c.Close()
	conntest.WaitClosed(t, "the client can still write", writerDone)
	require.NoError(t, <-h.Served)
	assert.True(t, h.server.Wait(10*time.Second))
	h.Served <- nil
}

// A request that the client sends while the server closes the connection is not forwarded. It does not cause a reset either, because a
// reset could destroy the last answer.
func TestRequestSentDuringCloseIsNeitherForwardedNorReset(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"drain":    func(h *harness) { h.server.Drain(h.Listener) },
		"eviction": func(h *harness) { h.server.evictIdle() },
		"standby":  func(h *harness) { h.server.SetStandby(true, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 40)
			c, _ := h.serve()
			<-h.Router.Received
			h.awaitIdleClient()
			end(h)
			awaitHalfClose(t, c)
			c.Send(conntest.ReadQuery("4000")...)
			c.ExpectClosed() // an orderly end, not a reset
			c.Send(conntest.ReadQuery("4000")...)
			c.ExpectClosed()
			c.Close()
			require.True(t, h.server.Wait(10*time.Second))
			assert.Empty(t, h.Router.Received, "the request is not forwarded")
		})
	}
}

// A connection that is being closed waits for its client to close. A shutdown that begins meanwhile woke it, and it was closed at once:
// bytes of the client that were still unread would have caused a reset, which could destroy the last answer.
func TestShutdownDoesNotCutGracefulCloseShort(t *testing.T) {
	h := newHarness(t, 40)
	h.server.linger = time.Hour
	c, _ := h.serve()
	<-h.Router.Received
	h.awaitIdleClient()
	h.server.evictIdle()
	awaitHalfClose(t, c)
	h.drainUntilRejecting()
	time.Sleep(MaxCloseLinger)
	clients, _, _ := h.Limiter.InUse()
	assert.Equal(t, 1, clients, "the connection is still open")
	began := time.Now()
	h.server.Close()
	require.True(t, h.server.Wait(10*time.Second))
	assert.Less(t, time.Since(began), MaxCloseLinger+wakeSlack)
}

func TestLastAnswerArrivesWhileClientKeepsWriting(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	h.server.Drain(h.Listener)
	upstream.Send(conntest.RowResponse("last value")...)
	awaitHalfClose(t, c)
	c.Send(conntest.ReadQuery("4000")...)
	c.Expect("T")
	assert.Equal(t, "last value", string(c.Expect("D")[6:]))
	c.Expect("CZ")
	c.ExpectClosed()
}

// A client may be sending a request at the moment of its eviction. A request that was received when its connection would end is served
// first. The same holds for an idle timeout and for a shutdown.
func TestRequestPendingAtCloseIsServed(t *testing.T) {
	for name, end := range map[string]func(*client){
		"eviction": func(c *client) { c.evicted.Store(true) },
		"idle":     func(c *client) { c.server.options.IdleTimeout = 0 },
		"drain":    func(c *client) { c.server.stage.Store(draining) },
	} {
		t.Run(name, func(t *testing.T) { testPendingRequestIsServed(t, end) })
	}
}

// unservedConnection connects a client. It returns the client's side and the server's side of the connection, without a goroutine that
// serves it.
func (h *harness) unservedConnection() (*conntest.Peer, *client) {
	l := conntest.Listen(h.T)
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(h.T, err)
	in, err := l.AcceptTCP()
	require.NoError(h.T, err)
	h.T.Cleanup(func() { in.Close() })
	return conntest.NewPeer(h.T, out), &client{server: h.server, tcp: in, firstRequestDeadline: time.Now().Add(time.Minute),
		reader: h.server.newReader(in, readBufferBytes)}
}

// testPendingRequestIsServed lets a connection end while a request is pending on it. The request must be served first.
func testPendingRequestIsServed(t *testing.T, end func(*client)) {
	h := newHarness(t, 40)
	p, c := h.unservedConnection()
	c.answered = true
	p.Send(conntest.ReadQuery("4000")...)
	h.Eventually(func() bool { return tcpconn.Peek(c.tcp) == tcpconn.DataPending }) // received by the system, but not read
	end(c)
	require.NoError(t, c.awaitMessage(), "the pending request is served")
	typ, _, err := c.nextMessage()
	assert.True(t, err == nil && typ == 'Q')
	assert.ErrorIs(t, c.awaitMessage(), errClosedBetweenRequests, "the connection ends after it")
}

// Regression test: If a client had sent more than the server reads ahead, its disconnect was not noticed and its requests were forwarded.
func TestDisconnectNoticedBehindUnreadRequests(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(bytes.Repeat(conntest.ReadQuery("4000"), 3*readBufferBytes/len(conntest.ReadQuery("4000")))...)
	h.AcceptServer().Expect("Q")
	c.Close()
	select {
	case gone := <-h.Router.Gone:
		assert.Equal(t, (<-h.Router.Received).Ref, gone)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the disconnect was not noticed")
	}
	require.True(t, h.awaitNoClients())
	assert.Empty(t, h.Router.Received, "later requests are not forwarded")
}

// awaitNoClients waits until all connections of clients are closed. It returns true.
func (h *harness) awaitNoClients() bool {
	h.Eventually(func() bool { clients, _, _ := h.Limiter.InUse(); return clients == 0 })
	return true
}

// A request that a new connection sends after Serve has returned is answered with an error before the connection ends, so the process does
// not exit without an answer to it.
func TestRequestAfterDrainIsRejected(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	h.drainUntilRejecting()
	c.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeCannotConnectNow)
	c.ExpectClosed()
	c.Close()
	assert.True(t, h.server.Wait(10*time.Second))
	assert.Empty(t, h.Router.Received)
}

func TestCloseEndsConnectionsWithoutRequest(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "half a request": string(conntest.ReadQuery("4000")[:20])} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 40)
			h.server.linger = 0
			c := h.ConnectClient()
			c.Send([]byte(sent)...)
			h.drainUntilRejecting()
			h.server.Close()
			c.ExpectClosed()
			assert.True(t, h.server.Wait(10*time.Second))
		})
	}
}

// A request of which a part was read when its connection would end must be read completely and answered, because the rest may be pending or
// in transit.
func TestRequestPartlyReadBeforeCloseIsReadCompletely(t *testing.T) {
	h := newHarness(t, 40)
	p, c := h.unservedConnection()
	q := conntest.ReadQuery("4000")
	p.Send(q[:20]...)
	_, err := c.reader.WaitForInput()
	require.NoError(t, err)
	p.Send(q[20:]...)
	h.Eventually(func() bool { return tcpconn.Peek(c.tcp) == tcpconn.DataPending })
	h.server.stage.Store(closing)
	typ, _, err := c.nextMessage()
	assert.True(t, err == nil && typ == 'Q', "%v", err)
	c.answered = true
	p.Send(q[:20]...)
	h.Eventually(func() bool { return tcpconn.Peek(c.tcp) == tcpconn.DataPending })
	_, _, err = c.nextMessage()
	assert.ErrorIs(t, err, errClosedBetweenRequests, "a request of which nothing was read is not served; its client sees the close")
	c = &client{server: h.server, tcp: c.tcp, answered: true, reader: h.server.newReader(c.tcp, readBufferBytes)}
	c.tcp.SetReadDeadline(time.Time{})
	_, err = c.reader.WaitForInput()
	require.NoError(t, err)
	h.server.linger = 0
	_, _, err = c.nextMessage()
	assert.ErrorIs(t, err, errClosedBetweenRequests, "the wait for the rest is limited")
}

// A server whose listener has failed still answers the requests on its open connections.
func TestListenerFailureLeavesNoRequestUnanswered(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	h.Listener.Close()
	require.ErrorIs(t, <-h.Served, net.ErrClosed)
	h.Served <- nil
	h.server.Drain(h.Listener)
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.ExpectClosed()
	c.Close()
	assert.True(t, h.server.Wait(10*time.Second))
}

// A shutdown of the core answers requests in flight at once and cancels their attempts.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	h.Core.Post(front.Shutdown{})
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections)
	upstream.ExpectClosed()
	c.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections, "no more requests are accepted")
}

// A disconnect is detected at once, even if earlier bytes of the client are unread and the connection's goroutine is busy.
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
	assert.True(t, q.Disconnected(), "a connection that this side closed counts as disconnected")
}
