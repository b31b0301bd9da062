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
	TooManyConnections = "53300" // turned away unseen
	ReadOnly           = "25006" // a write, and this is no primary
	TooFarBehind       = "72000"
	ProtocolViolation  = "08P01"
	NotSupported       = "0A000"
	SyntaxError        = "42601"
	BadValue           = "22023"
	RolledBack         = "40000"
	TooLarge           = "54000"
	InternalError      = "XX000"
	IdleTooLong        = "57P05"
	CannotConnectNow   = "57P03"
)

// Version is the protocol's, as startup messages carry it.
const Version = 3 << 16

// Startup codes that stand in place of a version.
const (
	cancelCode = 1234<<16 | 5678
	sslCode    = 1234<<16 | 5679
	gssCode    = 1234<<16 | 5680
)

const startupMost = 10000 // bytes, as the protocol's own servers have it

// Violation is a message that the protocol does not allow; the connection cannot go on.
type Violation struct{ What string }

func (v *Violation) Error() string { return "protocol violation: " + v.What }

// Unexpected is the violation of a message whose type has no place where it came.
func Unexpected(typ byte) *Violation {
	return &Violation{"a message of type " + strconv.QuoteRune(rune(typ))}
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

	// Check, where set, looks at a message as it comes: at its type and length, then at what has come of its
	// body. So nobody waits for the rest of what cannot be right.
	Check func(typ byte, size int, begun []byte) error

	// Reserve, where set, is asked for room for a body that is longer than Kept, and gets it back by a number below 0.
	Reserve func(bytes int) bool
	Kept    int // room of a body that is kept from message to message
	Spare   int // room made behind a body that is longer than Kept, for whoever takes it and adds to it
}

// growth is the factor by which a body's room grows as its bytes come.
const growth = 4

// ErrNoRoom is the end of a message that is too long for what others hold already.
var ErrNoRoom = errors.New("too much is being sent at once")

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

// Exact has the Reader take no byte beyond the message in hand from now on. What was read is owed an answer, so a
// connection that is to end must not read ahead: a client that always sends more would never be done with.
func (r *Reader) Exact() { r.from.left = max(r.from.left, 0) }

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
	Encryption bool // asked for; an answer of N sends the client on in plain
	Cancel     bool
	Version    uint32
}

// Startup reads a first message, which has no type.
func (r *Reader) Startup() (s Startup, err error) {
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
		return s, &Violation{"a startup message without a version"}
	}
	switch s.Version = binary.BigEndian.Uint32(body); s.Version {
	case sslCode, gssCode:
		s.Encryption = true
	case cancelCode:
		s.Cancel = true
	default:
		if s.Version>>16 != Version>>16 {
			return s, &Violation{fmt.Sprintf("protocol version %d.%d", s.Version>>16, s.Version&0xffff)}
		}
		if body[len(body)-1] != 0 {
			return s, &Violation{"a startup message without its end"}
		}
	}
	return s, nil
}

func (r *Reader) begin(typ byte, size int64, most int) error {
	if size < 0 || size > int64(most) {
		return &Violation{fmt.Sprintf("a message of %d bytes", size)}
	}
	r.head, r.typ, r.size, r.body = true, typ, int(size), r.body[:0]
	return r.check()
}

func (r *Reader) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check(r.typ, r.size, r.body)
}

// rest reads what is missing of the body. Room is made as bytes come, not as a header promises.
func (r *Reader) rest() (byte, []byte, error) {
	for len(r.body) < r.size {
		if len(r.body) == cap(r.body) {
			room := min(r.size, max(512, growth*cap(r.body)))
			if room > r.Kept && room == r.size {
				room += r.Spare
			}
			if r.Reserve != nil && room > r.Kept {
				if !r.Reserve(room - r.held) {
					return 0, nil, ErrNoRoom
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

// Take hands the body that Next gave last over to the caller, who may keep it through further calls. reserved is the room
// that Reserve granted for it, which the caller gives back.
func (r *Reader) Take() (body []byte, reserved int) {
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

// Shed gives a body longer than Kept back once it is done with.
func (r *Reader) Shed() {
	if cap(r.body) > r.Kept && !r.head {
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

// Waiting reports whether a message has begun to come in.
func (r *Reader) Waiting() bool { return r.head || r.r.Buffered() > 0 }

// Watch blocks until more has come in than is buffered, or the read ends; full means that no more fits.
func (r *Reader) Watch() (full bool, err error) {
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

// Welcome follows a startup message.
func Welcome(b []byte) []byte {
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		b = Status(b, p[0], p[1])
	}
	return append(b, ready...)
}

// Status is a ParameterStatus message.
func Status(b []byte, name, value string) []byte {
	return message(b, 'S', func(b []byte) []byte { return text(text(b, name), value) })
}

// Empty answers an empty query.
func Empty(b []byte) []byte { return append(append(b, 'I', 0, 0, 0, 4), ready...) }

// OneValue is the answer of one row of one value.
func OneValue(value []byte) (a Answer) {
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	a.part('T', []byte{0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1})
	a.part('D', append(row, value...))
	a.part('C', []byte("SELECT 1\x00"))
	return a
}

// Ready ends an answer.
func Ready(b []byte) []byte { return append(b, ready...) }

// Error is an ErrorResponse without what follows it; detail is left out when empty.
func Error(b []byte, severity, code, what, detail string) []byte {
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

// Hello is a startup message.
func Hello(b []byte, user, database string) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), Version)
	b = text(text(b, "user"), user)
	b = append(text(text(b, "database"), database), 0)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

// Query is a simple query.
func Query(b []byte, statement string) []byte {
	return message(b, 'Q', func(b []byte) []byte { return text(b, statement) })
}

// Terminate is the type of the message by which a client takes leave.
const Terminate = 'X'

func message(b []byte, typ byte, body func([]byte) []byte) []byte {
	at := len(b)
	b = body(append(b, typ, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

func text(b []byte, s string) []byte { return append(append(b, s...), 0) }

// IsViolation tells a breach of the protocol from a failure of the connection.
func IsViolation(err error) bool {
	var v *Violation
	return errors.As(err, &v)
}
