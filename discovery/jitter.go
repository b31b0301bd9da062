package discovery

import (
	"hash/crc32"
	"strconv"
	"sync/atomic"
)

// NewJitter returns a function that returns pseudo-random numbers evenly distributed between 0 and 1. Each seed gives another
// sequence, so that instances with different seeds do not call a service at the same time. The function is safe for concurrent
// use.
func NewJitter(seed uint64) func() float64 {
	var draws atomic.Uint64 // counted atomically: the watches of several addresses draw concurrently
	return func() float64 {
		n := draws.Add(1)
		sum := crc32.ChecksumIEEE([]byte(strconv.FormatUint(seed, 16) + "." + strconv.FormatUint(n, 10)))
		return float64(sum) / (1 << 32)
	}
}
