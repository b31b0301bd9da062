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

// How long operations that fail transiently are retried. The platform waits 30 s for a front that starts, and 10 s for nine in ten.
const (
	startTimeout   = 15 * time.Second
	reloadTimeout  = time.Minute
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// retried is an operation that may fail transiently.
type retried[T any] struct {
	name        string // for the log
	timeout     time.Duration
	isPermanent func(error) bool // retrying would not help
	call        func() (T, error)
}

// do calls the operation until it succeeds, fails permanently, its timeout is over or ctx ends; it returns the last error. Of several
// equal errors in a row only the first is logged.
func (r retried[T]) do(ctx context.Context) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = initialBackoff, maxBackoff
	logged := ""
	return backoff.Retry(ctx, func() (T, error) {
		result, err := r.call()
		if err != nil && r.isPermanent(err) {
			return result, backoff.Permanent(err)
		}
		if err != nil && err.Error() != logged {
			logged = err.Error()
			slog.Warn("operation failed; retrying", "operation", r.name, "err", err)
		}
		return result, err
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(r.timeout))
}

// loadInstance reads the configuration that EDGE_CONFIG names, at the start.
func loadInstance(ctx context.Context) (*deployment.Instance, error) {
	return retried[*deployment.Instance]{"load configuration", startTimeout, isPermanentConfigError, func() (*deployment.Instance, error) {
		return deployment.Load(os.Getenv, os.ReadFile)
	}}.do(ctx)
}

// reloadInstance reads the configuration again.
func reloadInstance(ctx context.Context) (*deployment.Instance, error) {
	return retried[*deployment.Instance]{"reload configuration", reloadTimeout, isPermanentConfigError, func() (*deployment.Instance, error) {
		return deployment.Reload(os.Getenv, os.ReadFile)
	}}.do(ctx)
}

// isPermanentConfigError reports whether the configuration would be found the same when read again.
func isPermanentConfigError(err error) bool {
	var keyError *deployment.KeyError
	return !errors.As(err, &keyError) || !keyError.Transient
}

// listen opens the listener for clients.
func listen(ctx context.Context, address string) (*net.TCPListener, error) {
	return retried[*net.TCPListener]{"listen", startTimeout, isPermanentListenError, func() (*net.TCPListener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return l.(*net.TCPListener), nil
	}}.do(ctx)
}

// isPermanentListenError reports whether listening would fail in the same way again: the address is invalid, or not for this process.
// The other errors of Linux may pass: EADDRINUSE of a process that is about to end, ENFILE, ENOBUFS, EADDRNOTAVAIL and the like.
func isPermanentListenError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return true
	}
	switch errno {
	case syscall.EACCES, syscall.EPERM, syscall.EINVAL, syscall.EAFNOSUPPORT:
		return true
	}
	return false
}
