package server

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// wakeSlack is how late a busy machine may wake a goroutine.
const wakeSlack = time.Second

// newRefusingHarness returns a harness whose server admits one client and refuses further ones, with a linger that no test outlasts.
func newRefusingHarness(t *testing.T) *harness {
	return newHarnessWith(t, limits.DescriptorShares{Total: 40, MaxClients: 1, EvictFrom: 1, Overshoot: 0},
		func(s *Server) { s.linger = time.Hour })
}

// startRefusals begins a refusal in each of its steps and waits until the clients have what they can get: one client has sent nothing,
// one only its startup message, and one has read the error and keeps its connection open.
func startRefusals(h *harness) {
	h.ConnectClient().Send(conntest.ReadQuery("4000")...)
	<-h.Router.Received
	h.Dial()
	greeted := h.Dial()
	greeted.Send(pgwire.AppendStartup(nil, "portal", "crm")...)
	greeted.Expect("RSSSSZ")
	answered := h.Dial()
	answered.Send(append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000")...)...)
	answered.Expect("RSSSSZE")
	awaitHalfClose(h.T, answered)
	h.Eventually(func() bool { return h.refusalCount() == 3 })
}

// refusalCount returns the number of connections that are being refused.
func (h *harness) refusalCount() int {
	h.server.refusals.mu.Lock()
	defer h.server.refusals.mu.Unlock()
	return len(h.server.refusals.inProgress)
}

// Once the server closes, no refusal lasts longer than MaxCloseLinger, in whatever step it is.
func TestCloseEndsRefusalsInTime(t *testing.T) {
	h := newRefusingHarness(t)
	startRefusals(h)
	h.server.advanceTo(rejecting)
	time.Sleep(MaxCloseLinger) // refusals outlast the stages before
	assert.Equal(t, 3, h.refusalCount())
	began := time.Now()
	h.server.Close()
	h.Eventually(func() bool { return h.refusalCount() == 0 })
	took := time.Since(began)
	t.Logf("the refusals ended %v after Close", took)
	assert.Less(t, took, MaxCloseLinger+wakeSlack)
}

// A refusal that begins when the server closes already is as short, and its client still gets the error for what it has sent.
func TestRefusalThatBeginsAfterCloseIsShort(t *testing.T) {
	h := newRefusingHarness(t)
	h.ConnectClient().Send(conntest.ReadQuery("4000")...)
	<-h.Router.Received
	h.server.Close()
	c := h.Dial()
	c.Send(append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.ReadQuery("4000")...)...)
	assert.Contains(t, string(c.Expect("RSSSSZE")), pgwire.CodeTooManyConnections)
	began := time.Now()
	h.Eventually(func() bool { return h.refusalCount() == 0 })
	assert.Less(t, time.Since(began), MaxCloseLinger+wakeSlack)
}

// Server.Wait waits for refusals too; after Close they hold it up for MaxCloseLinger at most.
func TestWaitAfterCloseIsNotHeldUpByRefusals(t *testing.T) {
	h := newRefusingHarness(t)
	h.server.SetStandby(true, 0) // new connections are refused
	h.Dial()
	h.Eventually(func() bool { return h.refusalCount() == 1 })
	began := time.Now()
	h.server.Close()
	require.True(t, h.server.Wait(10*time.Second))
	took := time.Since(began)
	t.Logf("Wait returned %v after Close", took)
	assert.Less(t, took, MaxCloseLinger+wakeSlack)
}
