package framing

import (
	"errors"
	"fmt"
)

// Errors of Codec.Read and Codec.Append: the peer violates the protocol, or a frame is too large to be sent.
var (
	ErrFrameSize    = errors.New("invalid frame size")
	ErrChecksum     = errors.New("frame checksum does not match")
	ErrInvalidFrame = errors.New("invalid frame")
)

// OtherProtocolError says that a peer does not speak the protocol at all.
type OtherProtocolError struct {
	PeerKind   string // what the peer was to be
	FirstBytes string // what it sent in place of the magic
}

// Error implements error.
func (e OtherProtocolError) Error() string {
	return fmt.Sprintf("the peer is no %s: its first bytes are %q", e.PeerKind, e.FirstBytes)
}

// VersionError says that a peer speaks another version of the protocol.
type VersionError struct{ Peer, Own uint16 }

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("the peer speaks version %d of the link, and this is version %d: bring both to one", e.Peer, e.Own)
}

// Errors of certificates and keys, to be tested for with errors.Is.
var (
	ErrNoCertificate      = errors.New("no certificate")
	ErrOneCertificate     = errors.New("one certificate expected")
	ErrCertificateExpired = errors.New("certificate expired")
	ErrNotRoot            = errors.New("not a root certificate")
	ErrNoSite             = errors.New("certificate without exactly one site's name")
)

// PeerNameError says that a peer showed a certificate for other names than its own.
type PeerNameError struct {
	Names    []string // of the certificate
	Expected string
}

// Error implements error.
func (e PeerNameError) Error() string {
	return fmt.Sprintf("the peer's certificate is for %q, and %s was expected", e.Names, e.Expected)
}
