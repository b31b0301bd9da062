package mesh

import (
	"crypto/tls"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// Closing a mesh while a connection was in its handshake read the variable that the handshake replaced with the TLS connection: two
// words, so that the close could call one connection with the type of the other. Only the race detector fails here (go test -race).
func TestCloseDuringTLSHandshakeEndsTheConnection(t *testing.T) {
	key, certificate, err := framing.NewKeyPair("a", false, 1)
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(certificate, key)
	require.NoError(t, err)
	node, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, Timing: timing, Seed: 1}, nil)
	require.NoError(t, err)
	m, err := New(Options{Listen: "127.0.0.1:0", Node: node, Timing: timing, OnEvent: func(time.Duration, fleet.Event) {},
		Keys: func(string) (*tls.Config, error) { return &tls.Config{Certificates: []tls.Certificate{pair}}, nil }})
	require.NoError(t, err)
	m.Run()
	c, err := tls.Dial("tcp", m.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	time.Sleep(100 * time.Millisecond) // to read what it greets with would order the two for the race detector
	m.Close()
	_, err = io.Copy(io.Discard, c)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}
