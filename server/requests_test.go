package server

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
	"dapplerouter/testsupport/conntest"
)

// memoryReleased waits until all reserved memory was released.
func (g *harness) memoryReleased() {
	g.Eventually(func() bool { return g.server.bodies.Reserved() == 0 && g.server.answers.Reserved() == 0 })
}

// Regression, on days of pipelining clients: what stood behind a slow request waited unread until its client was gone; 28 to 190
// requests of a day had no answer.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQueries(3)...)
	servers := map[string]*conntest.Peer{}
	for range 3 { // all three are in flight before any is answered
		m := g.AcceptServer()
		servers[conntest.IDOf(m.Expect("Q"))] = m
	}
	var order []string
	for range 3 {
		<-g.Router.Received
	}
	for id := range servers {
		order = append(order, id)
	}
	last := conntest.IDs.Load()
	for n := last; n > last-3; n-- { // the last first
		servers[strconv.FormatInt(n, 10)].Send(conntest.RowResponse(strconv.FormatInt(n, 10))...)
		<-g.Router.Finished
	}
	for n := last - 2; n <= last; n++ {
		c.Expect("T")
		assert.Equal(t, strconv.FormatInt(n, 10), string(c.Expect("D")[6:]))
		c.Expect("CZ")
	}
	assert.Len(t, order, 3)
	g.memoryReleased()
}

func TestPipelinedReadWaitsForWriteOfItsRow(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(bytes.Join([][]byte{conntest.WriteQuery("a", "60000"), conntest.ReadQueryOf("a", "60000"), conntest.ReadQueryOf("b", "60000")}, nil)...)
	first, other := g.AcceptServer(), g.AcceptServer()
	heard := []string{string(first.Expect("Q")), string(other.Expect("Q"))}
	if strings.HasPrefix(heard[1], "INSERT") {
		first, other = other, first
	}
	assert.Contains(t, strings.Join(heard, ""), "'b'", "the read of another row need not wait")
	other.Send(conntest.RowResponse("b")...)
	assert.Equal(t, routing.Succeeded, (<-g.Router.Finished).Result)
	assert.Len(t, g.Router.Received, 2, "the read of the row that is written has not begun")
	first.Send(conntest.RowResponse("written")...)
	c.Expect("TDCZ")
	first.Expect("Q") // over the connection that became idle last
	first.Send(conntest.RowResponse("a")...)
	c.Expect("T")
	assert.Equal(t, "a", string(c.Expect("D")[6:]))
	c.Expect("CZT")
	assert.Equal(t, "b", string(c.Expect("D")[6:]))
}

func TestPipelinedRequestPastItsDeadlineIsRejectedInOrder(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(append(conntest.WriteQuery("a", "60000"), conntest.ReadQueryOf("a", "20")...)...)
	m := g.AcceptServer()
	m.Expect("Q")
	<-g.Router.Received
	time.Sleep(25 * time.Millisecond) // the second one's time, which runs since it was read
	m.Send(conntest.RowResponse("written")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections)
	assert.Empty(t, g.Router.Received, "nothing of it is forwarded")
}

func TestReadAheadIsBoundedByCount(t *testing.T) {
	g := newHarness(t, 100)
	c := g.Client()
	c.Send(conntest.ReadQueries(maxPipelined + 3)...)
	servers := map[string]*conntest.Peer{}
	for range maxPipelined {
		m := g.AcceptServer()
		servers[conntest.IDOf(m.Expect("Q"))] = m
		<-g.Router.Received
	}
	g.Eventually(func() bool { return g.waitingClients(func(c *client) bool { return !c.mayReadAhead() }) })
	assert.Empty(t, g.Router.Received)
	first := conntest.IDs.Load() - maxPipelined - 2
	m := servers[strconv.FormatInt(first, 10)]
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	<-g.Router.Received // one is answered, one more is read
	m.Expect("Q")
	assert.Empty(t, g.Router.Received)
}

// waitingClients looks at the connections while none of them can go on: their goroutines wait.
func (g *harness) waitingClients(look func(*client) bool) bool {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	for c := range g.server.clients {
		if !look(c) {
			return false
		}
	}
	return true
}

// What is read ahead takes memory of the long messages' budget, however short it is: without memory the client waits.
func TestReadAheadIsBoundedByMemory(t *testing.T) {
	g := newHarness(t, 100, bodyLimit(int64(2*len(conntest.ReadQuery("60000"))+10))) // beside the first: two messages
	c := g.Client()
	c.Send(conntest.ReadQueries(5)...)
	var servers []*conntest.Peer
	for range 3 {
		m := g.AcceptServer()
		m.Expect("Q")
		servers = append(servers, m)
		<-g.Router.Received
	}
	assert.Empty(t, g.Router.Received)
	for _, m := range servers {
		m.Send(conntest.RowResponse("v")...)
	}
	for range 3 {
		c.Expect("TDCZ")
	}
	for _, m := range servers {
		go func() {
			for {
				if _, _, err := m.Reader.Next(); err != nil {
					return
				}
				m.Write(conntest.RowResponse("v"))
			}
		}()
	}
	c.Expect("TDCZTDCZ")
	g.memoryReleased()
}

