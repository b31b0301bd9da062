// Package pgwire speaks version 3 of PostgreSQL's protocol, both sides of it: messages, the statement that
// a client sends and its comment. It holds no sockets; a message is decoded once and encoded once.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Codes of answers that the front and its members give.
const (
	CodeTooManyConnections    = "53300" // turned away unseen
	CodeReadOnlyTransaction   = "25006" // a write, and this is no primary
	CodeSnapshotTooOld        = "72000"
	CodeProtocolViolation     = "08P01"
	CodeFeatureNotSupported   = "0A000"
	CodeSyntaxError           = "42601"
	CodeInvalidParameterValue = "22023"
	CodeTransactionRollback   = "40000"
	CodeProgramLimitExceeded  = "54000"
	CodeInternalError         = "XX000"
	CodeIdleSessionTimeout    = "57P05"
	CodeCannotConnectNow      = "57P03"
)

// ProtocolVersion is the protocol's, as startup messages carry it.
const ProtocolVersion = 3 << 16

// Startup codes that stand in place of a version.
const (
	cancelCode = 1234<<16 | 5678
	sslCode    = 1234<<16 | 5679
	gssCode    = 1234<<16 | 5680
)

const startupMost = 10000 // bytes, as the protocol's own servers have it

// ProtocolError is a message that the protocol does not allow; the connection cannot go on.
type ProtocolError struct{ Reason string }

func (v *ProtocolError) Error() string { return "protocol violation: " + v.Reason }

// UnexpectedMessage is the violation of a message whose type has no place where it came.
func UnexpectedMessage(typ byte) *ProtocolError {
	return &ProtocolError{"a message of type " + strconv.QuoteRune(rune(typ))}
}

// Reader reads messages. A read that ends by its deadline can be taken up again where it stood.
type Reader struct {
	r    *bufio.Reader
	from *source
	most int // longest body
	head bool
	typ  byte
	size int
	body []byte
	held int // of the body's room, by the word of Reserve

	// CheckMessage, where set, looks at a message as it comes: at its type and length, then at what has come of its
	// body. So nobody waits for the rest of what cannot be right.
	CheckMessage func(typ byte, size int, begun []byte) error

	// Reserve, where set, is asked for room for a body that is longer than Kept, and gets it back by a number below 0.
	Reserve       func(bytes int) bool
	RetainedBytes int // room of a body that is kept from message to message
	SpareBytes    int // room made behind a body that is longer than Kept, for whoever takes it and adds to it
}

// growth is the factor by which a body's room grows as its bytes come.
const growth = 4

// ErrBufferLimit is the end of a message that is too long for what others hold already.
var ErrBufferLimit = errors.New("too much is being sent at once")

// NewReader returns a Reader of r with a buffer of so many bytes, for bodies of at most so many.
func NewReader(r io.Reader, buffer, most int) *Reader {
	from := &source{r: r, left: -1}
	return &Reader{r: bufio.NewReaderSize(from, buffer), from: from, most: most}
}

// source is what a Reader reads from; left is what it may still take, or -1 for any number of bytes.
type source struct {
	r    io.Reader
	left int
}

func (s *source) Read(b []byte) (int, error) {
	if s.left >= 0 && len(b) > s.left {
		b = b[:s.left]
	}
	n, err := s.r.Read(b)
	if s.left >= 0 {
		s.left -= n
	}
	return n, err
}

// StopReadAhead has the Reader take no byte beyond the message in hand from now on. What was read is owed an answer, so a
// connection that is to end must not read ahead: a client that always sends more would never be done with.
func (r *Reader) StopReadAhead() { r.from.left = max(r.from.left, 0) }

// may lets the source give so many bytes more than are buffered, where it is bounded.
func (r *Reader) may(n int) {
	if r.from.left >= 0 {
		r.from.left = max(0, n-r.r.Buffered())
	}
}

// Next reads a message; its body is valid until the next call.
func (r *Reader) Next() (typ byte, body []byte, err error) {
	if !r.head {
		r.may(5)
		h, err := r.r.Peek(5)
		if err != nil {
			return 0, nil, cut(err, len(h))
		}
		if err := r.begin(h[0], int64(binary.BigEndian.Uint32(h[1:]))-4, r.most); err != nil {
			return 0, nil, err
		}
		r.r.Discard(5)
	}
	return r.rest()
}

// Startup is a first message.
type Startup struct {
	EncryptionRequest bool // asked for; an answer of N sends the client on in plain
	CancelRequest     bool
	Version           uint32
}

