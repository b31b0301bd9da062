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

// Limits of retries after a transient failure. The platform waits at most 30 s for a front to start, and requires that nine in ten start
// within 10 s.
const (
	startTimeout   = 15 * time.Second
	reloadTimeout  = time.Minute
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// retryable is an operation that is called again after a transient failure.
type retryable[T any] struct {
	name        string // in the log
	timeout     time.Duration
	isPermanent func(error) bool // reports whether a retry would fail in the same way
	call        func() (T, error)
}

// do calls the operation until it succeeds, fails permanently, exceeds its timeout, or ctx ends. It returns the last error. Of equal errors
// in a row, it logs only the first.
func (r retryable[T]) do(ctx context.Context) (T, error) {
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

// loadInstance reads the configuration file that EDGE_CONFIG names, when the process starts.
func loadInstance(ctx context.Context) (*deployment.Instance, error) {
	return retryable[*deployment.Instance]{"load configuration", startTimeout, isPermanentConfigError, func() (*deployment.Instance, error) {
		return deployment.Load(os.Getenv, os.ReadFile)
	}}.do(ctx)
}

// reloadInstance reads the configuration file again, for a reload.
func reloadInstance(ctx context.Context) (*deployment.Instance, error) {
	return retryable[*deployment.Instance]{"reload configuration", reloadTimeout, isPermanentConfigError,
		func() (*deployment.Instance, error) {
			return deployment.Reload(os.Getenv, os.ReadFile)
		}}.do(ctx)
}

// isPermanentConfigError reports whether reading the configuration again would fail in the same way.
func isPermanentConfigError(err error) bool {
	var keyError *deployment.KeyError
	return !errors.As(err, &keyError) || !keyError.Transient
}

// listen opens the TCP listener for clients.
func listen(ctx context.Context, address string) (*net.TCPListener, error) {
	return retryable[*net.TCPListener]{"listen", startTimeout, isPermanentListenError, func() (*net.TCPListener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return l.(*net.TCPListener), nil
	}}.do(ctx)
}

// isPermanentListenError reports whether listening again would fail in the same way: the address is invalid, or this process may not use
// it. Other errors of Linux may be transient: EADDRINUSE while another process is ending, ENFILE, ENOBUFS, EADDRNOTAVAIL and the like.
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