// An answer that has to wait for the one before it takes memory as well. A read whose answer exceeds the budget may be retried.
func TestWaitingAnswerOverMemoryLimitIsDropped(t *testing.T) {
	g := newHarness(t, 100, answerLimit(8<<10))
	c := g.Client()
	c.Send(append(conntest.ReadQueryOf("a", "60000"), conntest.ReadQueryOf("b", "60000")...)...)
	first, second := g.AcceptServer(), g.AcceptServer()
	if strings.Contains(string(first.Expect("Q")), "'b'") {
		first, second = second, first
		first.Expect("Q")
	} else {
		second.Expect("Q")
	}
	second.Send(conntest.RowResponse(strings.Repeat("v", 20<<10))...)
	assert.Equal(t, routing.Succeeded, (<-g.Router.Finished).Result)
	first.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections)
	g.memoryReleased()
}

// A disconnect cancels all requests of the connection: the core is notified of those in flight, the others never start.
func TestDisconnectCancelsAllPipelinedRequests(t *testing.T) {
	g := newHarness(t, 100)
	c := g.Client()
	c.Send(append(bytes.Join([][]byte{conntest.WriteQuery("a", "60000"), conntest.ReadQueryOf("a", "60000")}, nil), conntest.ReadQueries(2*maxPipelined)...)...)
	begun := map[routing.RequestRef]bool{}
	for range maxPipelined - 1 { // all but the read behind the write
		begun[(<-g.Router.Received).Ref] = true
	}
	c.Close()
	for range maxPipelined - 1 {
		select {
		case left := <-g.Router.Gone:
			assert.True(t, begun[left])
		case <-time.After(10 * time.Second):
			require.Fail(t, "its disconnect is not noticed")
		}
	}
	require.True(t, g.eventuallyGone())
	assert.Empty(t, g.Router.Received)
	g.memoryReleased()
}

// Nothing is taken after what ends a connection, but all that came before it is answered first.
func TestProtocolErrorIsAnsweredInOrder(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(bytes.Join([][]byte{conntest.ReadQuery("60000"), pgwire.AppendQuery(nil, "SELECT 1"), conntest.Message('P', "x"), conntest.Message('S', ""), conntest.Message('?', ""), conntest.ReadQuery("60000")}, nil)...)
	m := g.AcceptServer()
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeSyntaxError)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeFeatureNotSupported)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeProtocolViolation)
	c.ExpectClosed()
	<-g.Router.Received
	assert.Empty(t, g.Router.Received)
}

// A client that has sent Terminate is still owed the answers to its earlier requests.
func TestTerminateWaitsForEarlierAnswers(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(append(conntest.ReadQuery("60000"), conntest.Message(pgwire.TypeTerminate, "")...)...)
	m := g.AcceptServer()
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.ExpectClosed()
}

// A message that has begun while requests are in flight must be complete in time, as any other.
func TestPartialMessageBehindRequestsTimesOutInOrder(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(append(conntest.ReadQuery("60000"), conntest.ReadQuery("60000")[:20]...)...)
	m := g.AcceptServer()
	m.Expect("Q")
	time.Sleep(messageTimeout) // which runs out behind the request
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeIdleSessionTimeout)
	c.ExpectClosed()
}

// What was read ahead when requests begin to be rejected is answered, and the connection ends after it whatever its client sends.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQueries(3)...)
	var servers []*conntest.Peer
	for range 3 {
		m := g.AcceptServer()
		m.Expect("Q")
		servers = append(servers, m)
	}
	g.server.Drain(g.Listener)
	require.NoError(t, <-g.Served)
	g.Served <- nil
	c.Send(conntest.ReadQueries(2)...) // rejected where it is read, else the client finds its connection closed
	for _, m := range servers {
		m.Send(conntest.RowResponse("v")...)
	}
	c.Expect("TDCZTDCZTDCZ")
	for {
		typ, body, err := c.Reader.Next()
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "no reset takes an answer with it")
			break
		}
		require.True(t, typ == 'Z' || typ == 'E' && strings.Contains(string(body), pgwire.CodeCannotConnectNow), "%q %q", typ, body)
	}
	for range 3 {
		<-g.Router.Received
	}
	assert.Empty(t, g.Router.Received)
	assert.True(t, g.server.Wait(10*time.Second))
}

// A panic while a message is taken: what had been read, and the message itself, are answered before the connection ends.
func TestPanicAnswersAllRequestsOfItsConnection(t *testing.T) {
	g := newHarness(t, 40)
	g.DiscardEvents()
	g.server.SetParser(func(body []byte) (pgwire.Statement, error) {
		if bytes.Contains(body, []byte("d=4999")) {
			panic("a fault")
		}
		return pgwire.ParseStatement(body)
	})
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q") // and does not answer
	c.Send(conntest.ReadQuery("4999")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeInternalError)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeInternalError)
	c.ExpectClosed()
}
