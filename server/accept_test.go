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

// failingListener returns each of the given errors from one call of AcceptTCP before it accepts connections.
type failingListener struct {
	*net.TCPListener
	errors []syscall.Errno
}

func (l *failingListener) AcceptTCP() (*net.TCPConn, error) {
	if len(l.errors) > 0 {
		errno := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.TCPListener.AcceptTCP()
}

// No transient error of accept ends Serve.
func TestServeSurvivesTransientAcceptErrors(t *testing.T) {
	h := newHarness(t, 40)
	l := conntest.Listen(t)
	clock := monotonic.NewClock()
	server := New(Options{Post: func(e front.Event) { h.Core.Post(e) }, Limiter: h.Limiter, Clock: clock, WriteTimeout: 5 * time.Second, MemoryBytes: 32 << 20})
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&failingListener{l, []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPROTO, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.ENETDOWN}})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	p := conntest.NewPeer(t, c)
	p.Send([]byte{0, 0, 0, 8, 4, 210, 22, 47}...) // a request for encryption
	var answer [1]byte
	_, err = io.ReadFull(c, answer[:])
	require.NoError(t, err, "the connection is served")
	assert.Equal(t, "N", string(answer[:]))
	server.Drain(l)
	assert.NoError(t, <-served)
}
