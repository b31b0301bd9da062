package pgwire

import (
	"encoding/binary"
	"fmt"
)

// ProtocolVersion is the encoding of version 3.0 in startup messages.
const ProtocolVersion = 3 << 16

// Request codes that a startup message may carry instead of a protocol version.
const (
	cancelRequestCode = 1234<<16 | 5678
	sslRequestCode    = 1234<<16 | 5679
	gssEncRequestCode = 1234<<16 | 5680
)

const maxStartupBytes = 10000 // the limit of PostgreSQL's own servers

// Startup is the first message that a client sends on a connection.
type Startup struct {
	EncryptionRequest bool // a request for TLS or GSSAPI; the reply N makes the client continue without encryption
	CancelRequest     bool
	Version           uint32 // protocol version, or the request code in its place
}

// ReadStartup reads the startup message, which has no type byte. It accepts version 3 of the protocol and the requests for
// encryption or cancellation, and returns a ProtocolError for any other message. If the message can't be read, it returns
// the error of the connection and no ProtocolError: io.EOF before the first byte, io.ErrUnexpectedEOF within the message. It
// returns ErrBufferLimit if there is no memory for the message.
func (r *Reader) ReadStartup() (s Startup, err error) {
	if !r.headerRead {
		r.setReadLimit(4)
		h, err := r.r.Peek(4)
		if err != nil {
			return s, unexpectedEOF(err, len(h))
		}
		if err := r.startBody(0, int64(binary.BigEndian.Uint32(h))-4, maxStartupBytes); err != nil {
			return s, err
		}
		_, _ = r.r.Discard(4) // cannot fail: these bytes are buffered
	}
	_, body, err := r.readBody()
	if err != nil {
		return s, err
	}
	if len(body) < 4 {
		return s, &ProtocolError{"a startup message without a version"}
	}
	switch s.Version = binary.BigEndian.Uint32(body); s.Version {
	case sslRequestCode, gssEncRequestCode:
		s.EncryptionRequest = true
	case cancelRequestCode:
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
