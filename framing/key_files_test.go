package framing

import (
	"bytes"
	"crypto/x509"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestKeysAreCreatedSignedAndVerified(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name string, data []byte) string {
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
	assert.ErrorIs(t, err, ErrNotRoot)
	assert.ErrorContains(t, err, "keys new --root")
	_, err = SignCertificate(append(own, own...), root, rootKey, 20)
	assert.ErrorIs(t, err, ErrNotOneCertificate)
	f := KeyFiles{Key: writeFile("k", key), Certificate: writeFile("c", signed), Trust: writeFile("t", root)}
	ends, err := f.Check(time.Now())
	require.NoError(t, err)
	assert.WithinDuration(t, time.Now().AddDate(0, 0, 20), ends, time.Hour)
	_, err = f.Check(time.Now().AddDate(0, 0, 21))
	assert.ErrorContains(t, err, "replace it")
	assert.ErrorIs(t, err, ErrCertificateExpired)
	f.Trust = writeFile("e", nil)
	_, err = f.Check(time.Now())
	assert.ErrorIs(t, err, ErrNoCertificate)
	assert.ErrorContains(t, err, f.Trust)

	// An untrusted certificate with the expected name and a trusted one with another name are rejected.
	ownFiles := KeyFiles{Key: f.Key, Certificate: f.Certificate, Trust: writeFile("r", root)}
	config, err := ownFiles.TLSConfig("kathmandu")
	require.NoError(t, err)
	_, untrusted, err := NewKeyPair("kathmandu", false, 50)
	require.NoError(t, err)
	rawCertificates := func(data []byte) [][]byte {
		all, err := ParseCertificates(data)
		require.NoError(t, err)
		return [][]byte{all[0].Raw}
	}
	assert.ErrorIs(t, config.VerifyPeerCertificate(nil, nil), ErrNoCertificate)
	var unknown x509.UnknownAuthorityError
	assert.ErrorAs(t, config.VerifyPeerCertificate(rawCertificates(untrusted), nil), &unknown)
	err = config.VerifyPeerCertificate(rawCertificates(signed), nil)
	assert.ErrorContains(t, err, "kathmandu was expected")
	var name PeerNameError
	require.ErrorAs(t, err, &name)
	assert.Equal(t, PeerNameError{Names: []string{"pokhara"}, Expected: "kathmandu"}, name)
	trusted, err := SignCertificate(untrusted, root, rootKey, 20)
	require.NoError(t, err)
	assert.NoError(t, config.VerifyPeerCertificate(rawCertificates(trusted), nil))
}

func TestCertificateExpiryIsLoggedDaysBefore(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	KeyFiles{}.warnIfExpiring(time.Now().AddDate(0, 0, 30))
	assert.Empty(t, log.String())
	KeyFiles{Certificate: "c"}.warnIfExpiring(time.Now().AddDate(0, 0, 3))
	assert.Contains(t, log.String(), "certificate expires soon")
}

// docs/terms-audit.md (Time): a machine's wall clock may be stepped, by seconds or by an hour. The validity of certificates is given in
// wall-clock time. So a certificate that one machine has just created must be valid on another one whose clock is an hour and some
// seconds behind.
func TestNewCertificateIsValidWithTheClockAnHourBehind(t *testing.T) {
	_, certificate, err := NewKeyPair("kathmandu", false, 30)
	require.NoError(t, err)
	own, err := ParseCertificates(certificate)
	require.NoError(t, err)
	assert.True(t, own[0].NotBefore.Before(time.Now().Add(-time.Hour-5*time.Second)), "valid from %v", own[0].NotBefore)
}
