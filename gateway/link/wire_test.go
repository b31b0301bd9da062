package link

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/gateway"
)

// assertGolden checks that the lines are equal to those of a file in testdata.
func assertGolden(t *testing.T, file string, got []string) {
	t.Helper()
	want, err := os.ReadFile("testdata/" + file)
	require.NoError(t, err)
	assert.Equal(t, strings.Split(strings.TrimSuffix(string(want), "\n"), "\n"), got)
}

// stream is a connection that returns given input and records what is written to it.
type stream struct {
	in  *strings.Reader
	out bytes.Buffer
}

func (s *stream) Read(b []byte) (int, error)  { return s.in.Read(b) }
func (s *stream) Write(b []byte) (int, error) { return s.out.Write(b) }

// fullFrame returns a frame with every field set, so that the position of each field in the encoding is tested.
func fullFrame(kind gateway.FrameKind) gateway.Frame {
	return gateway.Frame{Kind: kind, ID: 1 << 40, AttemptNumber: 3, Serial: 1 << 33, Group: -7, Timeout: 1500 * time.Millisecond, MaxAttempts: 2,
		Write: true, MinPosition: 1767225600123, Data: []byte("SELECT 1\x00"), Status: gateway.StatusUnknown, Code: "40000", Reason: "reason",
		RetryAfter: 250 * time.Millisecond, Role: 1, ReplicaPosition: 1767225600456, Age: 20 * time.Millisecond, AgeKnown: true, CreditBytes: 1 << 20,
		Epoch: math.MaxUint64, ConnectionNumber: 9, Site: "pokhara"}
}

func TestFramesOnTheWire(t *testing.T) {
	frames := []gateway.Frame{{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: 1, CreditBytes: 1 << 20},
		{Kind: gateway.FrameForward, ID: 5, AttemptNumber: 1, Serial: 2, Group: 3, Timeout: time.Second, MaxAttempts: 2, Write: true, MinPosition: 17, Data: []byte("SELECT 1\x00")},
		{Kind: gateway.FrameResult, ID: 5, AttemptNumber: 1, Status: gateway.StatusSucceeded, Data: []byte("row"), Role: 1, ReplicaPosition: 18, Age: time.Millisecond, AgeKnown: true},
		{Kind: gateway.FrameResult, ID: 5, AttemptNumber: 1, Status: gateway.StatusRejected, RetryAfter: time.Second},
		{Kind: gateway.FrameResult, ID: 5, AttemptNumber: 1, Status: gateway.StatusUnknown},
		{Kind: gateway.FrameResult, ID: 5, AttemptNumber: 1, Status: gateway.StatusInvalid, Code: "42601", Reason: "no"},
		{Kind: gateway.FrameCancel, ID: 5, AttemptNumber: 1}, {Kind: gateway.FrameOutcomeRequest, ID: 5, AttemptNumber: 1, Serial: 2}, {Kind: gateway.FrameStillRunning, ID: 5, AttemptNumber: 1},
		{Kind: gateway.FrameNotExecuted, ID: 5, AttemptNumber: 1}, {Kind: gateway.FrameCredit, CreditBytes: 300}, {Kind: gateway.FramePing}, {Kind: gateway.FrameReject, Reason: "no"}}
	for kind := gateway.FrameHello; kind <= gateway.FrameReject; kind++ {
		frames = append(frames, fullFrame(kind))
	}
	s := &stream{in: strings.NewReader("DRLK\x00\x01")}
	k := NewCodec(s)
	require.NoError(t, k.Greet())
	require.NoError(t, k.Flush())
	got := []string{fmt.Sprintf("preamble %x", s.out.Bytes())}
	for _, f := range frames {
		s.out.Reset()
		require.NoError(t, k.Append(&f))
		require.NoError(t, k.Flush())
		got = append(got, fmt.Sprintf("%d %x", f.Kind, s.out.Bytes()))
		s.in.Reset(s.out.String())
		var decoded gateway.Frame
		require.NoError(t, k.Read(&decoded))
		assert.Equal(t, f, decoded)
	}
	assertGolden(t, "frames.txt", got)
}

