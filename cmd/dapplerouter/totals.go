package main

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"dapplerouter/front"
)

const totalsInterval = 10 * time.Second

// logTotals makes the core log its totals, along with the resource usage of the process.
func (s *service) logTotals() { s.post(front.LogTotals{Extra: s.resourceUsage()}) }

// resourceUsage returns attributes for a log line: open connections, goroutines, memory in bytes, garbage collections and CPU time.
func (s *service) resourceUsage() []any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	clients, links, peak := s.descriptors.InUse()
	return []any{"clients", clients, "links", links, "peak", peak, "goroutines", runtime.NumGoroutine(),
		"memory", m.Sys - m.HeapReleased, "collections", m.NumGC, "cpu", processCPUTime()}
}

// processCPUTime returns the CPU time of the process since its start, in user and system mode, or 0 if it can't be read.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runPeriodically calls a function every totalsInterval until ctx ends.
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
