package main

import (
	"context"
	"log/slog"
	"os"

	"dapplerouter/deployment"
)

// reloadOnSignal reads the instance's configuration again for each signal, and calls moved with the address of discovery. A file that
// cannot be opened or is not complete is read again until the next signal begins anew; one that is invalid changes nothing. Settings
// that take a restart are logged. It continues while the service drains.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, instance *deployment.Instance, moved func(discovery string)) {
	loaded := make(chan *deployment.Instance)
	cancelAttempt := func() {}
	for {
		select {
		case <-signals:
			cancelAttempt()
			var attempt context.Context
			attempt, cancelAttempt = context.WithCancel(ctx)
			go reloadOnce(attempt, loaded)
		case next := <-loaded:
			slog.Info("configuration reloaded", "discovery", next.Discovery)
			for _, key := range instance.RestartKeys(next) {
				slog.Warn("changed setting requires a restart", "key", key)
			}
			moved(next.Discovery)
		case <-ctx.Done():
			cancelAttempt()
			return
		}
	}
}

// reloadOnce sends the configuration as the file has it now, unless ctx ends before.
func reloadOnce(ctx context.Context, loaded chan<- *deployment.Instance) {
	next, err := reloadInstance(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		slog.Error("reload failed; keeping the previous configuration", "err", err)
	default:
		select {
		case loaded <- next:
		case <-ctx.Done():
		}
	}
}
