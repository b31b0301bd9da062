package router

import (
	"encoding/binary"
	"hash/crc32"
)

// How is a choice made that nothing else decides? Inputs: the seed and the number of draws so far. Invariant: equal events give equal
// draws, and no draw allocates (WIRE 1).

// randomSource is the instance's own random numbers: checksums of its seed and a counter.
type randomSource struct {
	seed, draws uint64
	buf         [16]byte // kept here so that a draw allocates nothing
}

// randomFloat is uniform in [0, 1).
func (c *randomSource) randomFloat() float64 {
	c.draws++
	binary.LittleEndian.PutUint64(c.buf[:8], c.seed)
	binary.LittleEndian.PutUint64(c.buf[8:], c.draws)
	return float64(crc32.ChecksumIEEE(c.buf[:])) / (1 << 32)
}
