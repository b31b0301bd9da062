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

// awaitPartialMessage waits until the server has begun to read a message of its only client. The client then no longer counts as idle.
func (h *harness) awaitPartialMessage() {
	h.Eventually(func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		for c := range h.server.clients {
			return c.idleSince.Load() == 0
		}
		return false
	})
}

// A request arrives in fragments, and between them the server drains, tries to evict a client or goes on standby. Each of these wakes the
// read of the partial message. The request must still be served.
func TestFragmentedRequestIsServedDespiteWakes(t *testing.T) {
	for name, wake := range map[string]func(h *harness){
		"nothing":  func(*harness) {},
		"drain":    func(h *harness) { h.server.Drain(h.Listener) },
		"eviction": func(h *harness) { assert.False(t, h.server.evictIdle(), "the connection is not idle") },
		"standby":  func(h *harness) { h.server.SetStandby(true, 0) },
		"wake meant for an earlier wait": func(h *harness) {
			h.server.mu.Lock()
			defer h.server.mu.Unlock()
			for c := range h.server.clients {
				c.tcp.SetReadDeadline(tcpconn.Past)
			}
		},
	} {
		for _, first := range []bool{true, false} { // the first request of the connection, or one after an answer
			t.Run(name+map[bool]string{true: ", first", false: ", second"}[first], func(t *testing.T) {
				h := newHarness(t, 40)
				h.Upstream.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a failing test ends
				var c, upstream *conntest.Peer
				message := conntest.ReadQuery("4000")
				if first {
					c = h.ConnectClient()
				} else {
					c, upstream = h.serve()
				}
				h.awaitIdleClient()
				c.SendBytewise(message[:len(message)/2])
				h.awaitPartialMessage()
				wake(h)
				c.SendBytewise(message[len(message)/2:])
				if first {
					upstream = h.AcceptServer()
				}
				upstream.ExpectStatement()
				upstream.Send(conntest.RowResponse("v")...)
				c.Expect("TDCZ")
				if name == "drain" {
					c.ExpectClosed()
					require.NoError(t, <-h.Served)
					h.Served <- nil // read by the harness's cleanup
				}
			})
		}
	}
}

// A connection whose startup message arrives in fragments gets its first request served, even if the shutdown begins between the fragments.
func TestFragmentedStartupAndRequestAreServedWhileDraining(t *testing.T) {
	h := newHarness(t, 40)
	h.Upstream.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a failing test ends
	c := h.Dial()
	hello := pgwire.AppendStartup(nil, "portal", "crm")
	c.SendBytewise(hello[:9])
	h.awaitPartialMessage()
	h.server.Drain(h.Listener)
	c.SendBytewise(hello[9:])
	c.Expect("RSSSSZ")
	c.SendBytewise(conntest.ReadQuery("4000"))
	upstream := h.AcceptServer()
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("v")...)
	c.Expect("TDCZ")
	c.ExpectClosed()
	require.NoError(t, <-h.Served)
	h.Served <- nil
	assert.True(t, h.server.Wait(10*time.Second))
}
