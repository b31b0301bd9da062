package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
	"dapplerouter/testsupport/conntest"
)

// reading waits until the server has begun to read a message of its only client, which no longer counts as idle.
func (g *harness) reading() {
	g.Eventually(func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		for c := range g.server.clients {
			return c.idleSince.Load() == 0
		}
		return false
	})
}

// A request comes in fragments, and between them the server drains, evicts for another client or goes on standby: each of these wakes
// the read of the partial message, which is served all the same.
func TestFragmentedRequestIsServedDespiteWakes(t *testing.T) {
	for name, wake := range map[string]func(g *harness){
		"nothing":  func(*harness) {},
		"a stop":   func(g *harness) { g.server.Drain(g.Listener) },
		"room":     func(g *harness) { assert.False(t, g.server.evictIdle(), "it is not idle") },
		"stand by": func(g *harness) { g.server.SetStandby(true, 0) },
		"a wake of an earlier wait": func(g *harness) {
			g.server.mu.Lock()
			defer g.server.mu.Unlock()
			for c := range g.server.clients {
				c.tcp.SetReadDeadline(tcpconn.Past)
			}
		},
	} {
		for _, first := range []bool{true, false} { // its first message, and one behind an answer
			t.Run(name+map[bool]string{true: ", first", false: ", second"}[first], func(t *testing.T) {
				g := newHarness(t, 40)
				g.Upstream.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a failing test ends
				var c, m *conntest.Peer
				message := conntest.ReadQuery("4000")
				if first {
					c = g.Client()
				} else {
					c, m = g.serve()
				}
				g.idleClient()
				c.SendBytewise(message[:len(message)/2])
				g.reading()
				wake(g)
				c.SendBytewise(message[len(message)/2:])
				if first {
					m = g.AcceptServer()
				}
				m.Expect("Q")
				m.Send(conntest.RowResponse("v")...)
				c.Expect("TDCZ")
				if name == "a stop" {
					c.ExpectClosed()
					require.NoError(t, <-g.Served)
					g.Served <- nil // for the clean-up
				}
			})
		}
	}
}

// A connection whose startup message comes in fragments is served its first request, also where the shutdown begins between them.
func TestFragmentedStartupAndRequestAreServedWhileDraining(t *testing.T) {
	g := newHarness(t, 40)
	g.Upstream.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a failing test ends
	c := g.Dial()
	hello := pgwire.AppendStartup(nil, "portal", "crm")
	c.SendBytewise(hello[:9])
	g.reading()
	g.server.Drain(g.Listener)
	c.SendBytewise(hello[9:])
	c.Expect("RSSSSZ")
	c.SendBytewise(conntest.ReadQuery("4000"))
	m := g.AcceptServer()
	m.Expect("Q")
	m.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.ExpectClosed()
	require.NoError(t, <-g.Served)
	g.Served <- nil
	assert.True(t, g.server.Wait(10*time.Second))
}
