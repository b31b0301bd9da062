package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// BenchmarkRequestThroughTheCore measures one request in the core, from its arrival to its response: in a standalone front, and in a front
// of a fleet with a lease, an auditor and the core's clock.
func BenchmarkRequestThroughTheCore(b *testing.B) {
	for _, fleet := range []bool{false, true} {
		b.Run(map[bool]string{false: "alone", true: "fleet"}[fleet], func(b *testing.B) {
			c, router, network := newTestCore(b)
			now := time.Duration(0)
			if fleet {
				c.JoinFleet(FleetOptions{Clock: func() time.Duration { return now }, Auditor: &fakeAuditor{}})
				c.clock = func() time.Duration { return now }
				c.Post(RenewLease{Expiry: 1 << 60})
				c.batch(0)
			}
			statement, err := pgwire.ParseStatement([]byte(browse + "\x00"))
			require.NoError(b, err)
			result := successResult()
			abort := func() {}
			startAttempt := start(0)
			b.ReportAllocs()
			for b.Loop() {
				now += ms
				c.Post(NewRequest(network, statement, now))
				router.onReconcile = startAttempt
				c.batch(now)
				attempt := network.sent[0]
				attempt.Begin(abort)
				attempt.Message()
				c.Post(&AttemptFinished{Attempt: attempt, Result: result})
				c.batch(now)
				if len(network.responses) != 1 || network.responses[0].Status != StatusSucceeded || router.outcomes[0].Result != routing.Succeeded {
					b.Fatal(network.responses)
				}
				router.requests, router.outcomes = router.requests[:0], router.outcomes[:0]
				network.sent, network.responses = network.sent[:0], network.responses[:0]
			}
		})
	}
}
