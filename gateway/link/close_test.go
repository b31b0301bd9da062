package link

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// Guards against a data race: Close, called during a TLS handshake, read the variable in which the handshake stores the TLS
// connection. Only the race detector finds it (go test -race). TestCloseDuringTLSHandshakeEndsTheConnection in fleet/mesh is the
// corresponding test there.
func TestLinkCloseDuringTLSHandshakeEndsTheConnection(t *testing.T) {
	pair := conntest.KeyPair(t, "pokhara")
	l, err := New(Options{LocalSite: "pokhara", PeerSite: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.DefaultSettings, Epoch: 5,
		Clock: wallClock{time.Now()}, ParseStatement: pgwire.ParseStatement, Post: func(front.Event) {},
		TLS: &tls.Config{Certificates: []tls.Certificate{pair}}})
	require.NoError(t, err)
	l.Run()
	c, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	time.Sleep(100 * time.Millisecond) // reading the link's preamble instead would synchronize the goroutines and hide the race
	l.Close()
	_, err = io.Copy(io.Discard, c)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a peer that holds up the front. The timer drops the connection of a peer that timed out while it holds the mutex. The
// close of a TLS connection first wrote close_notify, and waited up to 5 s for a peer that did not read. The front's core, which calls
// Send, waited as well.
func TestDropOfAConnectionToAPeerThatDoesNotReadTakesNoTime(t *testing.T) {
	l, err := New(Options{LocalSite: "pokhara", PeerSite: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.DefaultSettings, Epoch: 5,
		Clock: wallClock{time.Now()}, ParseStatement: pgwire.ParseStatement, Post: func(front.Event) {},
		TLS: &tls.Config{Certificates: []tls.Certificate{conntest.KeyPair(t, "pokhara")}, SessionTicketsDisabled: true}})
	require.NoError(t, err)
	t.Cleanup(l.Close) // the timer does not run: the test drops the connection
	local, pipe := net.Pipe()
	t.Cleanup(func() { pipe.Close() })
	require.NoError(t, pipe.SetDeadline(time.Now().Add(10*time.Second)))
	served := make(chan error, 1)
	go func() { served <- l.serve(local, func() {}) }()
	remote := tls.Client(pipe, &tls.Config{InsecureSkipVerify: true})
	_, err = io.ReadFull(remote, make([]byte, 6)) // without buffers, one side must read the other's preamble before it writes its own
	require.NoError(t, err)
	_, err = remote.Write([]byte{'D', 'R', 'L', 'K', 0, protocol.Version})
	require.NoError(t, err)
	k := NewCodec(remote)
	send(t, k, gateway.Frame{Kind: gateway.FrameHello, Site: "kathmandu", Epoch: 7, ConnectionNumber: 1, CreditBytes: gateway.DefaultSettings.CreditBytes})
	var hello gateway.Frame
	require.NoError(t, k.Read(&hello))
	time.Sleep(100 * time.Millisecond) // the writer waits for frames

	began := time.Now()
	l.mu.Lock()
	l.dropConnection()
	l.mu.Unlock()
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Error(t, <-served)
}
