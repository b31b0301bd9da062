package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestLateOutcomeDoesNotAffectNextRequestOfSlot(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	old := h.receive(anyRead)
	h.advance(100 * ms)
	h.ClientGone(h.now, old)
	h.reconcile()
	assert.Equal(t, "cancel 1.0", h.lastAction("cancel"))
	assert.Equal(t, 2.0, h.servers[h.sentTo[old]].limit, "a client that leaves half-way to its latency objective indicates a queue")
	ref := routing.RequestRef{Slot: old.Slot, Generation: old.Generation + 1}
	h.RequestReceived(h.now, routing.Request{Ref: ref, Type: anyRead, Customer: routing.None, Timeout: time.Second})
	h.slots[ref.Slot].rank = 0
	h.reconcile()
	h.finish(old, routing.Cancelled, routing.UnknownRole, 0)
	assert.Equal(t, pending, h.slots[ref.Slot].state)
	assert.Equal(t, 2, h.countActions("send"), "the late outcome does not cause an attempt")
}

// Guards against an attempt for a request whose slot the host may already use again.
func TestRequestWhoseClientLeavesInSameBatchIsNotSent(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	r := routing.RequestRef{Slot: 1, Generation: 1}
	h.RequestReceived(h.now, routing.Request{Ref: r, Type: anyRead, Customer: routing.None, Timeout: time.Second})
	h.ClientGone(h.now, r)
	h.reconcile()
	h.advance(time.Second)
	assert.Empty(t, h.actions)
}
