package link

import (
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

// wallClock is a front.Clock that returns the time since its start and has no timer.
type wallClock struct{ start time.Time }

func (s wallClock) Now() time.Duration        { return time.Since(s.start) }
func (s wallClock) SetTimer(time.Duration)    {}
func (s wallClock) WallOffset() time.Duration { return 0 }
func (s wallClock) TimerC() <-chan time.Time  { return nil }

// startListeningLink starts a link that listens, so that a scripted peer can dial it. posted returns the events that were passed to
// the front.
func startListeningLink(t *testing.T) (l *Link, posted func() []front.Event) {
	var mu sync.Mutex
	var all []front.Event
	l, err := New(Options{LocalSite: "pokhara", PeerSite: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.DefaultSettings, Epoch: 5,
		Clock: wallClock{time.Now()}, ParseStatement: pgwire.ParseStatement,
		Post: func(e front.Event) { mu.Lock(); all = append(all, e); mu.Unlock() }})
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	return l, func() []front.Event { mu.Lock(); defer mu.Unlock(); return append([]front.Event{}, all...) }
}

// dialAsPeer dials a link as a scripted peer of epoch 7 and sends its hello.
func dialAsPeer(t *testing.T, l *Link, number uint64) (net.Conn, *Codec) {
	return dialAsProcess(t, l, 7, number)
}

// dialAsProcess dials a link as the process of the scripted peer that has the given epoch, and sends its hello.
func dialAsProcess(t *testing.T, l *Link, epoch, number uint64) (net.Conn, *Codec) {
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	k := NewCodec(c)
	require.NoError(t, k.Greet())
	send(t, k, gateway.Frame{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: epoch, ConnectionNumber: number, CreditBytes: gateway.DefaultSettings.CreditBytes})
	return c, k
}

// send writes a frame to the connection.
func send(t *testing.T, k *Codec, f gateway.Frame) {
	require.NoError(t, k.Append(&f))
	require.NoError(t, k.Flush())
}

func TestProtocolViolationEndsTheConnectionAndNothingElse(t *testing.T) {
	l, posted := startListeningLink(t)
	statement := append([]byte("SELECT 'x' /* id=a,c=browse,d=500,cluster=1 */"), 0)
	for i, f := range []gateway.Frame{
		{Kind: 99},
		{Kind: gateway.FrameCredit, CreditBytes: 1 << 40},
		{Kind: gateway.FrameCredit, CreditBytes: -1},
		{Kind: gateway.FrameForward, ID: 1, Serial: 1, Timeout: time.Second, MaxAttempts: 1},
		{Kind: gateway.FrameForward, ID: 1, Serial: 0, Timeout: time.Second, MaxAttempts: 1, Data: statement},
		{Kind: gateway.FrameHello},
	} {
		c, k := dialAsPeer(t, l, uint64(10+i))
		var h gateway.Frame
		require.NoError(t, k.Read(&h))
		require.Equal(t, gateway.FrameHello, h.Kind)
		send(t, k, f)
		readToEnd(k) // a ping may arrive first
		c.Close()
	}
	// Results for requests that were never sent, and cancellations and outcome requests for requests that were never received, may be
	// late frames. They are not violations.
	_, k := dialAsPeer(t, l, 100)
	var h gateway.Frame
	require.NoError(t, k.Read(&h))
	send(t, k, gateway.Frame{Kind: gateway.FrameResult, ID: 77, Status: gateway.StatusSucceeded, Data: []byte("x")})
	send(t, k, gateway.Frame{Kind: gateway.FrameCancel, ID: 78})
	send(t, k, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 79, AttemptNumber: 1, Serial: 9})
	for h.Kind != gateway.FrameNotExecuted {
		require.NoError(t, k.Read(&h))
	}
	assert.EqualValues(t, 79, h.ID)
	for _, e := range posted() {
		_, arrival := e.(*front.Request)
		assert.False(t, arrival, "no request reached the front")
	}
}

// A hello with an older connection number must be rejected, and must not end the newer connection.
func TestStaleConnectionIsRejectedAndTheNewerOneStays(t *testing.T) {
	l, _ := startListeningLink(t)
	_, newer := dialAsPeer(t, l, 5)
	var h gateway.Frame
	require.NoError(t, newer.Read(&h))
	_, older := dialAsPeer(t, l, 4)
	require.NoError(t, older.Read(&h))
	assert.Equal(t, gateway.FrameReject, h.Kind)
	assert.Contains(t, h.Reason, "older than 5")
	send(t, newer, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 1, AttemptNumber: 1, Serial: 1})
	for h.Kind != gateway.FrameNotExecuted {
		require.NoError(t, newer.Read(&h))
	}
}

func TestOtherVersionsAndProgramsAreNamedInTheError(t *testing.T) {
	l, _ := startListeningLink(t)
	for _, p := range []struct{ preamble, want string }{{"DRLK\x00\x09", "version 9"}, {"GET / ", "not a gateway"}} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		k := NewCodec(&preambleConn{Conn: c, preamble: p.preamble})
		err = k.Greet()
		c.Close()
		require.NoError(t, err, "the listener sends its own version first")
		a, b := net.Pipe()
		go func() { b.Write([]byte(p.preamble)); b.Read(make([]byte, 6)) }()
		go b.Read(make([]byte, 6))
		assert.ErrorContains(t, NewCodec(a).Greet(), p.want)
		a.Close()
	}
}

// preambleConn replaces the preamble that is written to it with another one.
type preambleConn struct {
	net.Conn
	preamble string
}

func (o *preambleConn) Write(b []byte) (int, error) {
	o.Conn.Write([]byte(o.preamble))
	return len(b), nil
}