// Runs an endpoint through a fixed sequence of events and compares the frames that it sends, in order and byte by byte.
func TestFramesOfAScriptedExchange(t *testing.T) {
	const ms = time.Millisecond
	set := gateway.DefaultSettings
	set.HeartbeatInterval, set.PeerTimeout = 100*ms, 300*ms
	endpoint := gateway.New(set, 100)
	var got []string
	out := func(now time.Duration, event string) {
		for f, ok := endpoint.NextFrame(now); ok; f, ok = endpoint.NextFrame(now) {
			s := &stream{}
			k := NewCodec(s)
			require.NoError(t, k.Append(&f))
			require.NoError(t, k.Flush())
			got = append(got, fmt.Sprintf("%s: %x", event, s.out.Bytes()))
		}
		for _, e := range endpoint.TakeOutcomes() {
			status := gateway.ResultStatus(0)
			if e.Result != nil {
				status = e.Result.Status
			}
			got = append(got, fmt.Sprintf("%s: end %d %d never=%t full=%t word=%d took=%v", event, e.ID, e.AttemptNumber, e.NotExecuted, e.Overloaded, status, e.Elapsed))
		}
		for _, s := range endpoint.TakePeerRequests() {
			got = append(got, fmt.Sprintf("%s: start %d abort=%t %d %v %d %d %q", event, s.Execution, s.IsCancel, s.Group, s.Timeout, s.MaxAttempts, s.MinPosition, s.Data))
		}
	}
	forward := func(now time.Duration, id uint64, attempt uint32, group int64) {
		endpoint.Forward(now, gateway.ForwardedRequest{ID: id, AttemptNumber: attempt, Group: group, Deadline: now + 2*time.Second, MaxAttempts: 2, Write: true, MinPosition: 17,
			Message: []byte("SELECT 1\x00")})
	}
	receive := func(now time.Duration, f gateway.Frame) { require.NoError(t, endpoint.Receive(now, &f)) }
	hello := gateway.Frame{Kind: gateway.FrameHello, Site: "pokhara", Epoch: 7, ConnectionNumber: 1, CreditBytes: 1 << 20}

	forward(0, 1, 0, 3)
	out(0, "forward before the link is up")
	require.NoError(t, endpoint.AcceptHello(0, &hello, 1, true))
	out(0, "greeted")
	require.NoError(t, endpoint.Receive(0, &gateway.Frame{Kind: gateway.FramePing}))
	for id := uint64(2); id <= 6; id++ {
		forward(ms, id, 0, int64(id%2))
	}
	out(ms, "five requests of two groups")
	receive(2*ms, gateway.Frame{Kind: gateway.FrameResult, ID: 2, Status: gateway.StatusSucceeded, Data: []byte("row")})
	receive(2*ms, gateway.Frame{Kind: gateway.FrameResult, ID: 3, Status: gateway.StatusRejected, RetryAfter: time.Second})
	out(2*ms, "two results")
	endpoint.Cancel(4, 0)
	out(3*ms, "request 4 given up")
	endpoint.ConnectionLost(4 * ms)
	out(4*ms, "link lost")
	hello.ConnectionNumber = 2
	endpoint.Cancel(6, 0)
	require.NoError(t, endpoint.AcceptHello(10*ms, &hello, 2, true))
	out(10*ms, "greeted again")
	receive(11*ms, gateway.Frame{Kind: gateway.FrameNotExecuted, ID: 5})
	out(11*ms, "never ran")
	receive(12*ms, gateway.Frame{Kind: gateway.FrameForward, ID: 50, Serial: 1, Group: 9, Timeout: time.Second, MaxAttempts: 1, Write: true, MinPosition: 5, Data: []byte("SELECT 2\x00")})
	receive(12*ms, gateway.Frame{Kind: gateway.FrameForward, ID: 51, Serial: 2, Group: 9, Timeout: time.Second, MaxAttempts: 1, Data: []byte("SELECT 3\x00")})
	out(12*ms, "two requests of the peer")
	receive(13*ms, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 50, Serial: 1})
	out(13*ms, "asked while it runs")
	endpoint.ExecutionFinished(20*ms, 1, gateway.Frame{Status: gateway.StatusSucceeded, Data: []byte("row"), Age: 5 * ms, AgeKnown: true, Role: 1, ReplicaPosition: 18})
	out(25*ms, "answered, 5 ms later")
	receive(26*ms, gateway.Frame{Kind: gateway.FrameCancel, ID: 51})
	out(26*ms, "canceled by the peer")
	receive(27*ms, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 60, Serial: 3})
	out(27*ms, "asked of what never came")
	receive(30*ms, gateway.Frame{Kind: gateway.FrameForward, ID: 50, AttemptNumber: 1, Serial: 4, Group: 9, Timeout: time.Second, MaxAttempts: 1, Write: true, Data: []byte("SELECT 2\x00")})
	out(30*ms, "a served write comes again")
	require.NoError(t, endpoint.Tick(200*ms))
	out(200*ms, "heartbeat")
	require.Error(t, endpoint.Tick(400*ms))
	out(400*ms, "silence")
	assertGolden(t, "exchange.txt", got)
}

// The reasons that a peer receives when its hello is rejected are part of the wire protocol.
func TestReasonsOfRejectedHellos(t *testing.T) {
	l, _ := startListeningLink(t)
	_, newer := dialAsPeer(t, l, 5)
	var h gateway.Frame
	require.NoError(t, newer.Read(&h))
	var got []string
	for _, f := range []gateway.Frame{
		{Kind: gateway.FrameHello, Site: "himal", Epoch: 7, ConnectionNumber: 6, CreditBytes: gateway.DefaultSettings.CreditBytes},
		{Kind: gateway.FramePing, Site: "kathmandu", Epoch: 7, ConnectionNumber: 6, CreditBytes: gateway.DefaultSettings.CreditBytes},
		{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: 6, CreditBytes: 5},
		{Kind: gateway.FrameHello, Site: "kathmandu", ConnectionNumber: 6, CreditBytes: gateway.DefaultSettings.CreditBytes},
		{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: 4, CreditBytes: gateway.DefaultSettings.CreditBytes},
	} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		k := NewCodec(c)
		require.NoError(t, k.Greet())
		send(t, k, f)
		h = gateway.Frame{}
		require.NoError(t, k.Read(&h))
		assert.Equal(t, gateway.FrameReject, h.Kind)
		got = append(got, h.Reason)
		c.Close()
	}
	assertGolden(t, "rejections.txt", got)
}
