package server

import (
	"hash/crc32"
	"strconv"
	"sync/atomic"
	"time"
)

// standby says whether new connections are refused because this instance is on standby, or returned from it a moment ago. Its zero value
// refuses none.
type standby struct {
	state      atomic.Int64 // onStandby, 0 for none, or the moment of the return on the server's clock, plus one
	recovery   atomic.Int64 // time over which new connections are admitted again after the return, in nanoseconds
	considered atomic.Int64 // new connections since, which are numbered to spread the refusals
}

const onStandby = -1

// minAdmitted is the part of the new connections that are admitted right after the return.
const minAdmitted = 1.0 / 8

// begin refuses all new connections.
func (s *standby) begin() { s.state.Store(onStandby) }

// end begins the recovery ramp. It does nothing where there was no standby: an instance that starts has no clients to spare.
func (s *standby) end(now, recovery time.Duration) {
	if s.state.Load() == onStandby {
		s.recovery.Store(int64(max(recovery, 1)))
		s.state.Store(int64(now) + 1)
	}
}

// refuses reports whether the next new connection is refused.
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
	n := s.considered.Add(1)
	return float64(crc32.ChecksumIEEE(strconv.AppendInt(nil, n, 10)))/(1<<32) > max(passed/recovery, minAdmitted)
}

// SetStandby begins or ends a standby. While it lasts, clients' connections end once their requests are answered, and new ones are
// refused. After its end new ones are admitted again at a rate that rises over the recovery time, so that an instance that returns
// is not flooded.
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
