package router

import (
	"encoding/binary"
	"hash/crc32"
)

// Which way does a decision fall that nothing else decides? Inputs: the seed and how often it was asked. Invariant: equal events give
// equal draws, and no draw allocates (WIRE 1).

// randomSource is the instance's own: a checksum over its seed and a counter.
type randomSource struct {
	seed, draws uint64
	buf         [16]byte // here, so that a draw allocates nothing
}

// randomFloat is even between 0 and 1.
func (c *randomSource) randomFloat() float64 {
	c.draws++
	binary.LittleEndian.PutUint64(c.buf[:8], c.seed)
	binary.LittleEndian.PutUint64(c.buf[8:], c.draws)
	return float64(crc32.ChecksumIEEE(c.buf[:])) / (1 << 32)
}
