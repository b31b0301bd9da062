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

// Regression test: Eight refused connections that sent nothing delayed all further refusals until they timed out.
func TestSlowRefusalsDoNotDelayOthers(t *testing.T) {
	h := newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 1, EvictFrom: 1, Overshoot: 0})
	h.server.linger = time.Hour
	h.ConnectClient().Send(conntest.ReadQuery("4000")...)
	<-h.Router.Received
	var slow []*conntest.Peer
	for range 3 * maxRefusals {
		slow = append(slow, h.Dial())
	}
	c := h.Dial()
	c.Send(append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000")...)...)
	assert.Contains(t, string(c.Expect("RSSSSZE")), pgwire.CodeTooManyConnections)
	slow[0].Read(make([]byte, 1)) // returns once the connection is cut off
	h.server.refusals.mu.Lock()
	defer h.server.refusals.mu.Unlock()
	assert.LessOrEqual(t, len(h.server.refusals.inProgress), maxRefusals+1, "refusals hold a limited number of descriptors")
}

// Each request that was read must be answered, also a second one that a refused connection sent together with the first.
func TestRefusedConnectionGetsErrorForEachPipelinedRequest(t *testing.T) {
	h := newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 1, EvictFrom: 1, Overshoot: 0})
	h.ConnectClient().Send(conntest.ReadQuery("4000")...)
	<-h.Router.Received
	c := h.Dial()
	part := conntest.ReadQuery("4000")[:9] // the beginning of a third request, whose rest is never sent
	c.Send(bytes.Join([][]byte{pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000"), conntest.ReadQuery("3000"), part}, nil)...)
	c.Expect("RSSSSZEE")
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "the connection ends without a reset")
}
