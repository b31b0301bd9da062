package framing

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestKeysAreMadeSignedAndChecked(t *testing.T) {
	dir := t.TempDir()
	put := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	rootKey, root, err := NewKeyPair("himal", true, 100)
	require.NoError(t, err)
	key, own, err := NewKeyPair("pokhara", false, 50)
	require.NoError(t, err)
	signed, err := SignCertificate(own, root, rootKey, 20)
	require.NoError(t, err)
	_, err = SignCertificate(own, own, key, 20)
	assert.ErrorContains(t, err, "no root")
	f := KeyFiles{Key: put("k", key), Certificate: put("c", signed), Trust: put("t", root)}
	ends, err := f.Check(time.Now())
	require.NoError(t, err)
	assert.WithinDuration(t, time.Now().AddDate(0, 0, 20), ends, time.Hour)
	_, err = f.Check(time.Now().AddDate(0, 0, 21))
	assert.ErrorContains(t, err, "make a new one")
	f.Trust = put("e", nil)
	_, err = f.Check(time.Now())
	assert.ErrorContains(t, err, "holds no certificate")

	// A key of the right name that nobody trusts, and a trusted one of another name, are refused.
	ours := KeyFiles{Key: f.Key, Certificate: f.Certificate, Trust: put("r", root)}
	good, err := ours.TLSConfig("kathmandu")
	require.NoError(t, err)
	_, strange, err := NewKeyPair("kathmandu", false, 50)
	require.NoError(t, err)
	block := func(data []byte) [][]byte {
		all, err := ParseCertificates(data)
		require.NoError(t, err)
		return [][]byte{all[0].Raw}
	}
	assert.ErrorContains(t, good.VerifyPeerCertificate(block(strange), nil), "unknown authority")
	assert.ErrorContains(t, good.VerifyPeerCertificate(block(signed), nil), "kathmandu was expected")
	trusted, err := SignCertificate(strange, root, rootKey, 20)
	require.NoError(t, err)
	assert.NoError(t, good.VerifyPeerCertificate(block(trusted), nil))
}

func TestACertificateThatEndsSoonIsToldDaysBefore(t *testing.T) {
	var said bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&said, nil)))
	defer slog.SetDefault(before)
	KeyFiles{}.warn(time.Now().AddDate(0, 0, 30))
	assert.Empty(t, said.String())
	KeyFiles{Certificate: "c"}.warn(time.Now().AddDate(0, 0, 3))
	assert.Contains(t, said.String(), "a certificate ends soon")
}

// TERMS.md: "A machine's wall clock may be stepped, forward or back, by seconds or by an hour". Certificates are dated by it: what one
// machine has just made holds on another whose clock is an hour behind, and seconds more.
func TestANewCertificateHoldsWhereTheClockIsAnHourBehind(t *testing.T) {
	_, certificate, err := NewKeyPair("kathmandu", false, 30)
	require.NoError(t, err)
	own, err := ParseCertificates(certificate)
	require.NoError(t, err)
	assert.True(t, own[0].NotBefore.Before(time.Now().Add(-time.Hour-5*time.Second)), "from %v on", own[0].NotBefore)
}
