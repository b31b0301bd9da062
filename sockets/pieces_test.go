package sockets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
)

// reading waits until the front has begun to read a message of its only client, which it no longer counts as idle.
func (g *rig) reading() {
	g.eventually(func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		for c := range g.server.clients {
			return c.idle.Load() == 0
		}
		return false
	})
}

// inPieces sends each byte by itself.
func (p *peer) inPieces(b []byte) {
	for i := range b {
		p.say(b[i])
	}
}

// A request comes in pieces, and between them the front is told to end, needs room for another or stands by: each of these wakes the
// read of the half message, which was taken and is served all the same.
func TestARequestInPiecesIsServedWhateverWakesItsReading(t *testing.T) {
	for name, wake := range map[string]func(g *rig){
		"nothing":  func(*rig) {},
		"a stop":   func(g *rig) { g.server.Drain(g.listen) },
		"room":     func(g *rig) { assert.False(t, g.server.evictIdle(), "it is not idle") },
		"stand by": func(g *rig) { g.server.SetStandby(true, 0) },
		"a wake of an earlier wait": func(g *rig) {
			g.server.mu.Lock()
			defer g.server.mu.Unlock()
			for c := range g.server.clients {
				c.conn.SetReadDeadline(past)
			}
		},
	} {
		for _, first := range []bool{true, false} { // its first message, and one behind an answer
			t.Run(name+map[bool]string{true: ", first", false: ", second"}[first], func(t *testing.T) {
				g := newRig(t, 40)
				g.member.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a failing test ends
				var c, m *peer
				message := read("4000")
				if first {
					c = g.client()
				} else {
					c, m = g.serve()
				}
				g.resting()
				c.inPieces(message[:len(message)/2])
				g.reading()
				wake(g)
				c.inPieces(message[len(message)/2:])
				if first {
					m = g.memberUp()
				}
				m.hear("Q")
				m.say(whole("v")...)
				c.hear("TDCZ")
				if name == "a stop" {
					c.ends()
					require.NoError(t, <-g.served)
					g.served <- nil // for the clean-up
				}
			})
		}
	}
}

// A connection whose welcome comes in pieces, too, is told to end while it is half: its first request is served.
func TestAWelcomeAndARequestInPiecesAreServedDuringAStop(t *testing.T) {
	g := newRig(t, 40)
	g.member.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a failing test ends
	c := g.dial()
	hello := pgwire.AppendStartup(nil, "portal", "crm")
	c.inPieces(hello[:9])
	g.reading()
	g.server.Drain(g.listen)
	c.inPieces(hello[9:])
	c.hear("RSSSSZ")
	c.inPieces(read("4000"))
	m := g.memberUp()
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	c.ends()
	require.NoError(t, <-g.served)
	g.served <- nil
	assert.True(t, g.server.Wait(10*time.Second))
}
