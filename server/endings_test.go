package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
	"dapplerouter/testsupport/conntest"
)

// hungUpAt waits until the front's half of a connection has ended, without reading what came before.
func hungUpAt(t *testing.T, p *conntest.Peer) {
	done := make(chan struct{})
	go func() { defer close(done); tcpconn.AwaitHangup(p.Conn.(*net.TCPConn)) }()
	conntest.Within(t, "the front's half does not end", done)
}

// Short days, ten seeds of twelve: clients send their next request with the answer to the last, so none was ever let go after
// a stop, and what was out when the front was ended by force was lost.
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
	assert.Equal(t, asked.Load(), served, "whatever a member was asked is answered")
	assert.Equal(t, g.server.RejectedWhileDraining(), refused, "and so is what was read and not sent on")
	c.Close()
	conntest.Within(t, "the client writes on", gone)
	require.NoError(t, <-g.Served)
	assert.True(t, g.server.Wait(10*time.Second))
	g.Served <- nil
}

// What crosses the front's goodbye is neither taken nor answered with a reset, which could overtake the last answer.
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
			g.resting()
			end(g)
			hungUpAt(t, c)
			c.Send(conntest.ReadQuery("4000")...)
			c.ExpectClosed() // again and again: no reset
			c.Send(conntest.ReadQuery("4000")...)
			c.ExpectClosed()
			c.Close()
			require.True(t, g.server.Wait(10*time.Second))
			assert.Empty(t, g.Router.Received, "nothing of it is sent on")
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
	hungUpAt(t, c)
	c.Send(conntest.ReadQuery("4000")...)
	c.Expect("T")
	assert.Equal(t, "the last", string(c.Expect("D")[6:]))
	c.Expect("CZ")
	c.ExpectClosed()
}

// The client chosen to make way may be sending just then: what has come in when its connection would end is served first. So
// it is where the client has rested for too long.
func TestRequestPendingAtCloseIsServed(t *testing.T) {
	for name, end := range map[string]func(*client){
		"eviction": func(c *client) { c.evicted.Store(true) },
		"idle":     func(c *client) { c.server.options.IdleTimeout = 0 },
		"stop":     func(c *client) { c.server.stage.Store(draining) },
	} {
		t.Run(name, func(t *testing.T) { sending(t, end) })
	}
}

// pair is a client and the front's side of its connection, which no goroutine serves.
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
	assert.ErrorIs(t, c.awaitMessage(), errDraining, "and then it goes")
}

// Of a client that had sent more than is read ahead nobody saw that it was gone, and its requests went on.
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
		require.Fail(t, "its departure is not noticed")
	}
	require.True(t, g.eventuallyGone())
	assert.Empty(t, g.Router.Received, "what it sent behind is not taken")
}

func (g *harness) eventuallyGone() bool {
	g.Eventually(func() bool { clients, _, _ := g.Limiter.InUse(); return clients == 0 })
	return true
}

// Eight newcomers that said nothing held up all others for as long as they were waited for.
func TestSlowRefusalsDoNotDelayOthers(t *testing.T) {
	g := newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 1, EvictFrom: 1, Overshoot: 0})
	g.server.linger = time.Hour
	g.Client().Send(conntest.ReadQuery("4000")...)
	<-g.Router.Received
	var slow []*conntest.Peer
	for range 3 * maxRefusals {
		slow = append(slow, g.Dial())
	}
	c := g.Dial()
	c.Send(append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000")...)...)
	assert.Contains(t, string(c.Expect("RSSSSZE")), pgwire.CodeTooManyConnections)
	slow[0].Read(make([]byte, 1)) // cut off
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	assert.LessOrEqual(t, len(g.server.refusals.oldest), maxRefusals+1, "they hold a bounded number of descriptors")
}

