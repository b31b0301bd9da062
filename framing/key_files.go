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

// KeyFiles are the paths of an instance's key, of its certificate and of the certificates that it trusts, as PEM. Trust holds the
// operator's root, or the peer's own certificate (pinned), or several of either while keys are changed.
type KeyFiles struct{ Key, Certificate, Trust string }

// warnBeforeExpiry is how long before a certificate expires that is logged.
const warnBeforeExpiry = 14 * 24 * time.Hour

// Check reports until when an instance with these files can open links. The error names the file: ErrCertificateExpired,
// ErrNoCertificate, or one of a file that can't be read.
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
		return own.NotAfter, fmt.Errorf("%s: %w on %s: make a new one", f.Certificate, ErrCertificateExpired, own.NotAfter.Format(time.DateOnly))
	}
	trusted, err := f.trusted()
	if err != nil {
		return expires, err
	}
	expires = own.NotAfter
	if !slices.ContainsFunc(trusted, func(c *x509.Certificate) bool { return now.Before(c.NotAfter) }) {
		return expires, fmt.Errorf("%s: %w: each one in it", f.Trust, ErrCertificateExpired)
	}
	for _, c := range trusted {
		if c.NotAfter.Before(expires) && now.Before(c.NotAfter) {
			expires = c.NotAfter
		}
	}
	return expires, nil
}

// trusted reads the certificates that this instance trusts.
func (f KeyFiles) trusted() ([]*x509.Certificate, error) {
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

// TLSConfig makes a TLS 1.3 configuration that reads the files anew for each connection: new keys are used from the next one on, and
// established ones go on. A peer must show a trusted certificate of its name; for "" of any name, which the caller checks once the peer
// has given its name.
func (f KeyFiles) TLSConfig(peer string) (*tls.Config, error) {
	expires, err := f.Check(time.Now())
	if err != nil {
		return nil, err
	}
	f.warnIfExpiring(expires)
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyPeerCertificate does it, by the present files
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.load() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.load() },
		VerifyPeerCertificate:  func(raw [][]byte, _ [][]*x509.Certificate) error { return f.verify(peer, raw) },
		SessionTicketsDisabled: true,
	}, nil
}

// load reads this instance's certificate.
func (f KeyFiles) load() (*tls.Certificate, error) {
	if expires, err := f.Check(time.Now()); err == nil {
		f.warnIfExpiring(expires)
	}
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	return &c, err
}

// verify checks the certificates that a peer showed. The error is ErrNoCertificate, a PeerNameError, one of package x509, or one of the
// file of trusted certificates.
func (f KeyFiles) verify(peer string, raw [][]byte) error {
	if len(raw) == 0 {
		return fmt.Errorf("the peer shows %w", ErrNoCertificate)
	}
	c, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return err
	}
	trusted, err := f.trusted()
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

// warnIfExpiring logs that a certificate expires soon.
func (f KeyFiles) warnIfExpiring(expires time.Time) {
	if left := time.Until(expires); left < warnBeforeExpiry {
		slog.Warn("link: certificate expires soon", "in", left.Round(time.Hour), "certificate", f.Certificate, "trust", f.Trust)
	}
}
