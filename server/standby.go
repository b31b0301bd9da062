package server

import (
	"hash/crc32"
	"strconv"
	"sync/atomic"
	"time"
)

// standby decides whether a new connection is refused because this instance is on standby or has recently returned from standby. The zero
// value refuses none.
type standby struct {
	state    atomic.Int64 // onStandby, 0 if no connections are refused, or the time of the return on the server's clock, plus one
	recovery atomic.Int64 // time after the return until all new connections are admitted again, in nanoseconds
	counter  atomic.Int64 // new connections during recoveries; the hash of its value decides whether a connection is refused
}

// onStandby is the value of standby.state while the instance is on standby.
const onStandby = -1

// minAdmittedShare is the share of new connections that is admitted right after the return from standby.
const minAdmittedShare = 1.0 / 8

// begin starts to refuse all new connections.
func (s *standby) begin() { s.state.Store(onStandby) }

// end ends the standby and starts the recovery, during which an increasing share of new connections is admitted. It does nothing if the
// instance was not on standby: an instance that has just started must not refuse clients.
func (s *standby) end(now, recovery time.Duration) {
	if s.state.Load() == onStandby {
		s.recovery.Store(int64(max(recovery, 1)))
		s.state.Store(int64(now) + 1)
	}
}

// refuses reports whether the next new connection is to be refused. During the recovery it counts the connection.
func (s *standby) refuses(now time.Duration) bool {
	since := s.state.Load()
	if since == 0 {
		return false
	}
	if since == onStandby {
		return true
	}
	passed, recovery := float64(int64(now)-since), float64(s.recovery.Load())
	if passed >= recovery {
		s.state.CompareAndSwap(since, 0)
		return false
	}
	n := s.counter.Add(1)
	return float64(crc32.ChecksumIEEE(strconv.AppendInt(nil, n, 10)))/(1<<32) > max(passed/recovery, minAdmittedShare)
}

// SetStandby begins or ends a standby. While it lasts, connections end once their requests are answered, and new connections are refused.
// After its end an increasing share of new connections is admitted, beginning with minAdmittedShare, and all of them once the recovery time
// has passed, so that the returning instance is not overloaded. recovery is used only at the end of a standby. To end a standby that did
// not begin has no effect.
func (s *Server) SetStandby(on bool, recovery time.Duration) {
	if !on {
		s.standby.end(s.options.Clock.Now(), recovery)
		return
	}
	s.standby.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.idleSince.Load() > 0 {
			c.evict()
		}
	}
}
