// Package link carries a gateway's frames: sockets, framing, TLS, heartbeats and reconnects. It decides nothing: what
// is sent, what became of it and when a link counts as down stands in package gateway.
package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/gateway"
)

// Version of the wire format; a peer of another is refused. docs/gateway-wire.md describes it.
const Version = 1

// magic begins every connection, both ways, with the version behind it.
var magic = [6]byte{'D', 'R', 'L', 'K', 0, Version}

// longest is the longest frame, in bytes behind its length.
const longest = gateway.LongestData + 4096

// Codec writes frames to one end of a connection and reads them from it: a length and a checksum (CRC-32C) of four bytes
// each, then the fields of a gateway.Frame as a MessagePack array. The checksum guards a plain link, and one through
// boxes that write packets anew, against a byte that changed on its way: TCP's own sum lets some pass. Room is made as bytes come, not as a length promises.
type Codec struct {
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
func NewCodec(rw io.ReadWriter) *Codec {
	c := &Codec{r: bufio.NewReaderSize(rw, 16<<10), w: rw}
	c.enc = msgpack.NewEncoder(&c.out)
	c.enc.UseCompactInts(true)
	c.dec = msgpack.NewDecoder(&c.src)
	return c
}

// Greet sends the magic and the version, and reads the peer's. The error names what the peer speaks.
func (c *Codec) Greet() error {
	if _, err := c.w.Write(magic[:]); err != nil {
		return err
	}
	var theirs [6]byte
	if _, err := io.ReadFull(c.r, theirs[:]); err != nil {
		return err
	}
	switch {
	case !bytes.Equal(theirs[:4], magic[:4]):
		return fmt.Errorf("the peer is no gateway: its first bytes are %q", theirs[:4])
	case theirs != magic:
		return fmt.Errorf("the peer speaks version %d of the link, and this is version %d: bring both to one",
			binary.BigEndian.Uint16(theirs[4:]), Version)
	}
	return nil
}

// Append adds a frame to what Flush will write.
func (c *Codec) Append(f *gateway.Frame) error {
	at := c.out.Len()
	c.out.Write([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	if err := c.enc.Encode(f); err != nil {
		c.out.Truncate(at)
		return err
	}
	n := c.out.Len() - at - 8
	if n > longest {
		c.out.Truncate(at)
		return fmt.Errorf("a frame of %d bytes", n)
	}
	b := c.out.Bytes()[at:]
	binary.BigEndian.PutUint32(b, uint32(n))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return nil
}

// Buffered is how many bytes wait to be written.
func (c *Codec) Buffered() int { return c.out.Len() }

// Flush writes what was appended.
func (c *Codec) Flush() error {
	_, err := c.w.Write(c.out.Bytes())
	c.out.Reset()
	if c.out.Cap() > 256<<10 {
		c.out = bytes.Buffer{}
	}
	return err
}

// Read reads a frame. An error that is no failure of the connection is a peer that makes no sense.
func (c *Codec) Read(f *gateway.Frame) error {
	var head [8]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n == 0 || n > longest {
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
	*f = gateway.Frame{}
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
