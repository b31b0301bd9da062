package adapter

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
	"dapplerouter/wire"
)

// echo sends every request to server 0 at once and panics when its timer fires.
type echo struct {
	routing.Host
	entries int
}

func (e *echo) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }
func (e *echo) EndpointsChanged(_ time.Duration, _ routing.UpdateKind, _ int64, l []routing.Endpoint) {
	e.entries = len(l)
}
func (e *echo) RequestReceived(_ time.Duration, t routing.Request)    { e.StartAttempt(t.Ref, 0, 0) }
func (e *echo) AttemptFinished(time.Duration, routing.AttemptOutcome) {}
func (e *echo) ClientGone(time.Duration, routing.RequestRef)          {}
func (e *echo) ClockCorrected(time.Duration, time.Duration)           {}
func (e *echo) GossipReceived(time.Duration, int, []byte)             {}
func (e *echo) TimerFired(time.Duration)                              { panic("timer fired") }
func (e *echo) Reconcile(time.Duration)                               {}
func (e *echo) HealthCheckFinished(time.Duration, int, routing.AttemptResult, time.Duration, routing.LoadReport) {
}

func newEcho(h routing.Host, _ routing.Options) routing.Router {
	return &echo{Host: h}
}

const started = "born\tFront=front-0\tEntropy=1\tClasses.count=1\tClasses.0.Aim=1\tClasses.0.Deadline=2\t" +
	"Classes.0.Effect=read_like\tClasses.0.Group=all\tClasses.0.Name=r\tFamilyInfo.Zero=0\tZones=a\tLocality=a\t" +
	"FamilyInfo.ReadLevel=eventual\tFamilyInfo.StalenessBound=0\tFleetSize=1\tOrdinal=0\tDiscovery=push\tTick=1\t" +
	"FamilyInfo.RoleListed=silent\tFamilyInfo.Checks=silent\tFamilyInfo.WriteMarks=kept\tRules.AnswerSlack=1\t" +
	"Rules.StopSendingWithin=1\tRules.Cold=1\tRules.Fall=1\tLimits.AttemptsCap=1\n" +
	"catalog\tPage=0\tElements=1\nentry\tStore=70\tRegionPart=a\tModel=m\tDb=4\tState=SERVING\n" +
	"targets\tFront=front-0\tKind=cached\tEpoch=1\tPage=0\n"

const order = "order\tFront=front-0\tRid=c:a\tQos=r\tPartitionNo=4\tBudget=9\n"

func run(batches ...string) (string, error) {
	var in, out strings.Builder
	for _, b := range batches {
		in.WriteString("mark\tClock=5\tbatch=1\n" + b + "your_turn\n")
	}
	err := Run(strings.NewReader(in.String()), &out, newEcho)
	return out.String(), err
}

func TestRequestIsSentUnderItsOwnIDs(t *testing.T) {
	out, err := run("", started+order)
	require.NoError(t, err)
	assert.Equal(t, "ack\tbatch=1\nhand_off\tFront=front-0\tRid=c:a\tStore=70\tGiveUpAfter=0\nack\tbatch=1\n", out)
}

func TestInstanceStartedAfterCrashIsEmpty(t *testing.T) {
	out, err := run(started+order, "crash_now\tFront=front-0\n"+started+order)
	require.NoError(t, err, "the id is unknown to the new one")
	assert.Equal(t, 2, strings.Count(out, "hand_off"))
}

func TestInvalidEventEndsRunWithItsCause(t *testing.T) {
	for batch, want := range map[string]struct {
		text  string
		cause error
	}{
		order: {"front-0, which is not running", ErrUnknownInstance},
		started + "ping_result\tFront=front-0\tStore=71\tEnding=success\n":           {"field Store: 71", ErrUnknownID},
		started + "targets\tFront=front-0\tKind=full\tEpoch=2\tPage=3\n":             {"field Page: no catalog 3", ErrUnknownID},
		started + strings.Replace(order, "Qos=r", "Qos=s", 1):                        {"field Qos: \"s\"", ErrUnknownID},
		started + "resolved\tFront=front-0\tRid=c:b\tStore=70\tHop=0\tEnding=void\n": {"field Rid: c:b", ErrUnknownID},
		started + order + order:    {"field Rid: c:a came twice", ErrDuplicateID},
		"mark\tClock=5\tbatch=2\n": {"batch 1: a mark within the batch", ErrBatchOrder},
		"your_turn\n" + order:      {"an event before any mark", ErrBatchOrder},
		"what\tFront=front-0\n":    {"unknown message", wire.ErrUnknownEvent},
	} {
		_, err := run(batch)
		require.ErrorContains(t, err, want.text, batch)
		assert.ErrorIs(t, err, want.cause, batch)
	}
	assert.ErrorIs(t, Run(strings.NewReader("mark\tClock=5\tbatch=1\n"), io.Discard, newEcho), io.ErrUnexpectedEOF)
}

func TestPanicOfRouterIsReported(t *testing.T) {
	out, err := run(started + "alarm\tFront=front-0\tToken=wake\n")
	require.NoError(t, err)
	assert.Contains(t, out, "panic\tFront=front-0\tMsg=timer fired\n")
}
