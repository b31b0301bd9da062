package router

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// simulatedInstances returns the number of simulated instances, each with its own seed: 500, or the value of
// DEPARTURE_SEEDS.
func simulatedInstances() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("DEPARTURE_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 500
}

// receiveAndLeave receives the given number of reads. Their clients leave after the given time, before the servers answer.
func (h *harness) receiveAndLeave(clients int, after time.Duration) {
	var sent []routing.RequestRef
	for range clients {
		if ref := h.receive(anyRead); h.attempts[ref] > 0 {
			sent = append(sent, ref)
		} else {
			h.ClientGone(h.now, ref)
		}
	}
	h.advance(after)
	for _, ref := range sent {
		h.ClientGone(h.now, ref)
	}
	h.reconcile()
	for _, ref := range sent {
		h.finish(ref, routing.Cancelled, routing.UnknownRole, 0)
	}
}

// receiveUntilSent receives requests at an interval until one is sent or the limit is reached. It returns the number of
// requests and the time taken.
func (h *harness) receiveUntilSent(interval, limit time.Duration) (requests int, took time.Duration) {
	from, sent := h.now, h.countActions("send")
	for {
		requests++
		if h.receive(anyRead, func(in *routing.Request) { in.Timeout = time.Second }); h.countActions("send") > sent {
			return requests, h.now - from
		}
		if h.now-from >= limit {
			return requests, limit
		}
		h.advance(interval)
	}
}

// Guards against an instance that rejects nearly all requests after many clients left, because each departure counted
// as the maximum load.
func TestFirstRequestAfterClientsLeaveIsSentAtOnce(t *testing.T) {
	const limit = 8 * time.Second
	for _, interval := range []time.Duration{ms, 20 * ms, 200 * ms} {
		t.Run(fmt.Sprint("one request every ", interval), func(t *testing.T) {
			t.Parallel()
			late, worstRequests, worstTime := 0, 0, time.Duration(0)
			for seed := range simulatedInstances() {
				o := longDeadlines()
				for i := range o.RequestTypes {
					o.RequestTypes[i].LatencyObjective = 2 * time.Second
				}
				o.Seed = seed
				h := withPrimary(o)
				random := rand.New(rand.NewPCG(seed, 54))
				h.receiveAndLeave(24, time.Duration(5+random.IntN(96))*ms)
				requests, took := h.receiveUntilSent(interval, limit)
				if requests > 1 {
					late++
				}
				worstRequests, worstTime = max(worstRequests, requests), max(worstTime, took)
			}
			t.Logf("%d of %d fronts rejected requests; worst %d requests, %v", late, simulatedInstances(), worstRequests, worstTime)
			assert.Zero(t, late)
		})
	}
}

// Guards against an instance that rejects everything after an overload. At a load estimate that lets almost nothing be
// sent, an instance with nothing in flight got no answer that could lower the estimate. It sent one request in twenty
// at random. Of 10,000 instances with five requests per second, 3,009 rejected all of them for 4 s or longer, although
// the servers had recovered.
//
// The requirement: at most one instance in ten may reject everything that it receives (15 requests or more) for 4 s
// without an attempt in between.
func TestServersAreTriedAgainAfterOverload(t *testing.T) {
	const limit = 4 * time.Second
	for _, fronts := range []int{1, 30, 300} {
		t.Run(fmt.Sprint(fronts, " fronts"), func(t *testing.T) {
			t.Parallel()
			late, worst := 0, time.Duration(0)
			for seed := range simulatedInstances() {
				o := longDeadlines()
				for i := range o.RequestTypes {
					o.RequestTypes[i].LatencyObjective = 2 * time.Second
				}
				o.Seed, o.Topology.FleetSize = seed, fronts
				h := withPrimary(o)
				for i := range h.servers {
					for range 30 {
						h.observeLoad(h.now, &h.servers[i], maxLoad)
					}
				}
				h.advance(time.Duration(seed%200) * ms)
				_, took := h.receiveUntilSent(200*ms, 2*limit)
				if worst = max(worst, took); took >= limit {
					late++
				}
			}
			t.Logf("%d of %d fronts sent nothing for 4 s; worst %v", late, simulatedInstances(), worst)
			assert.Zero(t, late)
		})
	}
}
