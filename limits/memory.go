package limits

import "sync/atomic"

// LongMessagesPart is the part of the memory that clients' long messages may hold together, and that members' may.
const LongMessagesPart = 8

// Memory shares it out: a flood of long messages must not end the front.
type Memory struct {
	held atomic.Int64
	most int64
}

// NewMemory returns a budget of a number of bytes.
func NewMemory(most int64) *Memory { return &Memory{most: most} }

// Held is how much is taken.
func (b *Memory) Held() int64 { return b.held.Load() }

// Reserve takes room, or gives it back by a number below 0, and says whether there was some.
func (b *Memory) Reserve(bytes int) bool {
	if b.held.Add(int64(bytes)) > b.most && bytes > 0 {
		b.held.Add(-int64(bytes))
		return false
	}
	return true
}
