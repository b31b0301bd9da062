package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// What one request costs in the core, from its arrival to its answer: by itself, and where the front is one of a fleet, with a
// lease, an audit and the core's clock.
func BenchmarkRequestThroughTheCore(b *testing.B) {
	for _, fleet := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "fleet"}[fleet], func(b *testing.B) {
			c, m, w := newFront(b)
			now := time.Duration(0)
			if fleet {
				c.JoinFleet(FleetOptions{Clock: func() time.Duration { return now }, Auditor: &ledger{}})
				c.clock = func() time.Duration { return now }
				c.Post(RenewLease{Expiry: 1 << 60})
				c.batch(0)
			}
			statement, err := pgwire.ParseStatement([]byte(browse + "\x00"))
			require.NoError(b, err)
			answer := row()
			cut := func() {}
			submit := func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
			b.ReportAllocs()
			for b.Loop() {
				now += ms
				c.Post(NewRequest(w, statement, now))
				m.wish = submit
				c.batch(now)
				s := w.sent[0]
				s.Begin(cut)
				s.Message()
				c.Post(&AttemptFinished{Attempt: s, Answer: answer})
				c.batch(now)
				if len(w.final) != 1 || w.final[0].Status != StatusSucceeded || m.ended[0].Result != routing.Succeeded {
					b.Fatal(w.final)
				}
				m.begun, m.ended, w.sent, w.final = m.begun[:0], m.ended[:0], w.sent[:0], w.final[:0]
			}
		})
	}
}
