// Package pgwire implements version 3 of PostgreSQL's wire protocol for both sides: messages, the statement that a client
// sends and its comment. It holds no sockets and has no goroutines; a message is decoded once and encoded once.
//
// A Reader, a Statement and a QueryResult have one user at a time; their slices lie in the buffers of what was read. The
// texts of errors are sent to clients.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Reader reads messages. A read that ends by its deadline can be resumed where it stopped.
type Reader struct {
	r       *bufio.Reader
	source  *boundedSource
	maxBody int // longest body, in bytes

	// The message that is being read.
	headerRead bool
	typ        byte
	size       int // of the body, as the header says
	body       []byte
	reserved   int // bytes of the body's room that Reserve granted

	// CheckMessage, where set, checks a message as it comes: its type and length, then what has come of its body. So
	// nobody waits for the rest of what cannot be right.
	CheckMessage func(typ byte, size int, begun []byte) error

	// Reserve, where set, is asked for room for a body that is longer than RetainedBytes, and is given it back as a
	// negative number. false ends the message with ErrBufferLimit.
	Reserve       func(bytes int) bool
	RetainedBytes int // room for bodies that is retained from message to message
	SpareBytes    int // room made after a body that is longer than RetainedBytes, for a caller that detaches and extends it
}

// growth is the factor by which the room for a body grows as its bytes come.
const growth = 4

// NewReader returns a Reader of r with a buffer of the given size, for bodies of at most maxBody bytes.
func NewReader(r io.Reader, buffer, maxBody int) *Reader {
	source := &boundedSource{r: r, remaining: -1}
	return &Reader{r: bufio.NewReaderSize(source, buffer), source: source, maxBody: maxBody}
}

// boundedSource is what a Reader reads from.
type boundedSource struct {
	r         io.Reader
	remaining int // bytes that may still be read, -1 for any number
}

// Read implements io.Reader.
func (s *boundedSource) Read(b []byte) (int, error) {
	if s.remaining >= 0 && len(b) > s.remaining {
		b = b[:s.remaining]
	}
	n, err := s.r.Read(b)
	if s.remaining >= 0 {
		s.remaining -= n
	}
	return n, err
}

// StopReadAhead makes the Reader read no byte beyond the present message from now on. Every request that was read must be
// answered, so a connection that is to end must not read ahead: a client that always sends more would never be finished.
func (r *Reader) StopReadAhead() { r.source.remaining = max(r.source.remaining, 0) }

// allow lets the source return enough bytes for n to be buffered, where it is bounded.
func (r *Reader) allow(n int) {
	if r.source.remaining >= 0 {
		r.source.remaining = max(0, n-r.r.Buffered())
	}
}

// Next reads a message; its body is valid until the next call.
func (r *Reader) Next() (typ byte, body []byte, err error) {
	if !r.headerRead {
		r.allow(headerBytes)
		h, err := r.r.Peek(headerBytes)
		if err != nil {
			return 0, nil, unexpectedEOF(err, len(h))
		}
		if err := r.startBody(h[0], int64(binary.BigEndian.Uint32(h[1:]))-4, r.maxBody); err != nil {
			return 0, nil, err
		}
		_, _ = r.r.Discard(headerBytes) // they are buffered
	}
	return r.readBody()
}

// startBody handles the header of a message.
func (r *Reader) startBody(typ byte, size int64, maxBody int) error {
	if size < 0 || size > int64(maxBody) {
		return &ProtocolError{fmt.Sprintf("a message of %d bytes", size)}
	}
	r.headerRead, r.typ, r.size, r.body = true, typ, int(size), r.body[:0]
	return r.checkBody()
}

func (r *Reader) checkBody() error {
	if r.CheckMessage == nil {
		return nil
	}
	return r.CheckMessage(r.typ, r.size, r.body)
}

// readBody reads what is missing of the body. Room is made as bytes come, not as the header promises.
func (r *Reader) readBody() (byte, []byte, error) {
	for len(r.body) < r.size {
		if len(r.body) == cap(r.body) {
			if err := r.growBody(); err != nil {
				return 0, nil, err
			}
		}
		r.allow(r.size - len(r.body))
		n, err := r.r.Read(r.body[len(r.body):min(cap(r.body), r.size)])
		r.body = r.body[:len(r.body)+n]
		if err != nil {
			return 0, nil, unexpectedEOF(err, 1)
		}
		if err := r.checkBody(); err != nil {
			return 0, nil, err
		}
	}
	r.headerRead = false
	return r.typ, r.body, nil
}

// growBody makes more room for the body.
func (r *Reader) growBody() error {
	room := min(r.size, max(512, growth*cap(r.body)))
	if room > r.RetainedBytes && room == r.size {
		room += r.SpareBytes
	}
	if r.Reserve != nil && room > r.RetainedBytes {
		if !r.Reserve(room - r.reserved) {
			return ErrBufferLimit
		}
		r.reserved = room
	}
	grown := make([]byte, len(r.body), room)
	copy(grown, r.body)
	r.body = grown
	return nil
}

// Detach passes ownership of the body that Next returned last to the caller. reserved is the room that Reserve granted for
// it, in bytes, which the caller gives back.
func (r *Reader) Detach() (body []byte, reserved int) {
	body, reserved = r.body, r.reserved
	r.body, r.reserved = nil, 0
	return body, reserved
}

// Reuse takes a detached body, for which nothing is reserved, as room for the next message.
func (r *Reader) Reuse(body []byte) {
	if r.body == nil && !r.headerRead {
		r.body = body
	}
}

// ReleaseLargeBody releases a body longer than RetainedBytes, once it is not needed any more.
func (r *Reader) ReleaseLargeBody() {
	if cap(r.body) > r.RetainedBytes && !r.headerRead {
		r.Close()
	}
}

// Close releases the body and what is reserved for it.
func (r *Reader) Close() {
	r.body = nil
	if r.reserved > 0 {
		_ = r.Reserve(-r.reserved) // giving back cannot fail
		r.reserved = 0
	}
}

// MessageStarted reports whether part of a message has been received.
func (r *Reader) MessageStarted() bool { return r.headerRead || r.r.Buffered() > 0 }

// WaitForInput blocks until more has been received than is buffered, or the read ends; full means that the buffer is full.
func (r *Reader) WaitForInput() (full bool, err error) {
	if r.r.Buffered() == r.r.Size() {
		return true, nil
	}
	r.allow(r.r.Buffered() + 1)
	_, err = r.r.Peek(r.r.Buffered() + 1)
	return false, err
}

// unexpectedEOF replaces an EOF within a message.
func unexpectedEOF(err error, had int) error {
	if errors.Is(err, io.EOF) && had > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
