package router

import (
	"encoding/binary"
	"hash/crc32"
)

// This file provides random numbers for choices such as ties and pauses. Inputs: the seed and the number of draws so
// far. Invariant: the same events give the same draws, and no draw allocates.

// randomSource generates the instance's random numbers as checksums of its seed and a counter.
type randomSource struct {
	seed, draws uint64
	buf         [16]byte // part of the struct so that a draw allocates nothing
}

// randomFloat returns a random number from a uniform distribution over [0, 1).
func (s *randomSource) randomFloat() float64 {
	s.draws++
	binary.LittleEndian.PutUint64(s.buf[:8], s.seed)
	binary.LittleEndian.PutUint64(s.buf[8:], s.draws)
	return float64(crc32.ChecksumIEEE(s.buf[:])) / (1 << 32)
}
