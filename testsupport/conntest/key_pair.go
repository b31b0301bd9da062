package conntest

import (
	"crypto/tls"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplerouter/framing"
)

// KeyPair returns a new key with a self-signed certificate for a name, valid for a day.
func KeyPair(t *testing.T, name string) tls.Certificate {
	t.Helper()
	key, certificate, err := framing.NewKeyPair(name, false, 1)
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(certificate, key)
	require.NoError(t, err)
	return pair
}
