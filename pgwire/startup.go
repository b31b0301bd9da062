package pgwire

import (
	"encoding/binary"
	"fmt"
)

// ProtocolVersion is version 3.0, as startup messages carry it.
const ProtocolVersion = 3 << 16

// Request codes of startup messages, in place of a version.
const (
	cancelCode = 1234<<16 | 5678
	sslCode    = 1234<<16 | 5679
	gssCode    = 1234<<16 | 5680
)

const maxStartupBytes = 10000 // as in PostgreSQL's own servers

// Startup is the first message of a connection.
type Startup struct {
	EncryptionRequest bool // an answer of N makes the client continue without encryption
	CancelRequest     bool
	Version           uint32 // or the request code in its place
}

// ReadStartup reads the first message, which has no type.
func (r *Reader) ReadStartup() (s Startup, err error) {
	if !r.headerRead {
		r.allow(4)
		h, err := r.r.Peek(4)
		if err != nil {
			return s, unexpectedEOF(err, len(h))
		}
		if err := r.startBody(0, int64(binary.BigEndian.Uint32(h))-4, maxStartupBytes); err != nil {
			return s, err
		}
		_, _ = r.r.Discard(4) // they are buffered
	}
	_, body, err := r.readBody()
	if err != nil {
		return s, err
	}
	if len(body) < 4 {
		return s, &ProtocolError{"a startup message without a version"}
	}
	switch s.Version = binary.BigEndian.Uint32(body); s.Version {
	case sslCode, gssCode:
		s.EncryptionRequest = true
	case cancelCode:
		s.CancelRequest = true
	default:
		if s.Version>>16 != ProtocolVersion>>16 {
			return s, &ProtocolError{fmt.Sprintf("protocol version %d.%d", s.Version>>16, s.Version&0xffff)}
		}
		if body[len(body)-1] != 0 {
			return s, &ProtocolError{"a startup message without its end"}
		}
	}
	return s, nil
}
