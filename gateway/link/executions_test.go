package link

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
)

// Guards against the execution of a canceled request. The peer lost its connection and canceled the request on a newer one, while the
// goroutine of the older connection was about to start the request. The cancellation found nothing to cancel, and the request
// was executed although the peer had been told that it had ended.
func TestRequestCanceledBeforeItsStartIsNotExecuted(t *testing.T) {
	parsing, resume := make(chan struct{}), make(chan struct{})
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { close(resume) }) })
	var mu sync.Mutex
	var posted []front.Event
	l, err := New(Options{LocalSite: "pokhara", PeerSite: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.DefaultSettings, Epoch: 5, Clock: wallClock{time.Now()},
		ParseStatement: func(body []byte) (pgwire.Statement, error) {
			close(parsing)
			<-resume
			return pgwire.ParseStatement(body)
		},
		Post: func(e front.Event) { mu.Lock(); posted = append(posted, e); mu.Unlock() }})
	require.NoError(t, err)
	l.Run()
	closeLink := sync.OnceFunc(l.Close)
	t.Cleanup(closeLink)

	_, older := dialAsPeer(t, l, 1)
	var f gateway.Frame
	require.NoError(t, older.Read(&f))
	send(t, older, gateway.Frame{Kind: gateway.FrameForward, ID: 1, AttemptNumber: 1, Serial: 1, Timeout: time.Second, MaxAttempts: 1,
		Data: append([]byte("SELECT 'x' /* id=a,c=browse,d=500,cluster=1 */"), 0)})
	<-parsing
	_, newer := dialAsPeer(t, l, 2)
	require.NoError(t, newer.Read(&f))
	send(t, newer, gateway.Frame{Kind: gateway.FrameCancel, ID: 1, AttemptNumber: 1})
	send(t, newer, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 1, AttemptNumber: 1, Serial: 1})
	for f.Kind != gateway.FrameResult {
		require.NoError(t, newer.Read(&f))
	}
	require.Equal(t, gateway.StatusUnknown, f.Status, "the request has ended")
	once.Do(func() { close(resume) })
	closeLink() // waits for the goroutine that was about to start the request
	mu.Lock()
	defer mu.Unlock()
	for _, e := range posted {
		_, request := e.(*front.Request)
		assert.False(t, request, "the request is not executed")
	}
	assert.Empty(t, l.executions)
}

// Nobody waits for what a process of the peer has asked for once another one connects: no further attempt of it is made.
func TestExecutionsForAnEarlierProcessAreCanceled(t *testing.T) {
	l, posted := startListeningLink(t)
	_, peer := dialAsProcess(t, l, 7, 1)
	var f gateway.Frame
	require.NoError(t, peer.Read(&f))
	send(t, peer, gateway.Frame{Kind: gateway.FrameForward, ID: 1, AttemptNumber: 1, Serial: 1, Timeout: time.Second, MaxAttempts: 1,
		Data: append([]byte("SELECT 'x' /* id=a,c=browse,d=500,cluster=1 */"), 0)})
	canceled := func() bool {
		for _, e := range posted() {
			if _, ok := e.(front.ClientGone); ok {
				return true
			}
		}
		return false
	}
	require.Eventually(t, func() bool { return len(posted()) > 1 }, 10*time.Second, time.Millisecond, "the link's state and the request")
	assert.False(t, canceled())
	dialAsProcess(t, l, 8, 1)
	require.Eventually(t, canceled, 10*time.Second, time.Millisecond)
}

// Guards against a result that a peer of an older version sends to another process than the one that asked: the numbers of requests begin
// anew with each process, what the peer is told does not.
func TestRequestIDsOfProcessesDiffer(t *testing.T) {
	const epochs, requests = 100, 100
	seen := map[uint64]bool{}
	for epoch := range uint64(epochs) {
		l := &Link{opts: Options{Epoch: (epoch + 1) * 0x9e3779b97f4a7c15}} // scattered over all bits, as random epochs are
		for slot := range uint64(requests) {
			f := front.ForwardedAttempt{RequestID: slot<<32 | 1}
			first := l.attemptKey(&f)
			f.AttemptNumber = 1
			assert.Equal(t, first.requestID, l.attemptKey(&f).requestID, "a retry keeps the ID")
			seen[first.requestID] = true
		}
	}
	assert.Len(t, seen, epochs*requests)
}

// A peer that receives a hello can rely on its connection: it is the current one before the hello is written, and an older hello that comes
// meanwhile is rejected with the reason.
func TestConnectionIsCurrentBeforeItsHelloIsSent(t *testing.T) {
	l, _ := startListeningLink(t)
	local, remote := net.Pipe() // without buffers: the link's hello waits until it is read
	t.Cleanup(func() { remote.Close() })
	require.NoError(t, remote.SetDeadline(time.Now().Add(10*time.Second)))
	served := make(chan error, 1)
	go func() { served <- l.serve(local, func() {}) }()
	_, err := io.ReadFull(remote, make([]byte, 6))
	require.NoError(t, err)
	_, err = remote.Write([]byte{'D', 'R', 'L', 'K', 0, protocol.Version})
	require.NoError(t, err)
	send(t, NewCodec(remote), gateway.Frame{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: 5, CreditBytes: gateway.DefaultSettings.CreditBytes})
	first := make([]byte, 1)
	_, err = io.ReadFull(remote, first)
	require.NoError(t, err)
	assert.True(t, l.Up())

	_, older := dialAsPeer(t, l, 4)
	var answer gateway.Frame
	require.NoError(t, older.Read(&answer))
	assert.Equal(t, gateway.FrameReject, answer.Kind)
	assert.Contains(t, answer.Reason, "older than 5")

	hello := NewCodec(struct {
		io.Reader
		io.Writer
	}{io.MultiReader(bytes.NewReader(first), remote), io.Discard})
	require.NoError(t, hello.Read(&answer))
	assert.Equal(t, gateway.FrameHello, answer.Kind)
	require.NoError(t, remote.Close())
	assert.Error(t, <-served)
	assert.False(t, l.Up(), "its end is the end of the link")
}
