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

// Closing a link while a connection was in its handshake read the variable that the handshake replaced with the TLS connection; see
// TestCloseDuringTLSHandshakeEndsTheConnection in fleet/mesh. Only the race detector fails here (go test -race).
func TestLinkCloseDuringTLSHandshakeEndsTheConnection(t *testing.T) {
	key, certificate, err := framing.NewKeyPair("pokhara", false, 1)
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(certificate, key)
	require.NoError(t, err)
	l, err := New(Options{LocalSite: "pokhara", PeerSite: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.DefaultSettings, Epoch: 5,
		Clock: steady{time.Now()}, ParseStatement: pgwire.ParseStatement, Post: func(front.Event) {},
		TLS: &tls.Config{Certificates: []tls.Certificate{pair}}})
	require.NoError(t, err)
	l.Run()
	c, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	time.Sleep(100 * time.Millisecond) // to read what it greets with would order the two for the race detector
	l.Close()
	_, err = io.Copy(io.Discard, c)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}
