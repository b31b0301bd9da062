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

// NewKeyPair makes an Ed25519 key and a certificate for a site, as PEM. The certificate is signed by its own key: to be pinned, or a
// root where root is set.
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

// clockTolerance is how far behind another machine's wall clock may be, which may be stepped by an hour, to accept a certificate that
// was just made.
const clockTolerance = 25 * time.Hour

func certificateTemplate(site string, days int) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) // fails only where its reader does, which never does
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

// SignCertificate makes of a site's certificate one that the root signs. All are PEM. The error is ErrNotRoot, ErrNoSite, or one of a
// certificate that can't be read.
func SignCertificate(certificate, rootCertificate, rootKey []byte, days int) ([]byte, error) {
	c, err := parseOne(certificate)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	root, err := parseOne(rootCertificate)
	if err != nil {
		return nil, fmt.Errorf("root's certificate: %w", err)
	}
	if !root.IsCA {
		return nil, fmt.Errorf("root's certificate: %w: make one with keys new --root", ErrNotRoot)
	}
	pair, err := tls.X509KeyPair(rootCertificate, rootKey)
	if err != nil {
		return nil, fmt.Errorf("root's key: %w", err)
	}
	if len(c.DNSNames) != 1 {
		return nil, ErrNoSite
	}
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(c.DNSNames[0], days), root, c.PublicKey, pair.PrivateKey)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), nil
}

func parseOne(data []byte) (*x509.Certificate, error) {
	all, err := ParseCertificates(data)
	if err != nil {
		return nil, err
	}
	if len(all) != 1 {
		return nil, fmt.Errorf("%w: there are %d", ErrOneCertificate, len(all))
	}
	return all[0], nil
}

// ParseCertificates reads the certificates of a PEM text; ErrNoCertificate where there is none.
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
