// Package framing is what links between instances of the program share: a greeting, frames with checksums, and the keys
// of a link. The gateway's link and the fleet's mesh use it. It decides nothing and knows no frame's meaning.
package framing

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Protocol is one that frames are carried by. A connection of it begins, both ways, with the magic, a 0 byte and the
// version; a peer of another is refused.
type Protocol struct {
	Magic         [4]byte
	Version       uint8
	PeerKind      string // who speaks it, for errors: gateway
	MaxFrameBytes int    // the longest frame, in bytes behind its length
}

func (p Protocol) first() [6]byte {
	return [6]byte{p.Magic[0], p.Magic[1], p.Magic[2], p.Magic[3], 0, p.Version}
}

// Codec writes frames to one end of a connection and reads them from it: a length and a checksum (CRC-32C) of four bytes
// each, then a frame of type F in MessagePack. The checksum guards a plain link, and one through
// boxes that write packets anew, against a byte that changed on its way: TCP's own sum lets some pass. Room is made as bytes come, not as a length promises.
type Codec[F any] struct {
	p   Protocol
	r   *bufio.Reader
	w   io.Writer
	out bytes.Buffer
	in  []byte
	enc *msgpack.Encoder
	dec *msgpack.Decoder
	src bytes.Reader
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// NewCodec makes a Codec.
func NewCodec[F any](p Protocol, rw io.ReadWriter) *Codec[F] {
	c := &Codec[F]{p: p, r: bufio.NewReaderSize(rw, 16<<10), w: rw}
	c.enc = msgpack.NewEncoder(&c.out)
	c.enc.UseCompactInts(true)
	c.dec = msgpack.NewDecoder(&c.src)
	return c
}

// Greet sends the magic and the version, and reads the peer's. The error names what the peer speaks.
func (c *Codec[F]) Greet() error {
	magic := c.p.first()
	if _, err := c.w.Write(magic[:]); err != nil {
		return err
	}
	var theirs [6]byte
	if _, err := io.ReadFull(c.r, theirs[:]); err != nil {
		return err
	}
	switch {
	case !bytes.Equal(theirs[:4], magic[:4]):
		return fmt.Errorf("the peer is no %s: its first bytes are %q", c.p.PeerKind, theirs[:4])
	case theirs != magic:
		return fmt.Errorf("the peer speaks version %d of the link, and this is version %d: bring both to one",
			binary.BigEndian.Uint16(theirs[4:]), c.p.Version)
	}
	return nil
}

// Append adds a frame to what Flush will write.
func (c *Codec[F]) Append(f *F) error {
	at := c.out.Len()
	c.out.Write([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	if err := c.enc.Encode(f); err != nil {
		c.out.Truncate(at)
		return err
	}
	n := c.out.Len() - at - 8
	if n > c.p.MaxFrameBytes {
		c.out.Truncate(at)
		return fmt.Errorf("a frame of %d bytes", n)
	}
	b := c.out.Bytes()[at:]
	binary.BigEndian.PutUint32(b, uint32(n))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return nil
}

// Buffered is how many bytes wait to be written.
func (c *Codec[F]) Buffered() int { return c.out.Len() }

// Flush writes what was appended.
func (c *Codec[F]) Flush() error {
	_, err := c.w.Write(c.out.Bytes())
	c.out.Reset()
	if c.out.Cap() > 256<<10 {
		c.out = bytes.Buffer{}
	}
	return err
}

// Read reads a frame. An error that is no failure of the connection is a peer that makes no sense.
func (c *Codec[F]) Read(f *F) error {
	var head [8]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n == 0 || n > c.p.MaxFrameBytes {
		return fmt.Errorf("a frame of %d bytes", n)
	}
	c.in = c.in[:0]
	for len(c.in) < n {
		if len(c.in) == cap(c.in) {
			c.in = append(make([]byte, 0, min(n, max(512, 2*cap(c.in)))), c.in...)
		}
		k, err := c.r.Read(c.in[len(c.in):min(cap(c.in), n)])
		c.in = c.in[:len(c.in)+k]
		if err != nil {
			return err
		}
	}
	if crc32.Checksum(c.in, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return errors.New("a frame was changed on its way")
	}
	var none F
	*f = none
	c.src.Reset(c.in)
	c.dec.Reset(&c.src)
	if err := c.dec.Decode(f); err != nil {
		return fmt.Errorf("a frame that can't be read: %w", err)
	}
	if c.src.Len() > 0 {
		return fmt.Errorf("a frame with %d bytes to spare", c.src.Len())
	}
	if cap(c.in) > 64<<10 {
		c.in = nil
	}
	return nil
}
