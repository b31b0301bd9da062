package server

import (
	"bytes"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/limits"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
	"dapplerouter/testsupport/conntest"
)

func TestStartupAndQueryInOneWrite(t *testing.T) {
	h := newHarness(t, 40)
	c := h.Dial()
	c.Send(append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000")...)...)
	upstream := h.AcceptServer()
	assert.Regexp(t, `SELECT data FROM facts WHERE code = 'k' /\* id=\d+,c=read,d=\d+,cluster=2 \*/`, string(upstream.Expect("Q")))
	value := string(bytes.Repeat([]byte{0, 255}, 200<<10)) // workloads with slow clients have values of 400 KB
	upstream.Send(conntest.RowResponse(value)...)
	c.Expect("RSSSSZT")
	assert.Equal(t, value, string(c.Expect("D")[6:]))
	c.Expect("CZ")
	o := <-h.Router.Finished
	assert.True(t, o.Result == routing.Succeeded && o.RequestFinished && o.Role == routing.Replica)
	c.Send(conntest.ReadQuery("4000")...)
	upstream.ExpectStatement() // on the same connection
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.Send(conntest.Message('X', "")...)
	c.ExpectClosed()
}

func TestMessagesOtherThanSimpleQueries(t *testing.T) {
	h := newHarness(t, 40)
	c := h.Dial()
	c.Send(0, 0, 0, 8, 4, 210, 22, 47)
	n := []byte{0}
	_, err := io.ReadFull(c, n)
	require.True(t, err == nil && n[0] == 'N')
	c.Send(pgwire.AppendStartup(nil, "portal", "crm")...)
	c.Expect("RSSSSZ")
	c.Send(pgwire.AppendQuery(nil, "")...)
	c.Expect("IZ")
	c.Send(bytes.Join([][]byte{conntest.Message('P', "x"), conntest.Message('B', "x"), conntest.Message('S', "")}, nil)...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeFeatureNotSupported)
	c.Send(pgwire.AppendQuery(nil, "SELECT 1")...)
	assert.Contains(t, string(c.Expect("EZ")), pgwire.CodeSyntaxError)
	c.Send(conntest.Message('?', "")...)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeProtocolViolation)
	c.ExpectClosed()
	for _, bad := range [][]byte{{0, 0, 0, 3, 1}, {0, 0, 0, 8, 0, 2, 0, 0}} {
		c := h.Dial()
		c.Send(bad...)
		assert.Contains(t, string(c.Expect("E")), pgwire.CodeProtocolViolation)
		c.ExpectClosed()
	}
	c = h.Dial()
	c.Send(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)...)...)
	c.ExpectClosed()
}

func TestDisconnectNoticedWhileRequestInFlight(t *testing.T) {
	h := newHarness(t, 40)
	c := h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	h.AcceptServer().Expect("Q")
	c.Close()
	assert.Equal(t, (<-h.Router.Received).Ref, <-h.Router.Gone)
}

// awaitIdleClient waits until at least one client's connection is idle.
func (h *harness) awaitIdleClient() {
	h.Eventually(func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		for c := range h.server.clients {
			if c.idleSince.Load() > 0 {
				return true
			}
		}
		return false
	})
}

func TestIdleConnectionsAreEvicted(t *testing.T) {
	h := newHarnessWith(t, limits.DescriptorShares{Total: 4, MaxClients: 3, EvictFrom: 3, Overshoot: 2}) // clients may have three
	c, upstream := h.serve()
	h.awaitIdleClient()
	h.ConnectClient()
	h.ConnectClient()
	assert.True(t, h.Limiter.AdmitServer(h.pools.EvictIdle), "evicts the idle server connection")
	upstream.ExpectClosed()
	assert.True(t, h.Limiter.AdmitServer(h.pools.EvictIdle), "evicts the idle client, because no server connection is idle")
	c.ExpectClosed()
	h = newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 3, EvictFrom: 3, Overshoot: 2})
	silent := h.ConnectClient()
	h.awaitIdleClient()
	for range 3 {
		h.ConnectClient().Send(conntest.ReadQuery("4000")...)
		<-h.Router.Received
	}
	assert.Contains(t, string(silent.Expect("E")), pgwire.CodeTooManyConnections, "a client evicted before its first request gets an error")
	silent.ExpectClosed()
	c = h.ConnectClient()
	c.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeTooManyConnections, "refused, because all clients have a request in flight")
	c.ExpectClosed()
}

