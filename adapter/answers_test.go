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

// Every event of the wire goes in and every action comes out: the answers are the recorded ones, byte for byte. testdata/batches.txt is
// what the bench sends, testdata/answers.txt what the adapter answered when it was recorded.
func TestAnswersAreAsRecordedByteForByte(t *testing.T) {
	batches, err := os.Open("testdata/batches.txt")
	require.NoError(t, err)
	t.Cleanup(func() { _ = batches.Close() }) // opened for reading
	recorded, err := os.ReadFile("testdata/answers.txt")
	require.NoError(t, err)
	var answers strings.Builder
	require.NoError(t, Run(batches, &answers, func(h routing.Host, o routing.Options) routing.Router {
		h.Log(fmt.Sprint("new ", o.Seed, o.Topology.Zone, o.Topology.ZoneCount, len(o.RequestTypes), len(o.Customers), o.Limits.MaxAttempts))
		return &transcript{host: h}
	}))
	assert.Equal(t, string(recorded), answers.String())
}

// transcript logs each event, value by value, in the words of the recorded answers, and uses each method of its host.
type transcript struct {
	host routing.Host
}

func (s *transcript) log(now time.Duration, event string, values ...any) {
	s.host.Log(strings.TrimSuffix(fmt.Sprintln(append([]any{now, event}, values...)...), "\n"))
}

func report(l routing.LoadReport) []any {
	return []any{l.InFlight, l.Queued, l.Position, l.HasPosition, int(l.Role), l.Utilization, l.LatencyMillis, l.RequestRate, l.ErrorRate}
}

func (s *transcript) EndpointsChanged(now time.Duration, kind routing.UpdateKind, version int64, entries []routing.Endpoint) {
	s.log(now, "list", int(kind), version, len(entries))
	for _, e := range entries {
		s.log(now, "entry", e.Server, e.Zone, e.Kind, e.Group, int(e.State), e.Weight, e.Primary, e.StartedAt, e.HasStartTime)
	}
}

// RequestReceived starts an attempt; for type 1 a second one too, and the first is cancelled.
func (s *transcript) RequestReceived(now time.Duration, t routing.Request) {
	s.log(now, "request", t.Ref.Slot, t.Ref.Generation, t.Type, t.Customer, t.Session, t.Group, t.Timeout, t.ExpectedWork, t.TokenAge, t.MaxStaleness, t.DedupWindow, t.Retry, t.Write)
	s.host.StartAttempt(t.Ref, 0, t.Timeout/4)
	if t.Type == 1 {
		s.host.StartAttempt(t.Ref, 1, 0)
		s.host.CancelAttempt(t.Ref, 0)
	}
}

func (s *transcript) AttemptFinished(now time.Duration, o routing.AttemptOutcome) {
	s.log(now, "ended", append([]any{o.Ref.Slot, o.Ref.Generation, o.AttemptNumber, o.Server, int(o.Result), o.RequestFinished, o.Latency, o.Position, o.HasPosition, int(o.Role)},
		report(o.Load)...)...)
	switch {
	case o.RequestFinished:
	case o.Result == routing.ServerError:
		s.host.Reject(o.Ref, 5*time.Millisecond)
	case o.Result == routing.Overloaded:
		s.host.Reject(o.Ref, 0)
	case o.Result == routing.TimedOut:
		s.host.Fail(o.Ref)
	case o.Result == routing.Misrouted:
		s.host.StartAttempt(o.Ref, 1, 0)
	}
}

func (s *transcript) ClientGone(now time.Duration, r routing.RequestRef) {
	s.log(now, "left", r.Slot, r.Generation)
}

func (s *transcript) HealthCheckFinished(now time.Duration, server int, e routing.AttemptResult, latency time.Duration, l routing.LoadReport) {
	s.log(now, "probed", append([]any{server, int(e), latency}, report(l)...)...)
	if e == routing.Unreachable {
		s.host.ReleaseServer(server)
	}
}

func (s *transcript) GossipReceived(now time.Duration, peer int, message []byte) {
	s.log(now, "heard", peer, message)
	s.host.SendGossip(peer, message)
	s.host.SendGossip(routing.None, nil)
}

func (s *transcript) TimerFired(now time.Duration) {
	s.log(now, "woken\twith a tab\nand a line")
	s.host.StartHealthCheck(0)
	s.host.WatchEndpoints(true)
	s.host.WatchEndpoints(false)
	s.host.FetchEndpoints()
	s.host.SetTimer(7 * time.Millisecond)
	if now > time.Second {
		panic("more than\na second")
	}
}

func (s *transcript) Reconcile(now time.Duration)                                    { s.log(now, "reconcile") }
func (s *transcript) ClockCorrected(now, by time.Duration)                           { s.log(now, "redate", by) }
func (s *transcript) RequiredPosition(routing.RequestRef) (_ time.Duration, ok bool) { return 0, false }
