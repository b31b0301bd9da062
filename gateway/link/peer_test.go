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

// steady is a clock without a timer.
type steady struct{ start time.Time }

func (s steady) Now() time.Duration       { return time.Since(s.start) }
func (s steady) SetTimer(time.Duration)   {}
func (s steady) TimerC() <-chan time.Time { return nil }

// listening starts a link that a scripted peer dials; posted returns the events passed to its front.
func listening(t *testing.T) (l *Link, posted func() []front.Event) {
	var mu sync.Mutex
	var all []front.Event
	l, err := New(Options{LocalSite: "pokhara", PeerSite: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.DefaultSettings, Epoch: 5,
		Clock: steady{time.Now()}, ParseStatement: pgwire.ParseStatement,
		Post: func(e front.Event) { mu.Lock(); all = append(all, e); mu.Unlock() }})
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	return l, func() []front.Event { mu.Lock(); defer mu.Unlock(); return append([]front.Event{}, all...) }
}

// peer dials a link as a scripted peer and sends its hello.
func peer(t *testing.T, l *Link, number uint64) (net.Conn, *Codec) {
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	k := NewCodec(c)
	require.NoError(t, k.Greet())
	send(t, k, gateway.Frame{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: number, CreditBytes: gateway.DefaultSettings.CreditBytes})
	return c, k
}

func send(t *testing.T, k *Codec, f gateway.Frame) {
	require.NoError(t, k.Append(&f))
	require.NoError(t, k.Flush())
}

func TestProtocolViolationEndsTheConnectionAndNothingElse(t *testing.T) {
	l, posted := listening(t)
	statement := append([]byte("SELECT 'x' /* id=a,c=browse,d=500,cluster=1 */"), 0)
	for i, f := range []gateway.Frame{
		{Kind: 99},
		{Kind: gateway.FrameCredit, CreditBytes: 1 << 40},
		{Kind: gateway.FrameCredit, CreditBytes: -1},
		{Kind: gateway.FrameForward, ID: 1, Serial: 1, Timeout: time.Second, MaxAttempts: 1},
		{Kind: gateway.FrameForward, ID: 1, Serial: 0, Timeout: time.Second, MaxAttempts: 1, Data: statement},
		{Kind: gateway.FrameHello},
	} {
		c, k := peer(t, l, uint64(10+i))
		var h gateway.Frame
		require.NoError(t, k.Read(&h))
		require.Equal(t, gateway.FrameHello, h.Kind)
		send(t, k, f)
		readToEnd(k) // a ping may arrive first
		c.Close()
	}
	// Results of requests that nobody sent, cancellations and outcome requests of what never arrived are no violations: they may be late.
	_, k := peer(t, l, 100)
	var h gateway.Frame
	require.NoError(t, k.Read(&h))
	send(t, k, gateway.Frame{Kind: gateway.FrameResult, ID: 77, Status: gateway.StatusServed, Data: []byte("x")})
	send(t, k, gateway.Frame{Kind: gateway.FrameCancel, ID: 78})
	send(t, k, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 79, AttemptNumber: 1, Serial: 9})
	for h.Kind != gateway.FrameNotExecuted {
		require.NoError(t, k.Read(&h))
	}
	assert.EqualValues(t, 79, h.ID)
	for _, e := range posted() {
		_, arrival := e.(*front.Request)
		assert.False(t, arrival, "nothing of it reached the front")
	}
}

// An older connection comes to life beside the new one: it is rejected, and the new one lives.
func TestStaleConnectionIsRejectedAndTheNewerOneLives(t *testing.T) {
	l, _ := listening(t)
	_, newer := peer(t, l, 5)
	var h gateway.Frame
	require.NoError(t, newer.Read(&h))
	_, older := peer(t, l, 4)
	require.NoError(t, older.Read(&h))
	assert.Equal(t, gateway.FrameReject, h.Kind)
	assert.Contains(t, h.Reason, "older than 5")
	send(t, newer, gateway.Frame{Kind: gateway.FrameOutcomeRequest, ID: 1, AttemptNumber: 1, Serial: 1})
	for h.Kind != gateway.FrameNotExecuted {
		require.NoError(t, newer.Read(&h))
	}
}

func TestOtherVersionsAndProgramsAreNamedInTheError(t *testing.T) {
	l, _ := listening(t)
	for _, p := range []struct{ first, want string }{{"DRLK\x00\x09", "version 9"}, {"GET / ", "no gateway"}} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		k := NewCodec(&other{Conn: c, first: p.first})
		err = k.Greet()
		c.Close()
		require.NoError(t, err, "the listener sends its own version first")
		a, b := net.Pipe()
		go func() { b.Write([]byte(p.first)); b.Read(make([]byte, 6)) }()
		go b.Read(make([]byte, 6))
		assert.ErrorContains(t, NewCodec(a).Greet(), p.want)
		a.Close()
	}
}

// other writes another preamble than it is given.
type other struct {
	net.Conn
	first string
}

func (o *other) Write(b []byte) (int, error) { o.Conn.Write([]byte(o.first)); return len(b), nil }
