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
	g := newHarness(t, 40)
	c := g.Dial()
	c.Send(append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000")...)...)
	m := g.AcceptServer()
	assert.Regexp(t, `SELECT data FROM facts WHERE code = 'k' /\* id=\d+,c=read,d=\d+,cluster=2 \*/`, string(m.Expect("Q")))
	value := string(bytes.Repeat([]byte{0, 255}, 200<<10)) // days of slow clients have values of 400 KB
	m.Send(conntest.RowResponse(value)...)
	c.Expect("RSSSSZT")
	assert.Equal(t, value, string(c.Expect("D")[6:]))
	c.Expect("CZ")
	o := <-g.Router.Finished
	assert.True(t, o.Result == routing.Succeeded && o.RequestFinished && o.Role == routing.Replica)
	c.Send(conntest.ReadQuery("4000")...)
	m.Expect("Q") // over the same connection
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.Send(conntest.Message('X', "")...)
	c.ExpectClosed()
}

func TestMessagesOtherThanSimpleQueries(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Dial()
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
		c := g.Dial()
		c.Send(bad...)
		assert.Contains(t, string(c.Expect("E")), pgwire.CodeProtocolViolation)
		c.ExpectClosed()
	}
	c = g.Dial()
	c.Send(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)...)...)
	c.ExpectClosed()
}

func TestDisconnectNoticedWhileRequestInFlight(t *testing.T) {
	g := newHarness(t, 40)
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	g.AcceptServer().Expect("Q")
	c.Close()
	assert.Equal(t, (<-g.Router.Received).Ref, <-g.Router.Gone)
}

// idleClient waits until a client's connection is idle.
func (g *harness) idleClient() {
	g.Eventually(func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		for c := range g.server.clients {
			if c.idleSince.Load() > 0 {
				return true
			}
		}
		return false
	})
}

func TestIdleConnectionsAreEvicted(t *testing.T) {
	g := newHarnessWith(t, limits.DescriptorShares{Total: 4, MaxClients: 3, EvictFrom: 3, Overshoot: 2}) // three for clients
	c, m := g.serve()
	g.idleClient()
	g.Client()
	g.Client()
	assert.True(t, g.Limiter.AdmitServer(g.pools.EvictIdle), "a connection to another server")
	m.ExpectClosed()
	assert.True(t, g.Limiter.AdmitServer(g.pools.EvictIdle), "no server connection is idle, but a client is")
	c.ExpectClosed()
	g = newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 3, EvictFrom: 3, Overshoot: 2})
	silent := g.Client()
	g.idleClient()
	for range 3 {
		g.Client().Send(conntest.ReadQuery("4000")...)
		<-g.Router.Received
	}
	assert.Contains(t, string(silent.Expect("E")), pgwire.CodeTooManyConnections, "it had sent no request")
	silent.ExpectClosed()
	c = g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(c.Expect("E")), pgwire.CodeTooManyConnections, "all have a request in flight")
	c.ExpectClosed()
}

