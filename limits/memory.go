package limits

import "sync/atomic"

// LongMessagesPart is the part of the memory, as its denominator, that clients' long messages may hold together, and that servers'
// may.
const LongMessagesPart = 8

// Memory is a budget of bytes: a flood of long messages must not end the process.
type Memory struct {
	reserved atomic.Int64
	limit    int64
}

// NewMemory returns a budget of a number of bytes.
func NewMemory(most int64) *Memory { return &Memory{limit: most} }

// Reserved returns how many bytes are reserved.
func (m *Memory) Reserved() int64 { return m.reserved.Load() }

// Reserve takes bytes from the budget, and returns false where there are too few. A number below 0 gives bytes back and always
// succeeds.
func (m *Memory) Reserve(bytes int) bool {
	if m.reserved.Add(int64(bytes)) > m.limit && bytes > 0 {
		m.reserved.Add(-int64(bytes))
		return false
	}
	return true
}
