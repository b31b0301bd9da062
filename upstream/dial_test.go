package upstream

import (
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
	"dapplerouter/testsupport/conntest"
)

// localErrors are errors of the system calls socket and connect that are caused by a temporary lack of a resource on this machine.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.EAGAIN, syscall.EINTR}

// A dial that fails for a temporary lack of local resources is retried. The request is served, and the failure does not count against the
// server.
func TestLocalDialFailureIsRetried(t *testing.T) {
	for _, number := range localErrors {
		t.Run(number.Error(), func(t *testing.T) {
			h := newHarness(t, 40)
			var tries atomic.Int64
			h.pools.dialControl = func(string, string, syscall.RawConn) error {
				if tries.Add(1) <= 3 {
					return os.NewSyscallError("connect", number)
				}
				return nil
			}
			h.RespondToAll()
			client := h.ConnectClient()
			client.Send(conntest.ReadQuery("4000")...)
			assert.Equal(t, routing.Succeeded, (<-h.Router.Finished).Result)
			assert.EqualValues(t, 4, tries.Load())
		})
	}
	t.Run("permanent", func(t *testing.T) { // a local failure until the dial timeout does not count against the server
		h := newHarness(t, 40)
		h.pools.options.DialTimeout = 400 * time.Millisecond // a delay of 0.15 s is less than half of the timeout
		h.pools.dialControl = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", syscall.ENOBUFS) }
		client := h.ConnectClient()
		client.Send(conntest.ReadQuery("4000")...)
		assert.Equal(t, routing.NotSent, (<-h.Router.Finished).Result)
		client.Expect("EZ")
	})
}

// A retry that has little time left before the deadline may time out for any cause, so the timeout does not count against the server.
func TestDialTimeoutAfterLocalFailureIsNotTheServersFault(t *testing.T) {
	h := newHarness(t, 40)
	h.pools.options.DialTimeout = 50 * time.Millisecond
	var tries atomic.Int64
	h.pools.dialControl = func(string, string, syscall.RawConn) error {
		if tries.Add(1) == 1 {
			time.Sleep(40 * time.Millisecond)
			return os.NewSyscallError("connect", syscall.ENOBUFS)
		}
		time.Sleep(20 * time.Millisecond) // a slow machine: the deadline passes before the connect
		return nil
	}
	client := h.ConnectClient()
	client.Send(conntest.ReadQuery("4000")...)
	assert.Equal(t, routing.NotSent, (<-h.Router.Finished).Result)
	client.Expect("EZ")
}

// If the retry after a local failure has most of the dial timeout and still times out, the timeout counts against the server.
func TestDialTimeoutWithMostOfTheTimeIsTheServersFault(t *testing.T) {
	h := newHarness(t, 40)
	h.pools.options.DialTimeout = time.Second
	var tries atomic.Int64
	h.pools.dialControl = func(string, string, syscall.RawConn) error {
		if tries.Add(1) == 1 {
			return os.NewSyscallError("connect", syscall.ENOBUFS)
		}
		time.Sleep(1020 * time.Millisecond)
		return nil
	}
	h.ConnectClient().Send(conntest.ReadQuery("4000")...)
	assert.Equal(t, routing.Unreachable, (<-h.Router.Finished).Result)
}

// A failure at the server or on the way to it counts against the server without a retry.
func TestRemoteDialFailureIsTheServersFault(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		h := newHarness(t, 40)
		h.pools.dialControl = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", number) }
		h.ConnectClient().Send(conntest.ReadQuery("4000")...)
		assert.Equal(t, routing.Unreachable, (<-h.Router.Finished).Result, number.Error())
	}
}
