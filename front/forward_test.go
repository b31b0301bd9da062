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

// newForwardingCore makes server 0 stand for another site, with a limit of attempts.
func newForwardingCore(t *testing.T, limit int) (*Core, *fakeRouter, *fakeNetwork) {
	t.Helper()
	c, m, w := newTestCore(t)
	c.catalog.limits.MaxAttempts = limit
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: RemoteSitePrefix + "b/9", Zone: "a", Group: 9}}}})
	c.batch(ms)
	return c, m, w
}

// Two sites start attempts; together they must stay within the limit.
func TestForwardedAttemptsStayWithinLimit(t *testing.T) {
	for limit, want := range map[int][]int{10: {5, 2, 1, 1, 1}, 2: {1, 1}, 1: {1}} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			c, m, w := newForwardingCore(t, limit)
			receive(t, c, w, browse)
			var forwarded []int
			for range 8 {
				before := len(w.sent)
				m.onReconcile = start(0)
				c.batch(10 * ms)
				c.batch(10 * ms)
				if len(w.sent) == before {
					break
				}
				a := w.sent[len(w.sent)-1]
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

func TestMaxAttemptsOfForwardedRequest(t *testing.T) {
	c, m, w := newTestCore(t)
	r := receive(t, c, w, browse)
	r.MaxAttempts = 2
	for range 4 {
		m.onReconcile = start(0)
		c.batch(10 * ms)
		c.batch(10 * ms)
		if n := len(w.sent); n > 0 {
			c.Post(&AttemptFinished{Attempt: w.sent[n-1], Err: &ConnectionError{Stage: StageWrite, Err: assert.AnError}})
		}
		c.batch(10 * ms)
	}
	assert.Len(t, w.sent, 2)
	notSent := 0
	for _, o := range m.outcomes {
		if o.Result == routing.NotSent {
			notSent++
		}
	}
	assert.Equal(t, 2, notSent, "what is beyond the limit is not sent")
}

// A result that grew too old on its way from another site is misrouted for the router, and no response for the client.
func TestRemoteResultBeyondMaxStalenessIsMisrouted(t *testing.T) {
	for name, x := range map[string]struct {
		age       time.Duration
		known     bool
		responses int
	}{"within the bound": {200 * ms, true, 1}, "beyond the bound": {301 * ms, true, 0}, "age not known": {0, false, 0}} {
		t.Run(name, func(t *testing.T) {
			c, m, w := newForwardingCore(t, 9)
			c.catalog.types[0].Consistency, c.catalog.types[0].MaxStaleness = routing.BoundedStaleness, 300*ms
			receiveAndStart(t, c, m, w)
			w.begin(t, 0)
			c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: pgwire.QueryResult{Complete: true, Rows: []byte("r")}, Remote: true,
				DataAge: x.age, DataAgeKnown: x.known})
			c.batch(20 * ms)
			assert.Len(t, w.responses, x.responses)
			if x.responses == 0 {
				assert.Equal(t, routing.Misrouted, m.outcomes[0].Result)
			}
		})
	}
}
