package sockets

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/routing"
)

// TERMS.md: "accept, socket and connect may fail for a moment (ECONNABORTED, ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH), waits may
// return EINTR, reads and writes may be short, a broken connection may show as ETIMEDOUT or EHOSTUNREACH."

// ofThisMachine are errors of socket and connect for want of something that this machine lacks for a moment.
var ofThisMachine = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH, syscall.EAGAIN, syscall.EINTR}

// A dial that fails for a moment for want of this machine's own is tried again: the request is served, and the member is not blamed.
func TestADialThatFailsHereIsTriedAgain(t *testing.T) {
	for _, number := range ofThisMachine {
		t.Run(number.Error(), func(t *testing.T) {
			g := newRig(t, 40)
			var tries atomic.Int64
			g.links.control = func(string, string, syscall.RawConn) error {
				if tries.Add(1) <= 3 {
					return os.NewSyscallError("connect", number)
				}
				return nil
			}
			g.answering()
			c := g.client()
			c.say(read("4000")...)
			assert.Equal(t, routing.Succeeded, (<-g.d.ended).Result)
			assert.EqualValues(t, 4, tries.Load())
		})
	}
	t.Run("and goes on failing", func(t *testing.T) { // it tells nothing of the member
		g := newRig(t, 40)
		g.links.dial = 400 * time.Millisecond // a hold-up of 0.15 s is shorter than half of it
		g.links.control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", syscall.ENOBUFS) }
		c := g.client()
		c.say(read("4000")...)
		assert.Equal(t, routing.NotSent, (<-g.d.ended).Result)
		c.hear("EZ")
	})
}

// A last try that has next to no time left ends at the deadline, whoever is to blame: it is not held against the member.
func TestADeadlineAfterFailuresOfThisMachineIsNotHeldAgainstTheMember(t *testing.T) {
	g := newRig(t, 40)
	g.links.dial = 50 * time.Millisecond
	var tries atomic.Int64
	g.links.control = func(string, string, syscall.RawConn) error {
		if tries.Add(1) == 1 {
			time.Sleep(40 * time.Millisecond)
			return os.NewSyscallError("connect", syscall.ENOBUFS)
		}
		time.Sleep(20 * time.Millisecond) // the machine is late as well: the deadline goes by before the connect
		return nil
	}
	c := g.client()
	c.say(read("4000")...)
	assert.Equal(t, routing.NotSent, (<-g.d.ended).Result)
	c.hear("EZ")
}

// A single failure here does not excuse a member that then has most of the time and does not answer.
func TestAMemberThatDoesNotAnswerAfterOneFailureHereIsBlamed(t *testing.T) {
	g := newRig(t, 40)
	g.links.dial = time.Second
	var tries atomic.Int64
	g.links.control = func(string, string, syscall.RawConn) error {
		if tries.Add(1) == 1 {
			return os.NewSyscallError("connect", syscall.ENOBUFS)
		}
		time.Sleep(1020 * time.Millisecond)
		return nil
	}
	g.client().say(read("4000")...)
	assert.Equal(t, routing.Unreachable, (<-g.d.ended).Result)
}

// What says of the member that it is not there still does.
func TestADialThatTheMemberDoesNotAnswerIsHeldAgainstIt(t *testing.T) {
	for _, number := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		g := newRig(t, 40)
		g.links.control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", number) }
		g.client().say(read("4000")...)
		assert.Equal(t, routing.Unreachable, (<-g.d.ended).Result, number.Error())
	}
}

// Only a deadline of our own is a wake: a broken connection that shows as ETIMEDOUT, or a call that would block, is none.
func TestOnlyADeadlineOfOurOwnIsATimeout(t *testing.T) {
	for err, want := range map[error]bool{
		os.ErrDeadlineExceeded: true, syscall.ETIMEDOUT: false, syscall.EAGAIN: false, syscall.EHOSTUNREACH: false, io.EOF: false,
	} {
		assert.Equal(t, want, timedOut(&net.OpError{Op: "read", Err: os.NewSyscallError("read", err)}), "%v", err)
		assert.Equal(t, want, timedOut(fmt.Errorf("wrapped: %w", err)), "%v", err)
	}
}

// failingListener fails so many calls of accept before it accepts.
type failingListener struct {
	*net.TCPListener
	fails []syscall.Errno
}

func (l *failingListener) AcceptTCP() (*net.TCPConn, error) {
	if len(l.fails) > 0 {
		number := l.fails[0]
		l.fails = l.fails[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", number)}
	}
	return l.TCPListener.AcceptTCP()
}

// No error that accept may return for a moment ends the service.
func TestAcceptThatFailsForAMomentEndsNoService(t *testing.T) {
	g := newRig(t, 40)
	l := listen(t)
	clock := NewClock()
	server := NewServer(func(e front.Event) { g.core.Post(e) }, g.room, clock, 5*time.Second, 32<<20)
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&failingListener{l, []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPROTO, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.ENETDOWN}})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	p := newPeer(t, c)
	p.say([]byte{0, 0, 0, 8, 4, 210, 22, 47}...) // asks for encryption
	var answer [1]byte
	_, err = io.ReadFull(c, answer[:])
	require.NoError(t, err, "it is served")
	assert.Equal(t, "N", string(answer[:]))
	server.Drain(l)
	assert.NoError(t, <-served)
}

// A call that signals interrupt is made again; what it then brings, or fails with, is passed on.
func TestAnInterruptedCallIsMadeAgain(t *testing.T) {
	for _, last := range []error{nil, syscall.EAGAIN, syscall.ENOMEM} {
		calls := 0
		n, err := uninterrupted(func() (int, error) {
			if calls++; calls <= 3 {
				return -1, syscall.EINTR
			}
			return 7, last
		})
		assert.Equal(t, 4, calls)
		assert.Equal(t, 7, n)
		assert.Equal(t, last, err)
	}
}
