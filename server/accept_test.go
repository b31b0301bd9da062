package server

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/monotonic"
	"dapplerouter/testsupport/conntest"
)

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
func TestServeSurvivesTransientAcceptErrors(t *testing.T) {
	g := newHarness(t, 40)
	l := conntest.Listen(t)
	clock := monotonic.NewClock()
	server := New(Options{Post: func(e front.Event) { g.Core.Post(e) }, Limiter: g.Limiter, Clock: clock, WriteTimeout: 5 * time.Second, MemoryBytes: 32 << 20})
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&failingListener{l, []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPROTO, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.ENETDOWN}})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	p := conntest.NewPeer(t, c)
	p.Send([]byte{0, 0, 0, 8, 4, 210, 22, 47}...) // asks for encryption
	var answer [1]byte
	_, err = io.ReadFull(c, answer[:])
	require.NoError(t, err, "it is served")
	assert.Equal(t, "N", string(answer[:]))
	server.Drain(l)
	assert.NoError(t, <-served)
}
