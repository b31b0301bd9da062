package link

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/gateway"
)

// serveConnection makes the link serve a connection whose other end is a scripted peer. It returns the error that ended it.
func serveConnection(t *testing.T, l *Link, peer func(k *Codec)) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	served := <-accepted
	require.NotNil(t, served)
	ended := make(chan error, 1)
	go func() { ended <- l.serve(served, func() {}) }()
	k := NewCodec(c)
	require.NoError(t, k.Greet())
	peer(k)
	require.NoError(t, c.Close())
	return <-ended
}

// readToEnd reads frames until the link closes the connection.
func readToEnd(k *Codec) {
	var f gateway.Frame
	for {
		if k.Read(&f) != nil {
			return
		}
	}
}

func TestConnectionErrorsCanBeDistinguished(t *testing.T) {
	hello := gateway.Frame{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: 5, CreditBytes: gateway.DefaultSettings.CreditBytes}
	l, _ := startListeningLink(t)
	for _, c := range []struct {
		name   string
		frames []gateway.Frame
		want   error
	}{
		{"wrong site", []gateway.Frame{{Kind: gateway.FrameHello, Site: "himal"}}, ErrWrongPeer},
		{"rejected", []gateway.Frame{{Kind: gateway.FrameReject, Reason: "no"}}, ErrRejectedByPeer},
		{"protocol violation", []gateway.Frame{hello, {Kind: 99}}, gateway.ErrProtocol},
		{"stale connection", []gateway.Frame{hello}, gateway.ErrStaleConnection},
	} {
		err := serveConnection(t, l, func(k *Codec) {
			for _, f := range c.frames {
				send(t, k, f)
			}
			readToEnd(k)
		})
		assert.ErrorIs(t, err, c.want, c.name)
	}
	replaced := hello
	replaced.ConnectionNumber = 20
	err := serveConnection(t, l, func(k *Codec) {
		send(t, k, replaced)
		var f gateway.Frame
		require.NoError(t, k.Read(&f))
		_, newer := dialAsPeer(t, l, 21)
		require.NoError(t, newer.Read(&f))
		readToEnd(k)
	})
	assert.Error(t, err)
	assert.True(t, l.Up(), "the newer connection is the current one")
}

func TestFrameOfAReplacedConnectionIsDiscarded(t *testing.T) {
	l, _ := startListeningLink(t)
	older, newer := net.Pipe()
	l.mu.Lock()
	l.conn = newer
	l.mu.Unlock()
	_, err := l.receive(older, &gateway.Frame{Kind: gateway.FramePing})
	assert.ErrorIs(t, err, ErrConnectionReplaced)
}

func TestAttemptErrorsCanBeDistinguished(t *testing.T) {
	a := &front.Attempt{}
	notSent := attemptFinished(a, &gateway.Outcome{NotExecuted: true})
	assert.ErrorIs(t, notSent.Err, ErrLinkDown)
	assert.Equal(t, front.StageWrite, notSent.Err.Stage)
	unknown := attemptFinished(a, &gateway.Outcome{})
	assert.ErrorIs(t, unknown.Err, ErrOutcomeUnknown)
	assert.Equal(t, front.StageRead, unknown.Err.Stage)
	overloaded := attemptFinished(a, &gateway.Outcome{NotExecuted: true, Overloaded: true})
	assert.Nil(t, overloaded.Err)
	assert.Equal(t, "53300", overloaded.Result.Code)
}
