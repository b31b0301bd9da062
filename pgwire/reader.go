// Package pgwire implements version 3 of PostgreSQL's wire protocol for clients and servers. It encodes and decodes
// messages, and parses the statement that a client sends and the statement's comment. The package opens no sockets and
// starts no goroutines. Each message is decoded once and encoded once.
//
// Reader, Statement and QueryResult are not safe for concurrent use. Their slices refer to the buffers into which the
// messages were read. The texts of errors are sent to clients.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Reader reads messages from a connection. After a read that failed because of its deadline, the next call resumes where
// that read stopped.
type Reader struct {
	r       *bufio.Reader
	source  *boundedSource
	maxBody int // maximum length of a body, in bytes

	// The message that is being read.
	headerRead bool
	typ        byte
	size       int // length of the body according to the header
	body       []byte
	reserved   int // bytes that Reserve granted for the buffer of the body

	// CheckMessage, if set, checks a message while it is being received: first its type and the length of its body, then
	// also the received part of its body. It finds an invalid message without waiting for the rest of it.
	CheckMessage func(typ byte, size int, received []byte) error

	// Reserve, if set, is called to reserve memory for a body that is longer than RetainedBytes. A negative number
	// releases memory. If it returns false, the read fails with ErrBufferLimit.
	Reserve       func(bytes int) bool
	RetainedBytes int // size of the body buffer that is kept from message to message
	SpareBytes    int // spare capacity after a body longer than RetainedBytes, for callers that detach and extend the body
}

// bodyGrowthFactor is the factor by which the buffer of a body grows while the body is being received.
const bodyGrowthFactor = 4

// NewReader returns a Reader that reads from r through a buffer of the given size. It rejects messages whose body is longer
// than maxBody bytes.
func NewReader(r io.Reader, buffer, maxBody int) *Reader {
	source := &boundedSource{r: r, remaining: -1}
	return &Reader{r: bufio.NewReaderSize(source, buffer), source: source, maxBody: maxBody}
}

// boundedSource is the io.Reader beneath the buffer of a Reader. It can limit how many bytes are still read.
type boundedSource struct {
	r         io.Reader
	remaining int // bytes that may still be read, -1 for no limit
	received  int64
}

// Read implements io.Reader.
func (s *boundedSource) Read(b []byte) (int, error) {
	if s.remaining >= 0 && len(b) > s.remaining {
		b = b[:s.remaining]
	}
	n, err := s.r.Read(b)
	s.received += int64(n)
	if s.remaining >= 0 {
		s.remaining -= n
	}
	return n, err
}

// StopReadAhead makes the Reader read no bytes beyond the end of the current message from now on. Every request that was
// read must be answered. So a connection that is about to close must not read ahead, or it could never close while its
// client keeps sending requests.
func (r *Reader) StopReadAhead() { r.source.remaining = max(r.source.remaining, 0) }

// setReadLimit lets the source return just enough bytes for n bytes to be buffered. It has no effect before StopReadAhead
// is called.
func (r *Reader) setReadLimit(n int) {
	if r.source.remaining >= 0 {
		r.source.remaining = max(0, n-r.r.Buffered())
	}
}

// Next reads a message. The body is valid until the next call.
func (r *Reader) Next() (typ byte, body []byte, err error) {
	if !r.headerRead {
		r.setReadLimit(headerBytes)
		h, err := r.r.Peek(headerBytes)
		if err != nil {
			return 0, nil, unexpectedEOF(err, len(h))
		}
		if err := r.startBody(h[0], int64(binary.BigEndian.Uint32(h[1:]))-4, r.maxBody); err != nil {
			return 0, nil, err
		}
		_, _ = r.r.Discard(headerBytes) // cannot fail: these bytes are buffered
	}
	return r.readBody()
}

// startBody begins to read the body of the message whose header was read. It checks the length of the body and calls
// CheckMessage.
func (r *Reader) startBody(typ byte, size int64, maxBody int) error {
	if size < 0 || size > int64(maxBody) {
		return &ProtocolError{fmt.Sprintf("a message of %d bytes", size)}
	}
	r.headerRead, r.typ, r.size, r.body = true, typ, int(size), r.body[:0]
	return r.checkBody()
}

// checkBody calls CheckMessage for the received part of the current message.
func (r *Reader) checkBody() error {
	if r.CheckMessage == nil {
		return nil
	}
	return r.CheckMessage(r.typ, r.size, r.body)
}

// readBody reads the rest of the body. The buffer grows with the bytes received and is not allocated by the length in the
// header, which may be false.
func (r *Reader) readBody() (byte, []byte, error) {
	for len(r.body) < r.size {
		if len(r.body) == cap(r.body) {
			if err := r.growBody(); err != nil {
				return 0, nil, err
			}
		}
		r.setReadLimit(r.size - len(r.body))
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

// growBody enlarges the buffer of the body. It returns ErrBufferLimit if Reserve refuses the memory.
func (r *Reader) growBody() error {
	capacity := min(r.size, max(512, bodyGrowthFactor*cap(r.body)))
	if capacity > r.RetainedBytes && capacity == r.size {
		capacity += r.SpareBytes
	}
	if r.Reserve != nil && capacity > r.RetainedBytes {
		if !r.Reserve(capacity - r.reserved) {
			return ErrBufferLimit
		}
		r.reserved = capacity
	}
	grown := make([]byte, len(r.body), capacity)
	copy(grown, r.body)
	r.body = grown
	return nil
}

// Detach passes ownership of the body that Next returned last to the caller. reserved is the number of bytes that Reserve
// granted for the body; the caller must release them.
func (r *Reader) Detach() (body []byte, reserved int) {
	body, reserved = r.body, r.reserved
	r.body, r.reserved = nil, 0
	return body, reserved
}

// Reuse takes back a detached body, for which no memory is reserved, as the buffer for the next message. It does nothing
// if the Reader has a buffer already.
func (r *Reader) Reuse(body []byte) {
	if r.body == nil && !r.headerRead {
		r.body = body
	}
}

// ReleaseLargeBody releases the last body and its reserved memory if its buffer is larger than RetainedBytes. The caller
// must not use the body afterwards.
func (r *Reader) ReleaseLargeBody() {
	if cap(r.body) > r.RetainedBytes && !r.headerRead {
		r.Close()
	}
}

// Close releases the body and the memory that is reserved for it.
func (r *Reader) Close() {
	r.body = nil
	if r.reserved > 0 {
		_ = r.Reserve(-r.reserved) // releasing cannot fail
		r.reserved = 0
	}
}

// MessageStarted reports whether a part of the next message has been received.
func (r *Reader) MessageStarted() bool { return r.headerRead || r.r.Buffered() > 0 }

// Received returns how many bytes were read from the connection, including those that are buffered.
func (r *Reader) Received() int64 { return r.source.received }

// Consumed returns how many bytes of the connection belong to the messages read so far and to the received part of the next one's body.
func (r *Reader) Consumed() int64 { return r.source.received - int64(r.r.Buffered()) }

// WaitForInput blocks until at least one byte more than the buffered ones is received or the read fails. If the buffer is
// full already, it returns at once with full set.
func (r *Reader) WaitForInput() (full bool, err error) {
	if r.r.Buffered() == r.r.Size() {
		return true, nil
	}
	r.setReadLimit(r.r.Buffered() + 1)
	_, err = r.r.Peek(r.r.Buffered() + 1)
	return false, err
}

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF if a part of a message, of the given number of bytes, was received.
func unexpectedEOF(err error, received int) error {
	if errors.Is(err, io.EOF) && received > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
