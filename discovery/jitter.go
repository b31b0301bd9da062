package discovery

import (
	"hash/crc32"
	"strconv"
)

// NewJitter gives even numbers between 0 and 1 that differ from front to front.
func NewJitter(seed uint64) func() float64 {
	n := uint64(0)
	return func() float64 {
		n++
		sum := crc32.ChecksumIEEE([]byte(strconv.FormatUint(seed, 16) + "." + strconv.FormatUint(n, 10)))
		return float64(sum) / (1 << 32)
	}
}
