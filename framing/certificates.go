package framing

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

// NewKeyPair generates an Ed25519 key and a self-signed certificate for a site, both in PEM. The certificate is valid until
// the given number of days from now. It is a root certificate if root is set; otherwise peers can pin it.
func NewKeyPair(site string, root bool, days int) (key, certificate []byte, err error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := certificateTemplate(site, days)
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

// clockTolerance is how far the wall clock of another machine may be behind for it to accept a certificate that was just created. Wall
// clocks may be stepped by an hour.
const clockTolerance = 25 * time.Hour

// certificateTemplate returns a certificate for a site with a random serial number. It is valid from clockTolerance before now until the
// given number of days from now.
func certificateTemplate(site string, days int) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // fails only if its reader fails, and rand.Reader never does
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: site},
		DNSNames:     []string{site},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.AddDate(0, 0, days),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

// SignCertificate returns a certificate for the site and the public key of the given certificate, signed by the root. It is valid until the
// given number of days from now, and has been since clockTolerance before now. The certificates and the key are in PEM, and so is the
// result. The error is ErrNotRoot, ErrNotOneSite, ErrNotOneCertificate, or the error of a certificate or key that cannot be used.
func SignCertificate(certificate, rootCertificate, rootKey []byte, days int) ([]byte, error) {
	c, err := parseOneCertificate(certificate)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	root, err := parseOneCertificate(rootCertificate)
	if err != nil {
		return nil, fmt.Errorf("root certificate: %w", err)
	}
	if !root.IsCA {
		return nil, fmt.Errorf("root certificate: %w: create one with keys new --root", ErrNotRoot)
	}
	pair, err := tls.X509KeyPair(rootCertificate, rootKey)
	if err != nil {
		return nil, fmt.Errorf("root key: %w", err)
	}
	if len(c.DNSNames) != 1 {
		return nil, ErrNotOneSite
	}
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(c.DNSNames[0], days), root, c.PublicKey, pair.PrivateKey)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), nil
}

// parseOneCertificate parses a PEM text that must contain exactly one certificate.
func parseOneCertificate(data []byte) (*x509.Certificate, error) {
	all, err := ParseCertificates(data)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, fmt.Errorf("%w: found %d", ErrNotOneCertificate, len(all))
	}
	return all[0], nil
}

// ParseCertificates parses the certificates in a PEM text and skips all other blocks. The error is ErrNoCertificate if there is none.
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
		return nil, ErrNoCertificate
	}
	return all, nil
}
