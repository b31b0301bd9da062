package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/discovery"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// newForwardingCore creates a core whose server 0 represents another site, with the given limit of attempts.
func newForwardingCore(t *testing.T, limit int) (*Core, *fakeRouter, *fakeNetwork) {
	t.Helper()
	c, router, network := newTestCore(t)
	c.catalog.limits.MaxAttempts = limit
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: RemoteSitePrefix + "b/9", Zone: "a", Group: 9}}}})
	c.batch(ms)
	return c, router, network
}

// Both this site and the other site start attempts of a forwarded request. Their total must stay within the limit of attempts.
func TestForwardedAttemptsStayWithinLimit(t *testing.T) {
	for limit, want := range map[int][]int{10: {5, 2, 1, 1, 1}, 2: {1, 1}, 1: {1}} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			c, router, network := newForwardingCore(t, limit)
			receive(t, c, network, browse)
			var forwarded []int
			for range 8 {
				before := len(network.sent)
				router.onReconcile = start(0)
				c.batch(10 * ms)
				c.batch(10 * ms)
				if len(network.sent) == before {
					break
				}
				a := network.sent[len(network.sent)-1]
				f, healthCheck := a.Forwarded()
				assert.False(t, healthCheck)
				forwarded = append(forwarded, f.MaxAttempts)
				c.Post(&AttemptFinished{Attempt: a, Err: &ConnectionError{Stage: StageWrite, Err: assert.AnError}})
				c.batch(10 * ms)
			}
			assert.Equal(t, want, forwarded)
		})
	}
}

// Another site is told that a write may have run, if its idempotency key is remembered for a limited time.
func TestForwardedRetryTellsThatAnAttemptMayHaveRun(t *testing.T) {
	for idempotency, repeated := range map[routing.Idempotency]bool{routing.IdempotencyKey: true, routing.Idempotent: false} {
		c, router, network := newForwardingCore(t, 9)
		c.catalog.types[1].Idempotency, c.catalog.types[1].DedupWindow = idempotency, 300*ms
		receive(t, c, network, order)
		for range 2 {
			router.onReconcile = start(0)
			c.batch(10 * ms)
			a := network.sent[len(network.sent)-1]
			a.Begin(func() {})
			c.Post(&AttemptFinished{Attempt: a, Err: &ConnectionError{Stage: StageRead, Err: assert.AnError}})
			c.batch(20 * ms)
		}
		first, _ := network.sent[0].Forwarded()
		retry, _ := network.sent[1].Forwarded()
		assert.False(t, first.Repeated)
		assert.Equal(t, repeated, retry.Repeated)
		if repeated {
			assert.Equal(t, 10*ms, retry.FirstRunAt)
		}
	}
}

func TestMaxAttemptsOfForwardedRequest(t *testing.T) {
	c, router, network := newTestCore(t)
	r := receive(t, c, network, browse)
	r.MaxAttempts = 2
	for range 4 {
		router.onReconcile = start(0)
		c.batch(10 * ms)
		c.batch(10 * ms)
		if n := len(network.sent); n > 0 {
			c.Post(&AttemptFinished{Attempt: network.sent[n-1], Err: &ConnectionError{Stage: StageWrite, Err: assert.AnError}})
		}
		c.batch(10 * ms)
	}
	assert.Len(t, network.sent, 2)
	notSent := 0
	for _, o := range router.outcomes {
		if o.Result == routing.NotSent {
			notSent++
		}
	}
	assert.Equal(t, 2, notSent, "attempts beyond the limit are not sent")
}

// A result from another site may be older than the maximum staleness when it arrives, or of unknown age. It must not be sent to the client;
// the router is notified that the result was stale.
func TestRemoteResultBeyondMaxStalenessIsStale(t *testing.T) {
	for name, x := range map[string]struct {
		age       time.Duration
		known     bool
		responses int
	}{"within the limit": {200 * ms, true, 1}, "beyond the limit": {301 * ms, true, 0}, "age not known": {0, false, 0}} {
		t.Run(name, func(t *testing.T) {
			c, router, network := newForwardingCore(t, 9)
			c.catalog.types[0].Consistency, c.catalog.types[0].MaxStaleness = routing.BoundedStaleness, 300*ms
			receiveAndStart(t, c, router, network)
			network.begin(t, 0)
			c.Post(&AttemptFinished{Attempt: network.sent[0], Result: pgwire.QueryResult{Complete: true, Rows: []byte("r")}, Remote: true,
				DataAge: x.age, DataAgeKnown: x.known})
			c.batch(20 * ms)
			assert.Len(t, network.responses, x.responses)
			if x.responses == 0 {
				assert.Equal(t, routing.Stale, router.outcomes[0].Result)
				assert.False(t, router.outcomes[0].Result.NeverRan(), "it ran at the other site")
			}
		})
	}
}
