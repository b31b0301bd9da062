package server

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/limits"
	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// Regression: eight refused connections that sent nothing delayed all others for as long as they were waited for.
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
	g.server.refusals.mu.Lock()
	defer g.server.refusals.mu.Unlock()
	assert.LessOrEqual(t, len(g.server.refusals.oldest), maxRefusals+1, "they hold a bounded number of descriptors")
}

// Each request that was read is owed an answer, also a second one that came with the first of a connection that is refused.
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
