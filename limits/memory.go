package limits

import "sync/atomic"

// LongMessagesPart is the part of the memory, as its denominator, that clients' long messages may hold together, and that servers'
// may.
const LongMessagesPart = 8

// Memory is a budget of bytes: a flood of long messages must not end the process.
type Memory struct {
	held atomic.Int64
	most int64
}

// NewMemory returns a budget of a number of bytes.
func NewMemory(most int64) *Memory { return &Memory{most: most} }

// Held returns how many bytes are reserved.
func (m *Memory) Held() int64 { return m.held.Load() }

// Reserve takes bytes from the budget, and returns false where there are too few. A number below 0 gives bytes back and always
// succeeds.
func (m *Memory) Reserve(bytes int) bool {
	if m.held.Add(int64(bytes)) > m.most && bytes > 0 {
		m.held.Add(-int64(bytes))
		return false
	}
	return true
}
