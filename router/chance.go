package router

import (
	"encoding/binary"
	"hash/crc32"
)

// Which way does a decision fall that nothing else decides? Inputs: the seed and how often it was asked. Invariant: equal events give
// equal draws, and no draw allocates (WIRE 1).

// chance is the instance's own: a checksum over its seed and a counter.
type chance struct {
	seed, n uint64
	b       [16]byte // here, so that a draw allocates nothing
}

// draw is even between 0 and 1.
func (c *chance) draw() float64 {
	c.n++
	binary.LittleEndian.PutUint64(c.b[:8], c.seed)
	binary.LittleEndian.PutUint64(c.b[8:], c.n)
	return float64(crc32.ChecksumIEEE(c.b[:])) / (1 << 32)
}