// A connection without a complete message in time gets an error and is closed; an impossible length is an error at once.
func TestIncompleteMessagesTimeOut(t *testing.T) {
	hello, half := slices.Clip(pgwire.AppendStartup(nil, "portal", "crm")), conntest.ReadQuery("4000")[:40]
	for name, x := range map[string]struct {
		sent      []byte
		heard     string
		code      string
		withQuery bool
	}{
		"nothing":                {nil, "E", pgwire.CodeIdleSessionTimeout, false},
		"half a startup":         {hello[:9], "E", pgwire.CodeIdleSessionTimeout, false},
		"a startup alone":        {hello, "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"half a query":           {append(hello, half...), "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"half a second query":    {half, "E", pgwire.CodeIdleSessionTimeout, true},
		"only flushes":           {append(hello, conntest.Message('H', "")...), "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"60 MB of a query":       {append(hello, 'Q', 3, 147, 135, 0, 'S'), "RSSSSZE", pgwire.CodeProtocolViolation, false},
		"a negative length":      {append(hello, 'Q', 255, 255, 255, 0, 'S'), "RSSSSZE", pgwire.CodeProtocolViolation, false},
		"a startup of 2 GB":      {[]byte{127, 0, 0, 0}, "E", pgwire.CodeProtocolViolation, false},
		"a length of too little": {append(hello, 'Q', 0, 0, 0, 3), "RSSSSZE", pgwire.CodeProtocolViolation, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHarness(t, 40)
			c := g.Dial()
			if x.withQuery {
				c, _ = g.serve()
			}
			from := time.Now()
			c.Send(x.sent...)
			assert.Contains(t, string(c.Expect(x.heard)), x.code)
			c.ExpectClosed()
			if x.code == pgwire.CodeProtocolViolation {
				assert.Less(t, time.Since(from), messageTimeout, "it does not wait for a timeout")
			}
		})
	}
}

// Regression, on a recorded day: connections that had sent one request held all descriptors of clients, and no request came in.
func TestIdleClientsAreEvictedBeforeTheLimit(t *testing.T) {
	g := newHarness(t, 40) // a quarter is 10
	c, _ := g.serve()
	g.idleClient()
	for range 9 {
		g.Client().Send(conntest.ReadQuery("4000")...)
		<-g.Router.Received
	}
	g.Client()
	c.ExpectClosed()
}

func TestIdleTimeoutClosesConnection(t *testing.T) {
	g := newHarness(t, 40)
	g.server.mu.Lock()
	g.server.options.IdleTimeout = time.Millisecond
	g.server.mu.Unlock()
	c, _ := g.serve()
	c.ExpectClosed()
}

func TestDrainAnswersAcceptedRequests(t *testing.T) {
	g := newHarness(t, 40)
	idle := g.Client()
	idle.Send(pgwire.AppendQuery(nil, "")...)
	idle.Expect("IZ")
	g.idleClient()
	busy := g.Client()
	busy.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	g.server.Drain(g.Listener)
	idle.ExpectClosed()
	idle.Close()
	late := g.Client()
	late.Send(conntest.ReadQuery("4000")...)
	second := g.AcceptServer()
	second.Expect("Q")
	busy.Send(conntest.ReadQuery("4000")...) // before the answer: it is taken, and runs beside the one before
	besideBusy := g.AcceptServer()
	besideBusy.Expect("Q")
	late.Send(conntest.ReadQuery("4000")...)
	besideLate := g.AcceptServer()
	besideLate.Expect("Q")
	for _, x := range []struct{ c, first, beside *conntest.Peer }{{busy, m, besideBusy}, {late, second, besideLate}} {
		x.first.Send(conntest.RowResponse("v")...)
		x.c.Expect("TDCZ")
		x.beside.Send(conntest.RowResponse("v")...)
		x.c.Expect("TDCZ")
		x.c.ExpectClosed()
		x.c.Close()
	}
	require.NoError(t, <-g.Served)
	assert.True(t, g.server.Wait(10*time.Second))
	g.Served <- nil // for the clean-up
}

// On standby, connections end between requests and new ones are refused; after the return a rising part of them is admitted.
func TestStandbyClosesConnectionsAndRecoveryAdmitsGradually(t *testing.T) {
	g := newHarness(t, 40)
	g.server.SetStandby(false, time.Hour) // without a standby before it, nothing is refused
	idle := g.Client()
	idle.Send(pgwire.AppendQuery(nil, "")...)
	idle.Expect("IZ")
	g.idleClient()
	busy := g.Client()
	busy.Send(conntest.ReadQuery("4000")...)
	m := g.AcceptServer()
	m.Expect("Q")
	g.server.SetStandby(true, 0)
	idle.ExpectClosed()
	late := g.Client()
	late.Send(conntest.ReadQuery("4000")...)
	assert.Contains(t, string(late.Expect("E")), pgwire.CodeTooManyConnections)
	m.Send(conntest.RowResponse("v")...)
	busy.Expect("TDCZ")
	busy.ExpectClosed()
	g.server.SetStandby(false, time.Hour)
	refused := 0
	for range 80 {
		if g.server.standby.refuses(g.Clock.Now()) {
			refused++
		}
	}
	assert.InDelta(t, 70, refused, 8, "one of eight is admitted at first")
	g.server.standby.recovery.Store(1)
	assert.False(t, g.server.standby.refuses(g.Clock.Now()))
	assert.Zero(t, g.server.standby.state.Load(), "all are admitted again")
	g.Client()
}
