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

// fakeRouter is a Router that sends every request to server 0 immediately. It panics when its timer fires.
type fakeRouter struct {
	routing.Host
	entries int
}

func (f *fakeRouter) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }
func (f *fakeRouter) FreshUntil(routing.RequestRef) (time.Duration, bool)       { return 0, false }
func (f *fakeRouter) MayServe(routing.RequestRef, routing.ReadResult) bool      { return true }
func (f *fakeRouter) EndpointsChanged(_ time.Duration, _ routing.UpdateKind, _ int64, endpoints []routing.Endpoint) {
	f.entries = len(endpoints)
}
func (f *fakeRouter) RequestReceived(_ time.Duration, t routing.Request)    { f.StartAttempt(t.Ref, 0, 0) }
func (f *fakeRouter) AttemptFinished(time.Duration, routing.AttemptOutcome) {}
func (f *fakeRouter) ClientGone(time.Duration, routing.RequestRef)          {}
func (f *fakeRouter) ClockCorrected(time.Duration, time.Duration)           {}
func (f *fakeRouter) GossipReceived(time.Duration, int, []byte)             {}
func (f *fakeRouter) TimerFired(time.Duration)                              { panic("timer fired") }
func (f *fakeRouter) Reconcile(time.Duration)                               {}
func (f *fakeRouter) HealthCheckFinished(time.Duration, int, routing.AttemptResult, time.Duration, routing.LoadReport) {
}

func newFakeRouter(h routing.Host, _ routing.Options) routing.Router {
	return &fakeRouter{Host: h}
}

// Events of the bench: the start of instance 0 with an endpoint list, and a request.
const startEvents = "born\tFront=front-0\tEntropy=1\tClasses.count=1\tClasses.0.Aim=1\tClasses.0.Deadline=2\t" +
	"Classes.0.Effect=read_like\tClasses.0.Group=all\tClasses.0.Name=r\tFamilyInfo.Zero=0\tZones=a\tLocality=a\t" +
	"FamilyInfo.ReadLevel=eventual\tFamilyInfo.StalenessBound=0\tFleetSize=1\tOrdinal=0\tDiscovery=push\tTick=1\t" +
	"FamilyInfo.RoleListed=silent\tFamilyInfo.Checks=silent\tFamilyInfo.WriteMarks=kept\tRules.AnswerSlack=1\t" +
	"Rules.StopSendingWithin=1\tRules.Cold=1\tRules.Fall=1\tLimits.AttemptsCap=1\n" +
	"catalog\tPage=0\tElements=1\nentry\tStore=70\tRegionPart=a\tModel=m\tDb=4\tState=SERVING\n" +
	"targets\tFront=front-0\tKind=cached\tEpoch=1\tPage=0\n"

const requestEvent = "order\tFront=front-0\tRid=c:a\tQos=r\tPartitionNo=4\tBudget=9\n"

// run runs the adapter on batches of events and returns its output.
func run(batches ...string) (string, error) {
	var in, out strings.Builder
	for _, b := range batches {
		in.WriteString("mark\tClock=5\tbatch=1\n" + b + "your_turn\n")
	}
	err := Run(strings.NewReader(in.String()), &out, newFakeRouter)
	return out.String(), err
}

func TestAttemptCarriesTheIDsOfTheBench(t *testing.T) {
	out, err := run("", startEvents+requestEvent)
	require.NoError(t, err)
	assert.Equal(t, "ack\tbatch=1\nhand_off\tFront=front-0\tRid=c:a\tStore=70\tGiveUpAfter=0\nack\tbatch=1\n", out)
}

func TestInstanceStartedAfterCrashIsEmpty(t *testing.T) {
	out, err := run(startEvents+requestEvent, "crash_now\tFront=front-0\n"+startEvents+requestEvent)
	require.NoError(t, err, "the id of the earlier request is not known to the new instance")
	assert.Equal(t, 2, strings.Count(out, "hand_off"))
}

func TestInvalidEventEndsRunWithItsCause(t *testing.T) {
	for batch, want := range map[string]struct {
		text  string
		cause error
	}{
		requestEvent: {"front-0, which is not running", ErrUnknownInstance},
		startEvents + "ping_result\tFront=front-0\tStore=71\tEnding=success\n": {"field Store: 71", ErrUnknownID},
		startEvents + "targets\tFront=front-0\tKind=full\tEpoch=2\tPage=3\n": {"field Page: page 3 was not received",
			ErrUnknownID},
		startEvents + strings.Replace(requestEvent, "Qos=r", "Qos=s", 1):                 {"field Qos: \"s\"", ErrUnknownID},
		startEvents + "resolved\tFront=front-0\tRid=c:b\tStore=70\tHop=0\tEnding=void\n": {"field Rid: request c:b", ErrUnknownID},
		startEvents + requestEvent + requestEvent:                                        {"field Rid: request c:a is already in flight", ErrDuplicateID},
		"mark\tClock=5\tbatch=2\n":                                                       {"batch 1: mark within a batch", ErrBatchOrder},
		"your_turn\n" + requestEvent:                                                     {"event outside a batch, before a mark", ErrBatchOrder},
		"what\tFront=front-0\n":                                                          {"unknown event", wire.ErrUnknownEvent},
	} {
		_, err := run(batch)
		require.ErrorContains(t, err, want.text, batch)
		assert.ErrorIs(t, err, want.cause, batch)
	}
	assert.ErrorIs(t, Run(strings.NewReader("mark\tClock=5\tbatch=1\n"), io.Discard, newFakeRouter), io.ErrUnexpectedEOF)
}

func TestPanicOfRouterIsReported(t *testing.T) {
	out, err := run(startEvents + "alarm\tFront=front-0\tToken=wake\n")
	require.NoError(t, err)
	assert.Contains(t, out, "panic\tFront=front-0\tMsg=timer fired\n")
}
