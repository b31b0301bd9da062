// Package framing implements the parts that all links between instances share: a greeting, frames with checksums, certificates and
// keys. The link between gateways and the mesh of a fleet use it. The package does not interpret the contents of frames.
//
// A Codec belongs to one connection. One goroutine may read from it while another one writes. Key files are read again for each new
// connection, so that the operator can replace them without a restart.
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

// Protocol identifies the protocol of a link and its version. Both sides of a connection first send a greeting: the magic, a zero byte
// and the version. A peer with another protocol or version is rejected.
type Protocol struct {
	Magic         [4]byte
	Version       uint8
	PeerKind      string // what a peer of this protocol is called in errors, for example "gateway"
	MaxFrameBytes int    // maximum length of a frame without its header
}

const (
	greetingBytes = 6
	headerBytes   = 8 // header of a frame: its length and its checksum

	readBufferBytes = 16 << 10
	// Buffers that are larger than these sizes after a large frame are released.
	maxIdleWriteBytes = 256 << 10
	maxIdleReadBytes  = 64 << 10
	// minReadBytes is the initial size of the buffer of a received frame. The buffer grows with the bytes received, so that a header
	// with a large length takes no memory by itself.
	minReadBytes = 512
)

// greeting returns the bytes that each side sends first.
func (p Protocol) greeting() [greetingBytes]byte {
	return [greetingBytes]byte{p.Magic[0], p.Magic[1], p.Magic[2], p.Magic[3], 0, p.Version}
}

// Codec writes frames to a connection and reads frames from it. A frame consists of a length and a CRC-32C checksum, both four bytes in
// big-endian order, and a value of type F in MessagePack. The checksum detects corrupted bytes on links without TLS and on links through
// devices that rewrite packets, because TCP's own checksum misses some corruptions.
type Codec[F any] struct {
	protocol Protocol

	w       io.Writer
	out     bytes.Buffer // appended frames that Flush will write
	encoder *msgpack.Encoder

	r       *bufio.Reader
	in      []byte       // body of the frame that is being read
	body    bytes.Reader // reads in for the decoder
	decoder *msgpack.Decoder
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// NewCodec returns a Codec for a connection.
func NewCodec[F any](p Protocol, rw io.ReadWriter) *Codec[F] {
	c := &Codec[F]{protocol: p, r: bufio.NewReaderSize(rw, readBufferBytes), w: rw}
	c.encoder = msgpack.NewEncoder(&c.out)
	c.encoder.UseCompactInts(true)
	c.decoder = msgpack.NewDecoder(&c.body)
	return c
}

// Greet sends this side's greeting and reads the peer's. The error is an OtherProtocolError, a VersionError or an error of the
// connection.
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

// Append encodes a frame and adds it to the buffer that Flush writes. An error, such as ErrFrameSize, leaves the frames that were
// appended before unchanged.
func (c *Codec[F]) Append(f *F) error {
	start := c.out.Len()
	c.out.Write([]byte{0, 0, 0, 0, 0, 0, 0, 0}) // placeholder for the header, which is set below
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

// Buffered returns the number of bytes that Flush will write.
func (c *Codec[F]) Buffered() int { return c.out.Len() }

// Flush writes the appended frames to the connection. It drops them even if it returns an error.
func (c *Codec[F]) Flush() error {
	_, err := c.w.Write(c.out.Bytes())
	c.out.Reset()
	if c.out.Cap() > maxIdleWriteBytes {
		c.out = bytes.Buffer{}
	}
	return err
}

// Read reads a frame. The error is ErrFrameSize, ErrChecksum or ErrInvalidFrame if the peer violates the protocol, or an error of the
// connection. The connection must be closed after an error.
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
		return fmt.Errorf("%w: %d bytes after its value", ErrInvalidFrame, c.body.Len())
	}
	if cap(c.in) > maxIdleReadBytes {
		c.in = nil
	}
	return nil
}

// readBody reads n bytes into c.in, which grows with the bytes received.
func (c *Codec[F]) readBody(n int) error {
	c.in = c.in[:0]
	for len(c.in) < n {
		if len(c.in) == cap(c.in) {
			c.in = append(make([]byte, 0, min(n, max(minReadBytes, 2*cap(c.in)))), c.in...)
		}
		k, err := c.r.Read(c.in[len(c.in):min(cap(c.in), n)])
		c.in = c.in[:len(c.in)+k]
		if err != nil {
			return err
		}
	}
	return nil
}
