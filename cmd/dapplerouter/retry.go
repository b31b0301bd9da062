package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dapplerouter/deployment"
)

// How long what may fail for a moment is tried again. The platform waits 30 s for a front that starts, and 10 s for nine in ten.
const (
	startTimeout   = 15 * time.Second
	reloadTimeout  = time.Minute
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// retry calls an operation until it succeeds, fails for good, or time is up; each failure of another kind is logged. It returns the
// last error.
func retry[T any](ctx context.Context, what string, within time.Duration, lasting func(error) bool, operation func() (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = initialBackoff, maxBackoff
	said := ""
	return backoff.Retry(ctx, func() (T, error) {
		result, err := operation()
		if err != nil && lasting(err) {
			return result, backoff.Permanent(err)
		}
		if err != nil && err.Error() != said {
			said = err.Error()
			slog.Warn(what+" failed; it is tried again", "why", err)
		}
		return result, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(within))
}

// loadInstance reads what the front is told at its start.
func loadInstance(ctx context.Context) (*deployment.Instance, error) {
	return retry(ctx, "reading the configuration", startTimeout, isPermanentConfigError, func() (*deployment.Instance, error) {
		return deployment.Load(os.Getenv, os.ReadFile)
	})
}

// reloadInstance reads the configuration again.
func reloadInstance(ctx context.Context) (*deployment.Instance, error) {
	return retry(ctx, "reading the new configuration", reloadTimeout, isPermanentConfigError, func() (*deployment.Instance, error) {
		return deployment.Reload(os.Getenv, os.ReadFile)
	})
}

// isPermanentConfigError tells whether another reading of the configuration would find it as it is.
func isPermanentConfigError(err error) bool {
	var fault *deployment.KeyError
	return !errors.As(err, &fault) || !fault.Transient
}

// listen opens the listener for clients.
func listen(ctx context.Context, address string) (*net.TCPListener, error) {
	return retry(ctx, "listening", startTimeout, isPermanentListenError, func() (*net.TCPListener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return l.(*net.TCPListener), nil
	})
}

// isPermanentListenError tells whether listening would fail in the same way again: the address is none, or not for this process. What
// Linux names otherwise may pass: EADDRINUSE of a process that is about to end, ENFILE, ENOBUFS, EADDRNOTAVAIL and the like.
func isPermanentListenError(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return true
	}
	switch number {
	case syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT:
		return true
	}
	return false
}
