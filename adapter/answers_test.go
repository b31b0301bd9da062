package adapter

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/port"
)

// Every event of the wire goes in and every action comes out: the answers are the recorded ones, byte for byte. testdata/batches.txt is
// what the bench sends, testdata/answers.txt what the adapter answered when it was recorded.
func TestAnswersAreByteForByteTheRecordedOnes(t *testing.T) {
	batches, err := os.Open("testdata/batches.txt")
	require.NoError(t, err)
	t.Cleanup(func() { _ = batches.Close() }) // opened for reading
	recorded, err := os.ReadFile("testdata/answers.txt")
	require.NoError(t, err)
	var answers strings.Builder
	require.NoError(t, Run(batches, &answers, func(h port.Host, seed uint64, at port.Topology, types []port.RequestType, customers []port.Customer,
		_ port.Replication, _ port.Guardrails, allowed port.Allowance, _ port.Tariff) port.Decider {
		h.Log(fmt.Sprint("new ", seed, at.Zone, at.Zones, len(types), len(customers), allowed.Attempts))
		return &transcript{host: h}
	}))
	assert.Equal(t, string(recorded), answers.String())
}

// transcript logs each event, value by value, and uses each method of its host.
type transcript struct {
	host port.Host
}

func (s *transcript) log(now time.Duration, event string, values ...any) {
	s.host.Log(strings.TrimSuffix(fmt.Sprintln(append([]any{now, event}, values...)...), "\n"))
}

func report(l port.Load) []any {
	return []any{l.Held, l.Waiting, l.Position, l.HasPosition, int(l.Role), l.Busy, l.Service, l.Rate, l.ErrsRate}
}

func (s *transcript) List(now time.Duration, kind port.ListKind, version int64, entries []port.Entry) {
	s.log(now, "list", int(kind), version, len(entries))
	for _, e := range entries {
		s.log(now, "entry", e.Member, e.Zone, e.Kind, e.Group, int(e.State), e.Weight, e.Primary, e.Started, e.HasStarted)
	}
}

// Begin sends a request out, and one of type 1 also a second time, of which the first attempt is cancelled.
func (s *transcript) Begin(now time.Duration, t port.Request) {
	s.log(now, "request", t.Ref.Place, t.Ref.Turn, t.Type, t.Customer, t.Session, t.Group, t.Budget, t.Hint, t.TokenAge, t.Bound, t.Window, t.Retry, t.Write)
	s.host.Submit(t.Ref, 0, t.Budget/4)
	if t.Type == 1 {
		s.host.Submit(t.Ref, 1, 0)
		s.host.Cancel(t.Ref, 0)
	}
}

func (s *transcript) Ended(now time.Duration, o port.Outcome) {
	s.log(now, "ended", append([]any{o.Ref.Place, o.Ref.Turn, o.Hop, o.Member, int(o.Ending), o.Closed, o.Latency, o.Position, o.HasPosition, int(o.Role)},
		report(o.Load)...)...)
	switch {
	case o.Closed:
	case o.Ending == port.Errored:
		s.host.Reject(o.Ref, 5*time.Millisecond)
	case o.Ending == port.Full:
		s.host.Reject(o.Ref, 0)
	case o.Ending == port.TimedOut:
		s.host.Fail(o.Ref)
	case o.Ending == port.Missed:
		s.host.Submit(o.Ref, 1, 0)
	}
}

func (s *transcript) Left(now time.Duration, r port.Ref) { s.log(now, "left", r.Place, r.Turn) }

func (s *transcript) Probed(now time.Duration, member int, e port.Ending, latency time.Duration, l port.Load) {
	s.log(now, "probed", append([]any{member, int(e), latency}, report(l)...)...)
	if e == port.Unreachable {
		s.host.Forget(member)
	}
}

func (s *transcript) Heard(now time.Duration, peer int, message []byte) {
	s.log(now, "heard", peer, message)
	s.host.Tell(peer, message)
	s.host.Tell(port.None, nil)
}

func (s *transcript) Woken(now time.Duration) {
	s.log(now, "woken\twith a tab\nand a line")
	s.host.Probe(0)
	s.host.Watch(true)
	s.host.Watch(false)
	s.host.Fetch()
	s.host.Wake(7 * time.Millisecond)
	if now > time.Second {
		panic("more than\na second")
	}
}

func (s *transcript) Reconcile(now time.Duration)                { s.log(now, "reconcile") }
func (s *transcript) Redate(now, by time.Duration)               { s.log(now, "redate", by) }
func (s *transcript) Target(port.Ref) (_ time.Duration, ok bool) { return 0, false }
