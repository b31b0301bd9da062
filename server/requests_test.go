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

// awaitMemoryReleased waits until all reserved memory is released.
func (h *harness) awaitMemoryReleased() {
	h.Eventually(func() bool { return h.server.messageMemory.Reserved() == 0 && h.server.answerMemory.Reserved() == 0 })
}

// Regression test: Requests that a client pipelined after a slow one stayed unread until the client had disconnected. On days with
// pipelining clients, 28 to 190 requests a day got no answer.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQueries(3)...)
	servers := map[string]*conntest.Peer{}
	for range 3 { // all three are in flight before any is answered
		upstream := h.AcceptServer()
		servers[conntest.RequestIDOf(upstream.Expect("Q"))] = upstream
	}
	var order []string
	for range 3 {
		<-h.Router.Received
	}
	for id := range servers {
		order = append(order, id)
	}
	last := conntest.LastRequestID.Load()
	for n := last; n > last-3; n-- { // answers the last request first
		servers[strconv.FormatInt(n, 10)].Send(conntest.RowResponse(strconv.FormatInt(n, 10))...)
		<-h.Router.Finished
	}
	for n := last - 2; n <= last; n++ {
		c.Expect("T")
		assert.Equal(t, strconv.FormatInt(n, 10), string(c.Expect("D")[6:]))
		c.Expect("CZ")
	}
	assert.Len(t, order, 3)
	h.awaitMemoryReleased()
}

func TestPipelinedReadWaitsForWriteOfItsRow(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(bytes.Join([][]byte{conntest.WriteQuery("a", "60000"), conntest.ReadQueryOf("a", "60000"), conntest.ReadQueryOf("b", "60000")}, nil)...)
	first, other := h.AcceptServer(), h.AcceptServer()
	heard := []string{string(first.Expect("Q")), string(other.Expect("Q"))}
	if strings.HasPrefix(heard[1], "INSERT") {
		first, other = other, first
	}
	assert.Contains(t, strings.Join(heard, ""), "'b'", "the read of another row does not wait")
	other.Send(conntest.RowResponse("b")...)
	assert.Equal(t, routing.Succeeded, (<-h.Router.Finished).Result)
	assert.Len(t, h.Router.Received, 2, "the read of the written row is not started yet")
	first.Send(conntest.RowResponse("written")...)
	c.Expect("TDCZ")
	first.ExpectStatement() // on the connection that became idle last
	first.Send(conntest.RowResponse("a")...)
	c.Expect("T")
	assert.Equal(t, "a", string(c.Expect("D")[6:]))
	c.Expect("CZT")
	assert.Equal(t, "b", string(c.Expect("D")[6:]))
}

func TestPipelinedRequestPastItsDeadlineIsRejectedInOrder(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(append(conntest.WriteQuery("a", "60000"), conntest.ReadQueryOf("a", "20")...)...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	<-h.Router.Received
	time.Sleep(25 * time.Millisecond) // exceeds the second request's deadline, which counts from when the request was read
	upstream.Send(conntest.RowResponse("written")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections)
	assert.Empty(t, h.Router.Received, "the late request is not forwarded")
}

func TestReadAheadIsBoundedByCount(t *testing.T) {
	h := newHarness(t, 100)
	c := h.ConnectClient()
	c.Send(conntest.ReadQueries(maxPipelined + 3)...)
	servers := map[string]*conntest.Peer{}
	for range maxPipelined {
		upstream := h.AcceptServer()
		servers[conntest.RequestIDOf(upstream.Expect("Q"))] = upstream
		<-h.Router.Received
	}
	h.Eventually(func() bool { return h.allClients(func(c *client) bool { return !c.mayReadAhead() }) })
	assert.Empty(t, h.Router.Received)
	first := conntest.LastRequestID.Load() - maxPipelined - 2
	upstream := servers[strconv.FormatInt(first, 10)]
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	<-h.Router.Received // one request is answered, so one more is read
	upstream.Expect("Q")
	assert.Empty(t, h.Router.Received)
}

// allClients reports whether a condition holds for all connections of clients. The connections' goroutines must be waiting meanwhile.
func (h *harness) allClients(condition func(*client) bool) bool {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	for c := range h.server.clients {
		if !condition(c) {
			return false
		}
	}
	return true
}

// Requests that are read ahead reserve memory from the budget for long messages, however short they are. If the budget is exhausted, the
// client has to wait.
func TestReadAheadIsBoundedByMemory(t *testing.T) {
	h := newHarness(t, 100, messageMemoryLimit(int64(2*len(conntest.ReadQuery("60000"))+10))) // suffices for two messages besides the first
	c := h.ConnectClient()
	c.Send(conntest.ReadQueries(5)...)
	var servers []*conntest.Peer
	for range 3 {
		upstream := h.AcceptServer()
		upstream.Expect("Q")
		servers = append(servers, upstream)
		<-h.Router.Received
	}
	assert.Empty(t, h.Router.Received)
	for _, upstream := range servers {
		upstream.Send(conntest.RowResponse("v")...)
	}
	for range 3 {
		c.Expect("TDCZ")
	}
	for _, upstream := range servers {
		go upstream.AnswerAll(func() {})
	}
	c.Expect("TDCZTDCZ")
	h.awaitMemoryReleased()
}

// An answer that has to wait for an earlier one reserves memory as well. A read whose answer exceeds the budget is rejected and may be
// retried.
func TestWaitingAnswerOverMemoryLimitIsDropped(t *testing.T) {
	h := newHarness(t, 100, answerMemoryLimit(8<<10))
	c := h.ConnectClient()
	c.Send(append(conntest.ReadQueryOf("a", "60000"), conntest.ReadQueryOf("b", "60000")...)...)
	first, second := h.AcceptServer(), h.AcceptServer()
	if strings.Contains(string(first.Expect("Q")), "'b'") {
		first, second = second, first
		first.Expect("Q")
	} else {
		second.Expect("Q")
	}
	second.Send(conntest.RowResponse(strings.Repeat("v", 20<<10))...)
	assert.Equal(t, routing.Succeeded, (<-h.Router.Finished).Result)
	first.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeTooManyConnections)
	h.awaitMemoryReleased()
}

