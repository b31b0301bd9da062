package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestOverloadedServerGetsHighestWeightFirst(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	for i := range h.servers {
		h.servers[i].limit = 99
		for range 20 {
			h.observeLoad(h.now, &h.servers[i], (normalLoad+overloadedLoad)/2)
		}
	}
	sent := func(ty int) (n int) {
		for range 40 {
			n += h.attempts[h.receive(ty)]
		}
		return n
	}
	cheap, valuable := sent(anyRead), sent(write)
	assert.InDelta(t, 20, cheap, 6, "half of them, since there are no requests of other types")
	assert.Greater(t, valuable, cheap+5, "a write has more weight per unit of work")
	h.now += time.Minute
	h.actions = h.actions[:0]
	h.receive(anyRead)
	assert.Equal(t, 1, h.countActions("send"), "load without new observations decays")
}

func TestHighestWeightPerWorkIsSentFirst(t *testing.T) {
	o := testDeployment()
	o.Topology.RetriesMarked = true
	h := newHarness(o).withGroup(1)
	h.servers[0].limit = 1
	first := h.receive(write)
	cheap := h.receive(anyRead)
	retry := h.receive(write, func(t *routing.Request) { t.Retry = true })
	valuable := h.receive(write)
	for _, next := range []routing.RequestRef{valuable, cheap, retry} {
		h.finish(first, routing.Succeeded, routing.Primary, 0)
		assert.Equal(t, 1, h.attempts[next])
		first = next
	}
	assert.Equal(t, 1.5, h.slots[retry.Slot].weight)
}

func TestUnmarkedRetryIsRecognizedByItsTimeout(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	for range 50 {
		h.receive(anyRead, func(in *routing.Request) { in.Timeout = 400 * ms })
	}
	last := h.receive(anyRead, func(in *routing.Request) { in.Timeout = 300 * ms })
	assert.Equal(t, 1.0/4, h.slots[last.Slot].weight)
	first := h.receive(anyRead, func(in *routing.Request) { in.Timeout = 400 * ms })
	assert.Equal(t, 1.0, h.slots[first.Slot].weight)
	for range 20 {
		h.receive(write)
	}
	assert.Equal(t, 6.0, h.slots[h.receive(write).Slot].weight, "each type has its own typical timeout")
	h.retriesMarked = true
	last = h.receive(anyRead, func(in *routing.Request) { in.Timeout = 300 * ms })
	assert.Equal(t, 1.0, h.slots[last.Slot].weight, "if clients mark retries, only the mark counts")
}

func TestClientThatAlwaysAsksWithItsOwnTimeoutIsNoRetrier(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	var own routing.RequestRef
	for i := range 300 {
		timeout := 800 * ms
		if i%9 == 0 {
			timeout = 300 * ms
		}
		if ref := h.receive(anyRead, func(in *routing.Request) { in.Timeout = timeout }); timeout < 800*ms {
			own = ref
		}
	}
	assert.Equal(t, 1.0, h.slots[own.Slot].weight)
	retry := h.receive(anyRead, func(in *routing.Request) { in.Timeout = 600 * ms })
	assert.Equal(t, 1.0/4, h.slots[retry.Slot].weight)
}
