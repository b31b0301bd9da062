package fakeserver

import (
	"fmt"
	"strconv"
	"time"
)

// This file is how far a server has applied the log, and what it reports about that.

// StopApplying makes the server's log position stand at a time of its wall clock while it is a replica. The zero time ends that.
func (s *Server) StopApplying(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedMillis = 0
	if !at.IsZero() {
		s.stoppedMillis = at.UnixMilli()
	}
}

// HoldLoadReport makes health checks get the load report of this moment from now on, or the present one again if on is false. The role and
// the position beside the report stay those of the present.
func (s *Server) HoldLoadReport(on bool) {
	report := ""
	if on {
		report = s.currentLoadReport(time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldReport = report
}

// Now returns the wall clock of the servers.
func (g *Group) Now() time.Time { return time.Now().Add(time.Duration(g.WallClockOffset.Load())) }

// appliedMillis returns the log position of the server in Unix milliseconds: the time up to which all changes are applied. now
// is a time of this process's clock.
func (s *Server) appliedMillis(now time.Time) int64 {
	now = now.Add(time.Duration(s.group.WallClockOffset.Load()))
	if s.isPrimary() {
		return now.UnixMilli()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stoppedMillis != 0 {
		return s.stoppedMillis
	}
	return now.Add(-time.Duration(s.group.ReplicaLag.Load())).UnixMilli()
}

// loadReport returns the response to a health check.
func (s *Server) loadReport(now time.Time) []byte {
	s.mu.Lock()
	report := s.heldReport
	s.mu.Unlock()
	if report == "" {
		report = s.currentLoadReport(now)
	}
	return s.appendStatus(appendResult(nil, [][]string{{report}}, "SHOW"), s.isPrimary(), s.appliedMillis(now))
}

// currentLoadReport returns the server's load report for a time of this process's clock.
func (s *Server) currentLoadReport(now time.Time) string {
	role := 0
	if s.isPrimary() {
		role = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d,inflight=0", float64(s.appliedMillis(now))/1e3, role)
}

// isBehind reports whether a statement requires a log position that the server has not applied yet.
func (s *Server) isBehind(sql string, now time.Time) bool {
	f := minPositionPattern.FindStringSubmatch(sql)
	if f == nil {
		return false
	}
	after, _ := strconv.ParseInt(f[1], 10, 64) // only digits match; out of range gives the maximum
	return after > s.appliedMillis(now)
}
