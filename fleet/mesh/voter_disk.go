package mesh

import (
	"errors"
	"log/slog"
	"syscall"
)

// diskRetryTicks lies between two attempts of a write that fails, in tick intervals: the mesh is held up by each.
const diskRetryTicks = 10

// writePending writes what the voter waits for; m.mu must be held. A write that fails for lack of space, or by an error of the device,
// is retried: the voter sends nothing until it is on disk. By any other error the voter halts.
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
		case transientDiskError(err):
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

// transientDiskError reports whether a write may succeed later.
func transientDiskError(err error) bool {
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