// A disconnect cancels all requests of the connection. The core is notified of those in flight, and the others are never started.
func TestDisconnectCancelsAllPipelinedRequests(t *testing.T) {
	h := newHarness(t, 100)
	c := h.ConnectClient()
	c.Send(append(bytes.Join([][]byte{conntest.WriteQuery("a", "60000"), conntest.ReadQueryOf("a", "60000")}, nil), conntest.ReadQueries(2*maxPipelined)...)...)
	started := map[routing.RequestRef]bool{}
	for range maxPipelined - 1 { // all except the read that waits for the write
		started[(<-h.Router.Received).Ref] = true
	}
	c.Close()
	for range maxPipelined - 1 {
		select {
		case gone := <-h.Router.Gone:
			assert.True(t, started[gone])
		case <-time.After(10 * time.Second):
			require.Fail(t, "the disconnect was not noticed")
		}
	}
	require.True(t, h.awaitNoClients())
	assert.Empty(t, h.Router.Received)
	h.awaitMemoryReleased()
}

// A protocol error ends its connection. All earlier requests are answered first, and later ones are not read.
func TestProtocolErrorIsAnsweredInOrder(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(bytes.Join([][]byte{conntest.ReadQuery("60000"), pgwire.AppendQuery(nil, "SELECT 1"), conntest.Message('P', "x"), conntest.Message('S', ""), conntest.Message('?', ""), conntest.ReadQuery("60000")}, nil)...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeSyntaxError)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeFeatureNotSupported)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeProtocolViolation)
	c.ExpectClosed()
	<-h.Router.Received
	assert.Empty(t, h.Router.Received)
}

// A client that has sent Terminate still receives the answers to its earlier requests.
func TestTerminateWaitsForEarlierAnswers(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(append(conntest.ReadQuery("60000"), conntest.Message(pgwire.TypeTerminate, "")...)...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.ExpectClosed()
}

// A message that is partly received while requests are in flight must be completed within the message timeout, like any other.
func TestPartialMessageBehindRequestsTimesOutInOrder(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(append(conntest.ReadQuery("60000"), conntest.ReadQuery("60000")[:20]...)...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	time.Sleep(messageTimeout) // passes while the request is in flight
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeIdleSessionTimeout)
	c.ExpectClosed()
}

// Requests that were read ahead before the server begins to reject requests are answered. The connection ends after them, even if its
// client sends more.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQueries(3)...)
	var servers []*conntest.Peer
	for range 3 {
		upstream := h.AcceptServer()
		upstream.Expect("Q")
		servers = append(servers, upstream)
	}
	h.drainUntilRejecting()
	c.Send(conntest.ReadQueries(2)...) // rejected if they are read; otherwise the client finds its connection closed
	for _, upstream := range servers {
		upstream.Send(conntest.RowResponse("v")...)
	}
	c.Expect("TDCZTDCZTDCZ")
	for {
		typ, body, err := c.Reader.Next()
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "the connection must not be reset, or answers could be lost")
			break
		}
		require.True(t, typ == 'Z' || typ == 'E' && strings.Contains(string(body), pgwire.CodeCannotConnectNow), "%q %q", typ, body)
	}
	for range 3 {
		<-h.Router.Received
	}
	assert.Empty(t, h.Router.Received)
	assert.True(t, h.server.Wait(10*time.Second))
}

// Regression test: A request that arrived behind a request in flight once the server rejects requests lay unread until that was answered,
// and then its client found the connection closed. It is read, and rejected in its turn.
func TestRequestBehindRequestInFlightIsRejectedAfterDrain(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	<-h.Router.Received
	h.drainUntilRejecting()
	c.Send(conntest.ReadQueries(2)...)
	h.Eventually(func() bool { return h.server.RejectedWhileDraining() == 2 })
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	for range 2 {
		assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeCannotConnectNow)
	}
	c.ExpectClosed()
	assert.True(t, h.server.Wait(10*time.Second))
	assert.Empty(t, h.Router.Received)
}

// If handling a message panics, all requests that were read, and the message itself, are answered before the connection ends.
func TestPanicAnswersAllRequestsOfItsConnection(t *testing.T) {
	h := newHarness(t, 40)
	h.DiscardEvents()
	h.server.SetParser(func(body []byte) (pgwire.Statement, error) {
		if bytes.Contains(body, []byte("d=4999")) {
			panic("injected fault")
		}
		return pgwire.ParseStatement(body)
	})
	c := h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q") // the server does not answer it
	c.Send(conntest.ReadQuery("4999")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeInternalError)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeInternalError)
	c.ExpectClosed()
}
