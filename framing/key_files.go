package framing

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"time"
)

// KeyFiles holds the paths of PEM files: an instance's key, its certificate, and the certificates that it trusts. The file Trust
// contains the operator's root certificate or the peer's own certificate (pinned), or several of these while keys are being replaced.
type KeyFiles struct{ Key, Certificate, Trust string }

// warnBeforeExpiry is how long before the expiry of a certificate a warning is logged.
const warnBeforeExpiry = 14 * 24 * time.Hour

// Check returns the time until which an instance with these files can open links. It is the earliest expiry of the instance's certificate
// and of the trusted certificates that have not expired by now. The error is nil if the instance can open links now. It is
// ErrCertificateExpired if the instance's certificate or all trusted ones have expired, ErrNoCertificate if the file of trusted
// certificates contains none, or the error of a file that cannot be read or used. It names the file.
func (f KeyFiles) Check(now time.Time) (expires time.Time, err error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return expires, fmt.Errorf("%s: %w", f.Certificate, err)
	}
	own, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return expires, fmt.Errorf("%s: %w", f.Certificate, err)
	}
	if now.After(own.NotAfter) {
		return own.NotAfter, fmt.Errorf("%s: %w on %s: replace it", f.Certificate, ErrCertificateExpired, own.NotAfter.Format(time.DateOnly))
	}
	trusted, err := f.trustedCertificates()
	if err != nil {
		return expires, err
	}
	expires = own.NotAfter
	if !slices.ContainsFunc(trusted, func(c *x509.Certificate) bool { return now.Before(c.NotAfter) }) {
		return expires, fmt.Errorf("%s: %w: all trusted certificates have expired", f.Trust, ErrCertificateExpired)
	}
	for _, c := range trusted {
		if c.NotAfter.Before(expires) && now.Before(c.NotAfter) {
			expires = c.NotAfter
		}
	}
	return expires, nil
}

// trustedCertificates reads the certificates that this instance trusts.
func (f KeyFiles) trustedCertificates() ([]*x509.Certificate, error) {
	data, err := os.ReadFile(f.Trust)
	if err != nil {
		return nil, err
	}
	all, err := ParseCertificates(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Trust, err)
	}
	return all, nil
}

// TLSConfig returns a TLS 1.3 configuration that reads the files again for each connection. New keys apply to new connections, and
// established connections continue. The peer must present a trusted certificate for the given name. If peer is "", a trusted
// certificate for any name is accepted, and the caller must check the name once the peer has sent its own.
func (f KeyFiles) TLSConfig(peer string) (*tls.Config, error) {
	expires, err := f.Check(time.Now())
	if err != nil {
		return nil, err
	}
	f.warnIfExpiring(expires)
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyPeerCertificate verifies the peer with the current files
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.loadCertificate() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.loadCertificate() },
		VerifyPeerCertificate:  func(raw [][]byte, _ [][]*x509.Certificate) error { return f.verifyPeer(peer, raw) },
		SessionTicketsDisabled: true,
	}, nil
}

// loadCertificate reads this instance's certificate and key, and logs a warning if a certificate expires soon.
func (f KeyFiles) loadCertificate() (*tls.Certificate, error) {
	if expires, err := f.Check(time.Now()); err == nil {
		f.warnIfExpiring(expires)
	}
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	return &c, err
}

// verifyPeer checks the certificates that a peer presented. The error is ErrNoCertificate, a PeerNameError, an error of package x509, or
// an error of the file of trusted certificates.
func (f KeyFiles) verifyPeer(peer string, raw [][]byte) error {
	if len(raw) == 0 {
		return fmt.Errorf("the peer presented %w", ErrNoCertificate)
	}
	c, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return err
	}
	trusted, err := f.trustedCertificates()
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	for _, t := range trusted {
		roots.AddCert(t)
	}
	if peer != "" && !slices.Contains(c.DNSNames, peer) {
		return PeerNameError{Names: c.DNSNames, Expected: peer}
	}
	_, err = c.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err
}

// warnIfExpiring logs a warning if the given expiry is less than warnBeforeExpiry away.
func (f KeyFiles) warnIfExpiring(expires time.Time) {
	if left := time.Until(expires); left < warnBeforeExpiry {
		slog.Warn("link: certificate expires soon", "in", left.Round(time.Hour), "certificate", f.Certificate, "trust", f.Trust)
	}
}
