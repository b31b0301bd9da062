package adapter

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
)

// The test feeds every kind of event to the adapter and makes its routers request every kind of action. The output must equal the recorded
// output byte for byte. testdata/batches.txt is the input from the bench, testdata/answers.txt the recorded output.
func TestAnswersAreAsRecordedByteForByte(t *testing.T) {
	batches, err := os.Open("testdata/batches.txt")
	require.NoError(t, err)
	t.Cleanup(func() { _ = batches.Close() }) // opened for reading
	recorded, err := os.ReadFile("testdata/answers.txt")
	require.NoError(t, err)
	var output strings.Builder
	require.NoError(t, Run(batches, &output, func(h routing.Host, o routing.Options) routing.Router {
		h.Log(fmt.Sprint("new ", o.Seed, o.Topology.Zone, o.Topology.ZoneCount, len(o.RequestTypes), len(o.Customers), o.Limits.MaxAttempts))
		return &loggingRouter{host: h}
	}))
	assert.Equal(t, string(recorded), output.String())
}

// loggingRouter is a Router that logs the values of each call and uses each method of its host.
type loggingRouter struct {
	host routing.Host
}

// log writes the name of an event and its values to the host's log.
func (r *loggingRouter) log(now time.Duration, event string, values ...any) {
	r.host.Log(strings.TrimSuffix(fmt.Sprintln(append([]any{now, event}, values...)...), "\n"))
}

// loadValues returns the values of a load report for the log.
func loadValues(l routing.LoadReport) []any {
	return []any{l.InFlight, l.Queued, l.Position, l.HasPosition, int(l.Role), l.Utilization, l.LatencyMillis, l.RequestRate, l.ErrorRate}
}

func (r *loggingRouter) EndpointsChanged(now time.Duration, kind routing.UpdateKind, version int64, endpoints []routing.Endpoint) {
	r.log(now, "endpoints changed", int(kind), version, len(endpoints))
	for _, e := range endpoints {
		r.log(now, "endpoint", e.Server, e.Zone, e.ServerType, e.Group, int(e.State), e.Weight, e.Primary, e.StartedAt, e.HasStartTime)
	}
}

// RequestReceived starts an attempt. For request type 1, it starts a second attempt and cancels the first one.
func (r *loggingRouter) RequestReceived(now time.Duration, q routing.Request) {
	r.log(now, "request", q.Ref.Slot, q.Ref.Generation, q.Type, q.Customer, q.Session, q.Group, q.Timeout, q.ExpectedWork, q.TokenAge,
		q.MaxStaleness, q.DedupWindow, q.Retry, q.Write)
	r.host.StartAttempt(q.Ref, 0, q.Timeout/4)
	if q.Type == 1 {
		r.host.StartAttempt(q.Ref, 1, 0)
		r.host.CancelAttempt(q.Ref, 0)
	}
}

func (r *loggingRouter) AttemptFinished(now time.Duration, o routing.AttemptOutcome) {
	values := []any{o.Ref.Slot, o.Ref.Generation, o.AttemptNumber, o.Server, int(o.Result), o.RequestFinished, o.Latency, o.Position,
		o.HasPosition, int(o.Role)}
	r.log(now, "attempt finished", append(values, loadValues(o.Load)...)...)
	switch {
	case o.RequestFinished:
	case o.Result == routing.ServerError:
		r.host.Reject(o.Ref, 5*time.Millisecond)
	case o.Result == routing.Overloaded:
		r.host.Reject(o.Ref, 0)
	case o.Result == routing.TimedOut:
		r.host.Fail(o.Ref)
	case o.Result == routing.Misrouted:
		r.host.StartAttempt(o.Ref, 1, 0)
	}
}

func (r *loggingRouter) ClientGone(now time.Duration, ref routing.RequestRef) {
	r.log(now, "client gone", ref.Slot, ref.Generation)
}

func (r *loggingRouter) HealthCheckFinished(now time.Duration, server int, result routing.AttemptResult, latency time.Duration,
	l routing.LoadReport) {
	r.log(now, "health check finished", append([]any{server, int(result), latency}, loadValues(l)...)...)
	if result == routing.Unreachable {
		r.host.ReleaseServer(server)
	}
}

func (r *loggingRouter) GossipReceived(now time.Duration, peer int, message []byte) {
	r.log(now, "gossip received", peer, message)
	r.host.SendGossip(peer, message)
	r.host.SendGossip(routing.None, nil)
}

func (r *loggingRouter) TimerFired(now time.Duration) {
	r.log(now, "timer fired\twith a tab\nand a line")
	r.host.StartHealthCheck(0)
	r.host.WatchEndpoints(true)
	r.host.WatchEndpoints(false)
	r.host.FetchEndpoints()
	r.host.SetTimer(7 * time.Millisecond)
	if now > time.Second {
		panic("more than\na second")
	}
}

func (r *loggingRouter) Reconcile(now time.Duration)          { r.log(now, "reconcile") }
func (r *loggingRouter) ClockCorrected(now, by time.Duration) { r.log(now, "clock corrected", by) }
func (r *loggingRouter) RequiredPosition(routing.RequestRef) (_ time.Duration, ok bool) {
	return 0, false
}
func (r *loggingRouter) FreshUntil(routing.RequestRef) (_ time.Duration, ok bool) { return 0, false }
func (r *loggingRouter) MayServe(routing.RequestRef, routing.ReadResult) bool     { return true }