// What was read is owed an answer: so is a second request that came with the first of a newcomer for whom there is no room.
func TestRefusedConnectionGetsErrorForEachPipelinedRequest(t *testing.T) {
	g := newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 1, EvictFrom: 1, Overshoot: 0})
	g.Client().Send(conntest.ReadQuery("4000")...)
	<-g.Router.Received
	c := g.Dial()
	part := conntest.ReadQuery("4000")[:9] // the beginning of one more, whose rest never comes
	c.Send(bytes.Join([][]byte{pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000"), conntest.ReadQuery("3000"), part}, nil)...)
	c.Expect("RSSSSZEE")
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "it ends in an ordinary way")
}

// The process must not end over a newcomer's first request, nor over its final answer.
func TestRequestAfterDrainIsRejected(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	g.server.Drain(g.Listener)
	require.NoError(t, <-g.Served) // newcomers are over, and the server refuses
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

// Of a request that was read in half when its connection would end, the rest is in the system or on its way: it is owed an answer.
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
	assert.ErrorIs(t, err, errDraining, "of one that was not read the client knows that it was not taken")
	c = &client{server: g.server, tcp: c.tcp, answered: true, reader: g.server.newReader(c.tcp, readBuffer)}
	c.tcp.SetReadDeadline(time.Time{})
	_, err = c.reader.WaitForInput()
	require.NoError(t, err)
	g.server.linger = 0
	_, _, err = c.nextMessage()
	assert.ErrorIs(t, err, errDraining, "the rest is waited for, but not long")
}

// A front that can no longer accept clients answers those that it has.
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

// A shutdown gives what is still out its answer at once, and takes back what a member has of it.
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
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections, "nothing is taken any more")
}

// Long messages share a part of the memory. One that finds none is told so and comes again; what was held is given back, however its
// connection ends.
func TestLongQueryOverMemoryLimitIsRejected(t *testing.T) {
	g := newHarness(t, 60)
	g.DiscardEvents()
	g.AnswerAll()
	g.server.bodies = limits.NewMemory(300 << 10)
	held := func() int64 { return g.server.bodies.Reserved() }
	long := pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = '"+strings.Repeat("k", 200<<10)+"' /* id=long,c=read,d=4000,cluster=2 */")
	first, second, small := g.Client(), g.Client(), g.Client()
	first.Send(long[:len(long)-1]...)
	g.Eventually(func() bool { return held() > 200<<10 })
	second.Send(long...)
	assert.Contains(t, string(second.Expect("E")), pgwire.CodeTooManyConnections)
	second.ExpectClosed()
	small.Send(conntest.ReadQuery("4000")...)
	small.Expect("TDCZ")
	first.Send(long[len(long)-1])
	first.Expect("TDCZ")
	g.Eventually(func() bool { return held() == 0 })
	third := g.Client()
	third.Send(long[:len(long)-1]...)
	g.Eventually(func() bool { return held() > 200<<10 })
	third.Close()
	g.Eventually(func() bool { return held() == 0 })
}

// A fault at one client ends that one connection, whatever it is.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	g := newHarness(t, 60)
	g.DiscardEvents()
	g.AnswerAll()
	good := g.Client()
	for i, bad := range [][]byte{
		append(pgwire.AppendStartup(nil, "portal", "crm"), 'Q', 127, 255, 255, 255),
		append(pgwire.AppendStartup(nil, "portal", "crm"), pgwire.AppendQuery(nil, "SELECT \x00 1")...),
		append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.Message('Z', "I")...),
		{0, 0, 40, 0}, {0, 0, 0, 4}, bytes.Repeat([]byte{'x'}, 9000),
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			b := g.Dial()
			b.Send(bad...)
			for {
				typ, body, err := b.Reader.Next()
				if err != nil {
					require.Fail(t, "it ends untold", err)
				}
				if typ == 'E' {
					assert.Contains(t, string(body), pgwire.CodeProtocolViolation)
					break
				}
			}
			b.ExpectClosed()
			good.Send(conntest.ReadQuery("4000")...)
			good.Expect("TDCZ")
		})
	}
}

// Whoever asks sees at once that a client has closed, though what it sent before lies unread and its connection is at something else.
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
	assert.True(t, q.Disconnected(), "one whose connection is closed here has left too")
}
