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

// localErrors are errors of socket and connect for want of a resource that this machine lacks for a moment.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.EAGAIN, syscall.EINTR}

// A dial that fails for a moment for want of this machine's resources is retried: the request is served, and the server is not blamed.
func TestLocalDialFailureIsRetried(t *testing.T) {
	for _, number := range localErrors {
		t.Run(number.Error(), func(t *testing.T) {
			g := newHarness(t, 40)
			var tries atomic.Int64
			g.pools.dialControl = func(string, string, syscall.RawConn) error {
				if tries.Add(1) <= 3 {
					return os.NewSyscallError("connect", number)
				}
				return nil
			}
			g.AnswerAll()
			c := g.Client()
			c.Send(conntest.ReadQuery("4000")...)
			assert.Equal(t, routing.Succeeded, (<-g.Router.Finished).Result)
			assert.EqualValues(t, 4, tries.Load())
		})
	}
	t.Run("and keeps failing", func(t *testing.T) { // it is no fault of the server
		g := newHarness(t, 40)
		g.pools.options.DialTimeout = 400 * time.Millisecond // a hold-up of 0.15 s is shorter than half of it
		g.pools.dialControl = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", syscall.ENOBUFS) }
		c := g.Client()
		c.Send(conntest.ReadQuery("4000")...)
		assert.Equal(t, routing.NotSent, (<-g.Router.Finished).Result)
		c.Expect("EZ")
	})
}

// A last dial that has next to no time left ends at the deadline, whatever the cause: it does not count against the server.
func TestDialTimeoutAfterLocalFailureIsNotTheServersFault(t *testing.T) {
	g := newHarness(t, 40)
	g.pools.options.DialTimeout = 50 * time.Millisecond
	var tries atomic.Int64
	g.pools.dialControl = func(string, string, syscall.RawConn) error {
		if tries.Add(1) == 1 {
			time.Sleep(40 * time.Millisecond)
			return os.NewSyscallError("connect", syscall.ENOBUFS)
		}
		time.Sleep(20 * time.Millisecond) // the machine is late as well: the deadline goes by before the connect
		return nil
	}
	c := g.Client()
	c.Send(conntest.ReadQuery("4000")...)
	assert.Equal(t, routing.NotSent, (<-g.Router.Finished).Result)
	c.Expect("EZ")
}

// A single local failure does not excuse a server that then has most of the time and does not answer.
func TestDialTimeoutWithMostOfTheTimeIsTheServersFault(t *testing.T) {
	g := newHarness(t, 40)
	g.pools.options.DialTimeout = time.Second
	var tries atomic.Int64
	g.pools.dialControl = func(string, string, syscall.RawConn) error {
		if tries.Add(1) == 1 {
			return os.NewSyscallError("connect", syscall.ENOBUFS)
		}
		time.Sleep(1020 * time.Millisecond)
		return nil
	}
	g.Client().Send(conntest.ReadQuery("4000")...)
	assert.Equal(t, routing.Unreachable, (<-g.Router.Finished).Result)
}

// A remote failure counts against the server at once.
func TestRemoteDialFailureIsTheServersFault(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		g := newHarness(t, 40)
		g.pools.dialControl = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", number) }
		g.Client().Send(conntest.ReadQuery("4000")...)
		assert.Equal(t, routing.Unreachable, (<-g.Router.Finished).Result, number.Error())
	}
}
