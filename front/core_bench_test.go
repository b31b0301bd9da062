package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// One request in the core, from its arrival to its response: for a front by itself, and for one of a fleet, with a lease, an audit and
// the core's clock.
func BenchmarkRequestThroughTheCore(b *testing.B) {
	for _, fleet := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "fleet"}[fleet], func(b *testing.B) {
			c, m, w := newTestCore(b)
			now := time.Duration(0)
			if fleet {
				c.JoinFleet(FleetOptions{Clock: func() time.Duration { return now }, Auditor: &fakeAuditor{}})
				c.clock = func() time.Duration { return now }
				c.Post(RenewLease{Expiry: 1 << 60})
				c.batch(0)
			}
			statement, err := pgwire.ParseStatement([]byte(browse + "\x00"))
			require.NoError(b, err)
			answer := successResult()
			cut := func() {}
			submit := start(0)
			b.ReportAllocs()
			for b.Loop() {
				now += ms
				c.Post(NewRequest(w, statement, now))
				m.onReconcile = submit
				c.batch(now)
				s := w.sent[0]
				s.Begin(cut)
				s.Message()
				c.Post(&AttemptFinished{Attempt: s, Answer: answer})
				c.batch(now)
				if len(w.responses) != 1 || w.responses[0].Status != StatusSucceeded || m.outcomes[0].Result != routing.Succeeded {
					b.Fatal(w.responses)
				}
				m.requests, m.outcomes, w.sent, w.responses = m.requests[:0], m.outcomes[:0], w.sent[:0], w.responses[:0]
			}
		})
	}
}
