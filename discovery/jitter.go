package discovery

import (
	"hash/crc32"
	"strconv"
	"sync/atomic"
)

// NewJitter returns a function that gives numbers evenly spread between 0 and 1, other ones for each seed, so that instances do not
// call a service all at once. It may be called from several goroutines.
func NewJitter(seed uint64) func() float64 {
	var draws atomic.Uint64 // watches of several addresses draw side by side
	return func() float64 {
		n := draws.Add(1)
		sum := crc32.ChecksumIEEE([]byte(strconv.FormatUint(seed, 16) + "." + strconv.FormatUint(n, 10)))
		return float64(sum) / (1 << 32)
	}
}
