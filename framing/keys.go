package framing

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"os"
	"slices"
	"time"
)

// KeyFiles are where an instance's key, its certificate and the certificates that it trusts stand, as PEM. Trust holds the
// operator's root, or the peer's own certificate (pinned), or several of either while keys are changed.
type KeyFiles struct{ Key, Certificate, Trust string }

// NewKeyPair makes an Ed25519 key and a certificate for a site, signed by itself: to be pinned, or a root where root is set.
func NewKeyPair(site string, root bool, days int) (key, certificate []byte, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := template(site, days)
	if root {
		t.IsCA, t.BasicConstraintsValid = true, true
		t.KeyUsage |= x509.KeyUsageCertSign
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, public, private)
	if err != nil {
		return nil, nil, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}),
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), nil
}

// clockTolerance is how far behind another machine's wall clock may be, which may be stepped by an hour, to take what was just made.
const clockTolerance = 25 * time.Hour

func template(site string, days int) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: site}, DNSNames: []string{site},
		NotBefore: now.Add(-clockTolerance), NotAfter: now.AddDate(0, 0, days), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
}

// SignCertificate makes of a site's certificate one signed by the root.
func SignCertificate(certificate, rootCertificate, rootKey []byte, days int) ([]byte, error) {
	c, err := parseOne(certificate)
	if err != nil {
		return nil, err
	}
	root, err := parseOne(rootCertificate)
	if err != nil {
		return nil, err
	}
	if !root.IsCA {
		return nil, errors.New("the root's certificate is no root: make one with keys new --root")
	}
	pair, err := tls.X509KeyPair(rootCertificate, rootKey)
	if err != nil {
		return nil, err
	}
	if len(c.DNSNames) != 1 {
		return nil, errors.New("the certificate names no site")
	}
	der, err := x509.CreateCertificate(rand.Reader, template(c.DNSNames[0], days), root, c.PublicKey, pair.PrivateKey)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), nil
}

func parseOne(data []byte) (*x509.Certificate, error) {
	all, err := ParseCertificates(data)
	if err == nil && len(all) != 1 {
		err = fmt.Errorf("%d certificates where one belongs", len(all))
	}
	if err != nil {
		return nil, err
	}
	return all[0], nil
}

// ParseCertificates reads the certificates of a PEM text.
func ParseCertificates(data []byte) (all []*x509.Certificate, err error) {
	for b, rest := pem.Decode(data); b != nil; b, rest = pem.Decode(rest) {
		if b.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	if len(all) == 0 {
		return nil, errors.New("it holds no certificate")
	}
	return all, nil
}

// warnWithin is how long before a certificate's end its owner is told.
const warnWithin = 14 * 24 * time.Hour

// Check looks whether an instance with these files and a peer of that name could speak, and when that ends.
func (f KeyFiles) Check(now time.Time) (ends time.Time, err error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return ends, fmt.Errorf("%s: %w", f.Certificate, err)
	}
	own, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return ends, fmt.Errorf("%s: %w", f.Certificate, err)
	}
	if now.After(own.NotAfter) {
		return own.NotAfter, fmt.Errorf("%s: it ended on %s: make a new one", f.Certificate, own.NotAfter.Format(time.DateOnly))
	}
	data, err := os.ReadFile(f.Trust)
	if err != nil {
		return ends, err
	}
	trusted, err := ParseCertificates(data)
	if err != nil {
		return ends, fmt.Errorf("%s: %w", f.Trust, err)
	}
	ends = own.NotAfter
	if !slices.ContainsFunc(trusted, func(c *x509.Certificate) bool { return now.Before(c.NotAfter) }) {
		return ends, fmt.Errorf("%s: all certificates in it have ended", f.Trust)
	}
	for _, c := range trusted {
		if c.NotAfter.Before(ends) && now.Before(c.NotAfter) {
			ends = c.NotAfter
		}
	}
	return ends, nil
}

// TLSConfig makes a TLS 1.3 configuration that reads the files anew for each connection, so new keys count from the next
// one on and the present one lives. A peer must show a certificate of its name that is trusted; where peer is "", of any
// name, and who asks for it looks at the name once it is told.
func (f KeyFiles) TLSConfig(peer string) (*tls.Config, error) {
	ends, err := f.Check(time.Now())
	if err != nil {
		return nil, err
	}
	f.warn(ends)
	load := func() (*tls.Certificate, error) {
		if ends, err := f.Check(time.Now()); err == nil {
			f.warn(ends)
		}
		c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		return &c, err
	}
	verify := func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return errors.New("the peer shows no certificate")
		}
		c, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return err
		}
		data, err := os.ReadFile(f.Trust)
		if err != nil {
			return err
		}
		trusted, err := ParseCertificates(data)
		if err != nil {
			return fmt.Errorf("%s: %w", f.Trust, err)
		}
		roots := x509.NewCertPool()
		for _, t := range trusted {
			roots.AddCert(t)
		}
		if peer != "" && !slices.Contains(c.DNSNames, peer) {
			return fmt.Errorf("the peer's certificate is for %q, and %s was expected", c.DNSNames, peer)
		}
		_, err = c.Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		return err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, InsecureSkipVerify: true, // verify does it
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
		VerifyPeerCertificate: verify, SessionTicketsDisabled: true}, nil
}

func (f KeyFiles) warn(ends time.Time) {
	if left := time.Until(ends); left < warnWithin {
		slog.Warn("link: a certificate ends soon", "in", left.Round(time.Hour), "certificate", f.Certificate, "trust", f.Trust)
	}
}
