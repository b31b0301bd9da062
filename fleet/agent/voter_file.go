package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
)

// awaitsVoterFile reports whether this front is a voter whose file could not be opened yet.
func (a *Agent) awaitsVoterFile() bool { return a.config.VoterPath != "" && a.disk == nil }

// joinAfterVoterFile opens the voter's file once its disk works, adds the voter to the node and then lets the front join its fleet. Until
// then the front has no links: a voter must not send anything before it has read what it sent before. If the file can't be used for
// another reason, the front joins as a follower. joinAfterVoterFile also returns when the agent stops.
func (a *Agent) joinAfterVoterFile() {
	switch err := a.retryWhileDiskFails(a.startVoterFromFile); {
	case errors.Is(err, context.Canceled):
		return
	case err != nil:
		slog.Error("fleet: voter file can't be used; this front joins its fleet as a follower", "err", err)
	default:
		slog.Info("fleet: voter file opened after retries; this front joins its fleet")
	}
	a.mesh.Run()
}

// startVoterFromFile opens the voter's file and makes the node a voter with the state in it.
func (a *Agent) startVoterFromFile() error {
	file, state, err := a.calls.OpenVoterFile(a.config.VoterPath, a.config.ID, a.name)
	if err != nil {
		return err
	}
	if err := a.mesh.StartVoter(file, state); err != nil {
		_ = file.Close() // no state was written
		return fmt.Errorf("%s: %w", a.config.VoterPath, err)
	}
	a.disk = file
	return nil
}
