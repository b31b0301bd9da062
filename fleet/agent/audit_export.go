package agent

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// segmentExports records, in memory only, which closed segments this process has exported. After a restart it is empty.
type segmentExports struct {
	mu      sync.Mutex      // held during an export; guards done and failing
	done    map[string]bool // segments that were exported, or removed before their export
	failing bool            // the last export failed

	count atomic.Uint64 // exported segments
}

// runExports exports closed segments as they appear, each once, until the agent stops.
func (w *auditWriter) runExports() {
	for {
		w.exportAll()
		select {
		case <-w.agent.ctx.Done():
			return
		case <-time.After(w.agent.config.LeaseDuration):
		}
	}
}

// exportAll exports the closed segments that are not exported yet, oldest first, up to the first one that fails. After a restart all
// segments are exported again: an existing copy with the same content counts as exported.
func (w *auditWriter) exportAll() {
	if w.config.ExportDir == "" {
		return
	}
	x := &w.exports
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, name := range w.segments.ClosedSegments() {
		if x.done[name] {
			continue
		}
		err := disk.ExportSegment(w.config.LogDir, name, w.config.ExportDir)
		if errors.Is(err, os.ErrNotExist) && w.isSegmentRemoved(name) {
			x.done[name] = true
			continue
		}
		if (err != nil) != x.failing {
			if x.failing = err != nil; x.failing {
				slog.Error("audit: segment export failed; retrying", "segment", name, "err", err)
			}
		}
		if err != nil {
			return
		}
		x.done[name] = true
		x.count.Add(1)
	}
}

// isSegmentRemoved reports whether a segment was removed in the meantime to keep the log within its size.
func (w *auditWriter) isSegmentRemoved(name string) bool {
	_, err := os.Stat(filepath.Join(w.config.LogDir, name+audit.LogSuffix))
	return err != nil
}