// A connection that does not complete a message in time gets an error and is closed. An invalid length is rejected at once.
func TestIncompleteMessagesTimeOut(t *testing.T) {
	hello, half := slices.Clip(pgwire.AppendStartup(nil, "portal", "crm")), conntest.ReadQuery("4000")[:40]
	for name, x := range map[string]struct {
		sent      []byte
		received  string
		code      string
		withQuery bool
	}{
		"nothing":                    {nil, "E", pgwire.CodeIdleSessionTimeout, false},
		"half a startup":             {hello[:9], "E", pgwire.CodeIdleSessionTimeout, false},
		"a startup alone":            {hello, "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"half a query":               {append(hello, half...), "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"half a second query":        {half, "E", pgwire.CodeIdleSessionTimeout, true},
		"only flushes":               {append(hello, conntest.Message('H', "")...), "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"60 MB of a query":           {append(hello, 'Q', 3, 147, 135, 0, 'S'), "RSSSSZE", pgwire.CodeProtocolViolation, false},
		"a negative length":          {append(hello, 'Q', 255, 255, 255, 0, 'S'), "RSSSSZE", pgwire.CodeProtocolViolation, false},
		"a startup of 2 GB":          {[]byte{127, 0, 0, 0}, "E", pgwire.CodeProtocolViolation, false},
		"a length below the minimum": {append(hello, 'Q', 0, 0, 0, 3), "RSSSSZE", pgwire.CodeProtocolViolation, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 40)
			c := h.Dial()
			if x.withQuery {
				c, _ = h.serve()
			}
			start := time.Now()
			c.Send(x.sent...)
			assert.Contains(t, string(c.Expect(x.received)), x.code)
			c.ExpectClosed()
			if x.code == pgwire.CodeProtocolViolation {
				assert.Less(t, time.Since(start), messageTimeout, "rejected without waiting for a timeout")
			}
		})
	}
}

// Regression test: Connections that had sent one request and stayed open held all descriptors for clients, so that no more requests were
// received.
func TestIdleClientsAreEvictedBeforeTheLimit(t *testing.T) {
	h := newHarness(t, 40) // a quarter of 40 is 10
	c, _ := h.serve()
	h.awaitIdleClient()
	for range 9 {
		h.ConnectClient().Send(conntest.ReadQuery("4000")...)
		<-h.Router.Received
	}
	h.ConnectClient()
	c.ExpectClosed()
}

func TestIdleTimeoutClosesConnection(t *testing.T) {
	h := newHarness(t, 40)
	h.server.mu.Lock()
	h.server.options.IdleTimeout = time.Millisecond
	h.server.mu.Unlock()
	c, _ := h.serve()
	c.ExpectClosed()
}

func TestDrainAnswersAcceptedRequests(t *testing.T) {
	h := newHarness(t, 40)
	idle := h.ConnectClient()
	idle.Send(pgwire.AppendQuery(nil, "")...)
	idle.Expect("IZ")
	h.awaitIdleClient()
	busy := h.ConnectClient()
	busy.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	h.server.Drain(h.Listener)
	idle.ExpectClosed()
	idle.Close()
	late := h.ConnectClient()
	late.Send(conntest.ReadQuery("4000")...)
	lateFirst := h.AcceptServer()
	lateFirst.Expect("Q")
	busy.Send(conntest.ReadQuery("4000")...) // sent before the answer, so it is served, concurrently with the first request
	busySecond := h.AcceptServer()
	busySecond.Expect("Q")
	late.Send(conntest.ReadQuery("4000")...)
	lateSecond := h.AcceptServer()
	lateSecond.Expect("Q")
	for _, x := range []struct{ c, first, second *conntest.Peer }{{busy, upstream, busySecond}, {late, lateFirst, lateSecond}} {
		x.first.Send(conntest.RowResponse("v")...)
		x.c.Expect("TDCZ")
		x.second.Send(conntest.RowResponse("v")...)
		x.c.Expect("TDCZ")
		x.c.ExpectClosed()
		x.c.Close()
	}
	require.NoError(t, <-h.Served)
	assert.True(t, h.server.Wait(10*time.Second))
	h.Served <- nil // read by the harness's cleanup
}

// On standby, connections end between requests and new ones are refused. After the standby an increasing share of new connections is
// admitted.
func TestStandbyClosesConnectionsAndRecoveryAdmitsGradually(t *testing.T) {
	h := newHarness(t, 40)
	h.server.SetStandby(false, time.Hour) // has no effect, because the server was not on standby
	idle := h.ConnectClient()
	idle.Send(pgwire.AppendQuery(nil, "")...)
	idle.Expect("IZ")
	h.awaitIdleClient()
	busy := h.ConnectClient()
	busy.Send(conntest.ReadQuery("4000")...)
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	h.server.SetStandby(true, 0)
	idle.ExpectClosed()
	late := h.ConnectClient()
	late.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(late.Expect("E")), pgwire.CodeTooManyConnections)
	upstream.Send(conntest.RowResponse("v")...)
	busy.Expect("TDCZ")
	busy.ExpectClosed()
	h.server.SetStandby(false, time.Hour)
	refused := 0
	for range 80 {
		if h.server.standby.refuses(h.Clock.Now()) {
			refused++
		}
	}
	assert.InDelta(t, 70, refused, 8, "one in eight connections is admitted at first")
	h.server.standby.recovery.Store(1)
	assert.False(t, h.server.standby.refuses(h.Clock.Now()))
	assert.Zero(t, h.server.standby.state.Load(), "all connections are admitted again")
	h.ConnectClient()
}