// ReadStartup reads a first message, which has no type.
func (r *Reader) ReadStartup() (s Startup, err error) {
	if !r.head {
		r.may(4)
		h, err := r.r.Peek(4)
		if err != nil {
			return s, cut(err, len(h))
		}
		if err := r.begin(0, int64(binary.BigEndian.Uint32(h))-4, startupMost); err != nil {
			return s, err
		}
		r.r.Discard(4)
	}
	_, body, err := r.rest()
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

func (r *Reader) begin(typ byte, size int64, most int) error {
	if size < 0 || size > int64(most) {
		return &ProtocolError{fmt.Sprintf("a message of %d bytes", size)}
	}
	r.head, r.typ, r.size, r.body = true, typ, int(size), r.body[:0]
	return r.check()
}

func (r *Reader) check() error {
	if r.CheckMessage == nil {
		return nil
	}
	return r.CheckMessage(r.typ, r.size, r.body)
}

// rest reads what is missing of the body. Room is made as bytes come, not as a header promises.
func (r *Reader) rest() (byte, []byte, error) {
	for len(r.body) < r.size {
		if len(r.body) == cap(r.body) {
			room := min(r.size, max(512, growth*cap(r.body)))
			if room > r.RetainedBytes && room == r.size {
				room += r.SpareBytes
			}
			if r.Reserve != nil && room > r.RetainedBytes {
				if !r.Reserve(room - r.held) {
					return 0, nil, ErrBufferLimit
				}
				r.held = room
			}
			grown := make([]byte, len(r.body), room)
			copy(grown, r.body)
			r.body = grown
		}
		r.may(r.size - len(r.body))
		n, err := r.r.Read(r.body[len(r.body):min(cap(r.body), r.size)])
		r.body = r.body[:len(r.body)+n]
		if err != nil {
			return 0, nil, cut(err, 1)
		}
		if err := r.check(); err != nil {
			return 0, nil, err
		}
	}
	r.head = false
	return r.typ, r.body, nil
}

// Detach hands the body that Next gave last over to the caller, who may keep it through further calls. reserved is the room
// that Reserve granted for it, which the caller gives back.
func (r *Reader) Detach() (body []byte, reserved int) {
	body, reserved = r.body, r.held
	r.body, r.held = nil, 0
	return body, reserved
}

// Reuse gives a body that was taken, and for which nothing is reserved, back as room for the next message.
func (r *Reader) Reuse(body []byte) {
	if r.body == nil && !r.head {
		r.body = body
	}
}

// ReleaseLargeBody gives a body longer than Kept back once it is done with.
func (r *Reader) ReleaseLargeBody() {
	if cap(r.body) > r.RetainedBytes && !r.head {
		r.Close()
	}
}

// Close gives back what is held, whatever it is used for.
func (r *Reader) Close() {
	r.body = nil
	if r.held > 0 {
		r.Reserve(-r.held)
		r.held = 0
	}
}

// MessageStarted reports whether a message has begun to come in.
func (r *Reader) MessageStarted() bool { return r.head || r.r.Buffered() > 0 }

// WaitForInput blocks until more has come in than is buffered, or the read ends; full means that no more fits.
func (r *Reader) WaitForInput() (full bool, err error) {
	if r.r.Buffered() == r.r.Size() {
		return true, nil
	}
	r.may(r.r.Buffered() + 1)
	_, err = r.r.Peek(r.r.Buffered() + 1)
	return false, err
}

func cut(err error, had int) error {
	if err == io.EOF && had > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// --- What a front sends to clients.

var ready = []byte{'Z', 0, 0, 0, 5, 'I'}

// AppendGreeting follows a startup message.
func AppendGreeting(b []byte) []byte {
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		b = AppendParameterStatus(b, p[0], p[1])
	}
	return append(b, ready...)
}

// AppendParameterStatus is a ParameterStatus message.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return message(b, 'S', func(b []byte) []byte { return text(text(b, name), value) })
}

// AppendEmptyQueryResponse answers an empty query.
func AppendEmptyQueryResponse(b []byte) []byte { return append(append(b, 'I', 0, 0, 0, 4), ready...) }

// SingleValueResult is the answer of one row of one value.
func SingleValueResult(value []byte) (a QueryResult) {
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	a.part('T', []byte{0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1})
	a.part('D', append(row, value...))
	a.part('C', []byte("SELECT 1\x00"))
	return a
}

// AppendReadyForQuery ends an answer.
func AppendReadyForQuery(b []byte) []byte { return append(b, ready...) }

// AppendErrorResponse is an ErrorResponse without what follows it; detail is left out when empty.
func AppendErrorResponse(b []byte, severity, code, what, detail string) []byte {
	return message(b, 'E', func(b []byte) []byte {
		b = text(append(b, 'S'), severity)
		b = text(append(b, 'V'), severity)
		b = text(append(b, 'C'), code)
		b = text(append(b, 'M'), what)
		if detail != "" {
			b = text(append(b, 'D'), detail)
		}
		return append(b, 0)
	})
}

// --- What a front sends to members.

// AppendStartup is a startup message.
func AppendStartup(b []byte, user, database string) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), ProtocolVersion)
	b = text(text(b, "user"), user)
	b = append(text(text(b, "database"), database), 0)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

// AppendQuery is a simple query.
func AppendQuery(b []byte, statement string) []byte {
	return message(b, 'Q', func(b []byte) []byte { return text(b, statement) })
}

// TypeTerminate is the type of the message by which a client takes leave.
const TypeTerminate = 'X'

func message(b []byte, typ byte, body func([]byte) []byte) []byte {
	at := len(b)
	b = body(append(b, typ, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

func text(b []byte, s string) []byte { return append(append(b, s...), 0) }

// IsProtocolError tells a breach of the protocol from a failure of the connection.
func IsProtocolError(err error) bool {
	var v *ProtocolError
	return errors.As(err, &v)
}
