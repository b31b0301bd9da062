package mesh

import (
	"log/slog"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/disk"
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
		case disk.IsTransient(err):
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

// StartVoter makes this front a voter whose durable state is on a disk. state is what the disk holds. Call it before Run, and only for a
// node that has no voter. The error says which part of state can't be used; the front is then still a follower.
func (m *Mesh) StartVoter(d Disk, state *fleet.DiskState) (err error) {
	m.Do(func(n *fleet.Node, now time.Duration) {
		if err = n.StartVoter(now, state); err == nil {
			m.options.Disk = d
		}
	})
	return err
}
