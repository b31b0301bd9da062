package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/discovery"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// far makes member 0 stand for another site, behind a site that allows so many attempts.
func far(t *testing.T, most int) (*Core, *module, *wires) {
	c, m, w := newFront(t)
	c.catalog.limits.MaxAttempts = most
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: RemoteSitePrefix + "b/9", Zone: "a", Group: 9}}}})
	c.batch(ms)
	return c, m, w
}

// Two sites submit; together they must stay within what the type allows.
func TestGrantsToAnotherSiteStayWithinTheCapAndLeaveSomeForFurtherTries(t *testing.T) {
	for most, want := range map[int][]int{10: {5, 2, 1, 1, 1}, 2: {1, 1}, 1: {1}} {
		c, m, w := far(t, most)
		arrive(t, c, w, browse)
		var grants []int
		for range 8 {
			before := len(w.sent)
			m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
			c.batch(10 * ms)
			c.batch(10 * ms)
			if len(w.sent) == before {
				break
			}
			s := w.sent[len(w.sent)-1]
			way, probe := s.Forwarded()
			assert.False(t, probe)
			grants = append(grants, way.MaxAttempts)
			c.Post(&AttemptFinished{Attempt: s, Err: &ConnectionError{Stage: StageWrite, Err: assert.AnError}})
			c.batch(10 * ms)
		}
		assert.Equal(t, want, grants)
	}
}

func TestARunForAnotherSiteStaysWithinItsGrant(t *testing.T) {
	c, m, w := newFront(t)
	a := arrive(t, c, w, browse)
	a.MaxAttempts = 2
	for range 4 {
		m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
		c.batch(10 * ms)
		c.batch(10 * ms)
		if n := len(w.sent); n > 0 {
			c.Post(&AttemptFinished{Attempt: w.sent[n-1], Err: &ConnectionError{Stage: StageWrite, Err: assert.AnError}})
		}
		c.batch(10 * ms)
	}
	assert.Len(t, w.sent, 2)
	void := 0
	for _, o := range m.ended {
		if o.Result == routing.NotSent {
			void++
		}
	}
	assert.Equal(t, 2, void, "what is beyond the grant is never sent")
}

// What crossed and grew too old on its way is a miss for the module, and no answer for the client.
func TestAnAnswerFromAnotherSiteThatIsOlderThanItsBoundIsAMiss(t *testing.T) {
	for _, story := range []struct {
		age   time.Duration
		aged  bool
		final int
	}{{200 * ms, true, 1}, {301 * ms, true, 0}, {0, false, 0}} {
		c, m, w := far(t, 9)
		c.catalog.types[0].Consistency, c.catalog.types[0].MaxStaleness = routing.BoundedStaleness, 300*ms
		out(t, c, m, w)
		w.begin(t, 0)
		c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: pgwire.QueryResult{Complete: true, Rows: []byte("r")}, Remote: true,
			DataAge: story.age, DataAgeKnown: story.aged})
		c.batch(20 * ms)
		assert.Len(t, w.final, story.final)
		if story.final == 0 {
			assert.Equal(t, routing.Misrouted, m.ended[0].Result)
		}
	}
}
