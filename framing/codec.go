// Package framing is what links between instances of the program share: a greeting, frames with checksums, certificates and keys. The
// gateway's link and the fleet's mesh use it. It decides nothing, and knows no frame's meaning.
//
// A Codec belongs to one connection: one goroutine may read while another writes. Key files are read anew for each connection, so
// that the operator replaces them without a restart.
package framing

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Protocol is what a link speaks. A connection begins, in both directions, with the magic, a 0 byte and the version; a peer of another
// protocol or version is rejected.
type Protocol struct {
	Magic         [4]byte
	Version       uint8
	PeerKind      string // what its speakers are, for errors: "gateway"
	MaxFrameBytes int    // of a frame, behind its header
}

const (
	greetingBytes = 6
	headerBytes   = 8 // of a frame: its length and its checksum

	readBufferBytes = 16 << 10
	// Buffers that grew for a large frame are released after it, above these sizes.
	maxIdleWriteBytes = 256 << 10
	maxIdleReadBytes  = 64 << 10
	// minFrameBuffer is what a frame's buffer begins with; it grows as bytes come, so that a length without bytes takes no memory.
	minFrameBuffer = 512
)

func (p Protocol) greeting() [greetingBytes]byte {
	return [greetingBytes]byte{p.Magic[0], p.Magic[1], p.Magic[2], p.Magic[3], 0, p.Version}
}

// Codec writes frames to one end of a connection and reads them from it. A frame is a length and a checksum (CRC-32C), big-endian of
// four bytes each, then a value of type F in MessagePack. The checksum protects a link without TLS, and one through boxes that rewrite
// packets, from bytes that were changed: TCP's own checksum lets some pass.
type Codec[F any] struct {
	protocol Protocol

	w       io.Writer
	out     bytes.Buffer // frames that Flush will write
	encoder *msgpack.Encoder

	r       *bufio.Reader
	in      []byte       // the frame that is read
	body    bytes.Reader // of in
	decoder *msgpack.Decoder
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// NewCodec makes a Codec of a connection.
func NewCodec[F any](p Protocol, rw io.ReadWriter) *Codec[F] {
	c := &Codec[F]{protocol: p, r: bufio.NewReaderSize(rw, readBufferBytes), w: rw}
	c.encoder = msgpack.NewEncoder(&c.out)
	c.encoder.UseCompactInts(true)
	c.decoder = msgpack.NewDecoder(&c.body)
	return c
}

// Greet sends this end's greeting and reads the peer's. The error is one of the connection, an OtherProtocolError or a VersionError.
func (c *Codec[F]) Greet() error {
	own := c.protocol.greeting()
	if _, err := c.w.Write(own[:]); err != nil {
		return err
	}
	var peer [greetingBytes]byte
	if _, err := io.ReadFull(c.r, peer[:]); err != nil {
		return err
	}
	switch {
	case !bytes.Equal(peer[:4], own[:4]):
		return OtherProtocolError{PeerKind: c.protocol.PeerKind, FirstBytes: string(peer[:4])}
	case peer != own:
		return VersionError{Peer: binary.BigEndian.Uint16(peer[4:]), Own: uint16(c.protocol.Version)}
	}
	return nil
}

// Append adds a frame to what Flush will write. After an error, such as ErrFrameSize, what was appended before is unchanged.
func (c *Codec[F]) Append(f *F) error {
	start := c.out.Len()
	c.out.Write([]byte{0, 0, 0, 0, 0, 0, 0, 0}) // the header, written below
	if err := c.encoder.Encode(f); err != nil {
		c.out.Truncate(start)
		return fmt.Errorf("encode frame: %w", err)
	}
	n := c.out.Len() - start - headerBytes
	if n > c.protocol.MaxFrameBytes {
		c.out.Truncate(start)
		return fmt.Errorf("%w: %d bytes", ErrFrameSize, n)
	}
	frame := c.out.Bytes()[start:]
	binary.BigEndian.PutUint32(frame, uint32(n))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[headerBytes:], castagnoli))
	return nil
}

// Buffered is how many bytes wait to be written.
func (c *Codec[F]) Buffered() int { return c.out.Len() }

// Flush writes what was appended.
func (c *Codec[F]) Flush() error {
	_, err := c.w.Write(c.out.Bytes())
	c.out.Reset()
	if c.out.Cap() > maxIdleWriteBytes {
		c.out = bytes.Buffer{}
	}
	return err
}

// Read reads a frame. The error is one of the connection, or ErrFrameSize, ErrChecksum or ErrInvalidFrame for a peer that violates the
// protocol: the connection must be closed then.
func (c *Codec[F]) Read(f *F) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.r, header[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n == 0 || n > c.protocol.MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameSize, n)
	}
	if err := c.readBody(n); err != nil {
		return err
	}
	if crc32.Checksum(c.in, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return ErrChecksum
	}
	var zero F
	*f = zero
	c.body.Reset(c.in)
	c.decoder.Reset(&c.body)
	if err := c.decoder.Decode(f); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	if c.body.Len() > 0 {
		return fmt.Errorf("%w: %d bytes behind its value", ErrInvalidFrame, c.body.Len())
	}
	if cap(c.in) > maxIdleReadBytes {
		c.in = nil
	}
	return nil
}

// readBody reads n bytes into c.in, which grows with what has come.
func (c *Codec[F]) readBody(n int) error {
	c.in = c.in[:0]
	for len(c.in) < n {
		if len(c.in) == cap(c.in) {
			c.in = append(make([]byte, 0, min(n, max(minFrameBuffer, 2*cap(c.in)))), c.in...)
		}
		k, err := c.r.Read(c.in[len(c.in):min(cap(c.in), n)])
		c.in = c.in[:len(c.in)+k]
		if err != nil {
			return err
		}
	}
	return nil
}
