package agent

import (
	"time"

	"dapplerouter/fleet/disk"
)

// diskRetryInterval is the time between two attempts to open a file whose disk is full or failing.
const diskRetryInterval = 500 * time.Millisecond

// retryWhileDiskFails calls attempt in each diskRetryInterval until it succeeds or fails with an error that does not pass by itself, and
// returns that. If the agent stops before, it returns context.Canceled.
func (a *Agent) retryWhileDiskFails(attempt func() error) error {
	for {
		select {
		case <-time.After(diskRetryInterval):
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
		if err := attempt(); !disk.IsTransient(err) {
			return err
		}
	}
}
