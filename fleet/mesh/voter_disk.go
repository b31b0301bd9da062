package mesh

import (
	"errors"
	"log/slog"
	"syscall"
)

// diskRetryTicks is the time between two attempts of a failing write, in tick intervals. The mesh is blocked during each attempt.
const diskRetryTicks = 10

// writePending performs the disk writes that the voter waits for; m.mu must be held. A write that fails with a transient error, such as a
// full disk or a device error, is retried; the voter sends nothing until it succeeds. Any other error halts the voter.
func (m *Mesh) writePending() {
	for m.Now() >= m.diskRetryAt {
		w, ok := m.node.PendingWrite()
		if !ok {
			return
		}
		err := m.options.Disk.Save(w)
		switch {
		case err == nil:
			if m.diskRetryAt > 0 {
				m.diskRetryAt = 0
				slog.Info("fleet: voter disk write succeeded after retries")
			}
			m.node.WriteDone(m.Now())
		case isTransientDiskError(err):
			if m.diskRetryAt == 0 {
				slog.Error("fleet: voter disk write failed; retrying, the voter sends nothing until then", "err", err)
			}
			m.diskRetryAt = m.Now() + diskRetryTicks*m.options.Timing.TickInterval()
			return
		default:
			m.node.WriteFailed(err)
			return
		}
	}
}

// isTransientDiskError reports whether a write that failed with err may succeed later.
func isTransientDiskError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM:
		return true
	}
	return false
}
