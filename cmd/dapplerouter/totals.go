package main

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"dapplerouter/front"
)

const totalsInterval = 10 * time.Second

// logTotals has the core write its totals to the log, with the process's use of resources.
func (s *service) logTotals() { s.post(front.LogTotals{Extra: s.resourceUsage()}) }

// resourceUsage returns attributes for a line of the log: open connections, goroutines, and memory in bytes.
func (s *service) resourceUsage() []any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	clients, links, peak := s.descriptors.InUse()
	return []any{"clients", clients, "links", links, "peak", peak, "goroutines", runtime.NumGoroutine(),
		"memory", m.Sys - m.HeapReleased, "collections", m.NumGC, "cpu", processorTime()}
}

// processorTime is what the process has used since its start, in user and system mode; 0 where the system does not tell.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runPeriodically calls a function at intervals until ctx ends.
func runPeriodically(ctx context.Context, call func()) {
	t := time.NewTicker(totalsInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			call()
		case <-ctx.Done():
			return
		}
	}
}
