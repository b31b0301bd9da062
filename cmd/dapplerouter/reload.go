package main

import (
	"context"
	"log/slog"
	"os"

	"dapplerouter/deployment"
)

// reloadOnSignal reloads the instance's configuration on each signal and calls setDiscovery with the address of discovery, until ctx ends.
// A file that can't be opened or is incomplete is read again for up to reloadTimeout. Another signal meanwhile cancels that attempt and
// reads the file anew. An invalid file changes nothing. Changed settings that require a restart are logged. Reloads continue while the
// service drains.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, instance *deployment.Instance, setDiscovery func(address string)) {
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
			setDiscovery(next.Discovery)
		case <-ctx.Done():
			cancelAttempt()
			return
		}
	}
}

// reloadOnce reloads the configuration and sends it to loaded, unless ctx ends first. An error is logged.
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
