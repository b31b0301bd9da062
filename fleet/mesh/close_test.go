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

// Guards against a data race between Close and the TLS handshake. Close read the variable that the handshake overwrites with the TLS
// connection. That variable is an interface value of two words, so Close could combine the type of one connection with the data of the
// other. Only the race detector notices it (go test -race).
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
	time.Sleep(100 * time.Millisecond) // reading the greeting instead would synchronize both goroutines and hide the race
	m.Close()
	_, err = io.Copy(io.Discard, c)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}
