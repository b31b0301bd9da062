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

// segmentExports is which closed segments were exported.
type segmentExports struct {
	mu      sync.Mutex      // held while segments are exported; guards the next two
	done    map[string]bool // exported, or removed before they were
	failing bool            // the last export failed

	count atomic.Uint64
}

// export copies closed segments as they come, each once.
func (w *auditWriter) export() {
	for {
		w.exportAll()
		select {
		case <-w.agent.ctx.Done():
			return
		case <-time.After(w.agent.config.LeaseDuration):
		}
	}
}

// exportAll exports the closed segments that were not exported yet, in their order, up to the first that fails. After a crash a segment
// may be tried again: a copy that is there already, and is the same, counts.
func (w *auditWriter) exportAll() {
	if w.config.ExportDir == "" {
		return
	}
	x := &w.exports
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, name := range w.segments.Sealed() {
		if x.done[name] {
			continue
		}
		err := disk.ExportSegment(w.config.LogDir, name, w.config.ExportDir)
		if errors.Is(err, os.ErrNotExist) && w.removed(name) {
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

// removed reports whether a segment was removed meanwhile, to keep the log within its size.
func (w *auditWriter) removed(name string) bool {
	_, err := os.Stat(filepath.Join(w.config.LogDir, name+audit.LogSuffix))
	return err != nil
}
