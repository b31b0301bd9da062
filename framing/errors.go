package framing

import (
	"errors"
	"fmt"
)

// Errors of Codec.Read and Codec.Append. Each means that the peer violates the protocol, or that a frame is too large to be sent.
var (
	ErrFrameSize    = errors.New("invalid frame size")
	ErrChecksum     = errors.New("frame checksum does not match")
	ErrInvalidFrame = errors.New("invalid frame")
)

// OtherProtocolError is the error for a peer that speaks another protocol: its greeting does not begin with the 4 bytes of this protocol's
// magic.
type OtherProtocolError struct {
	PeerKind   string // what the peer should be, as in Protocol.PeerKind
	FirstBytes string // the first 4 bytes that the peer sent
}

// Error implements error.
func (e OtherProtocolError) Error() string {
	return fmt.Sprintf("the peer is not a %s: its first bytes are %q", e.PeerKind, e.FirstBytes)
}

// VersionError is the error for a peer that uses another version of the protocol.
type VersionError struct{ Peer, Own uint16 }

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("the peer uses version %d of the protocol, this instance version %d: run the same version on both", e.Peer, e.Own)
}

// Errors of certificates and keys, for use with errors.Is.
var (
	ErrNoCertificate      = errors.New("no certificate")
	ErrNotOneCertificate  = errors.New("one certificate expected")
	ErrCertificateExpired = errors.New("certificate expired")
	ErrNotRoot            = errors.New("not a root certificate")
	ErrNotOneSite         = errors.New("certificate does not name exactly one site")
)

// PeerNameError is the error for a peer whose certificate does not contain the expected name.
type PeerNameError struct {
	Names    []string // the names in the certificate
	Expected string
}

// Error implements error.
func (e PeerNameError) Error() string {
	return fmt.Sprintf("the peer's certificate is for %q, and %s was expected", e.Names, e.Expected)
}
