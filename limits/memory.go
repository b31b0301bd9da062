package limits

import "sync/atomic"

// LongMessagesDivisor divides the memory limit: all long messages of clients together may hold this fraction (1/8) of it,
// and so may those of servers.
const LongMessagesDivisor = 8

// Memory is a budget of bytes. It keeps a flood of long messages from exhausting the memory of the process.
type Memory struct {
	reserved atomic.Int64
	limit    int64
}

// NewMemory returns a budget of the given number of bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserved returns the number of bytes reserved.
func (m *Memory) Reserved() int64 { return m.reserved.Load() }

// Reserve takes bytes from the budget and returns false if too few are left. A negative number returns bytes to the
// budget and always succeeds.
func (m *Memory) Reserve(bytes int) bool {
	if m.reserved.Add(int64(bytes)) > m.limit && bytes > 0 {
		m.reserved.Add(-int64(bytes))
		return false
	}
	return true
}
