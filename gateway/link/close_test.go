package link

import (
	"crypto/tls"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/framing"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
)

// Guards against a data race: Close, called during a TLS handshake, read the variable in which the handshake stores the TLS
// connection. Only the race detector finds it (go test -race). TestCloseDuringTLSHandshakeEndsTheConnection in fleet/mesh is the
// corresponding test there.
func TestLinkCloseDuringTLSHandshakeEndsTheConnection(t *testing.T) {
	key, certificate, err := framing.NewKeyPair("pokhara", false, 1)
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(certificate, key)
	require.NoError(t, err)
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
