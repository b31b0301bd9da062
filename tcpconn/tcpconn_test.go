package tcpconn

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Only a deadline that this process set is a timeout. A broken connection that is reported as ETIMEDOUT is not, nor is a call that would
// block.
func TestIsTimeoutOnlyForOwnDeadline(t *testing.T) {
	for err, want := range map[error]bool{
		os.ErrDeadlineExceeded: true, syscall.ETIMEDOUT: false, syscall.EAGAIN: false, syscall.EHOSTUNREACH: false, io.EOF: false,
	} {
		assert.Equal(t, want, IsTimeout(&net.OpError{Op: "read", Err: os.NewSyscallError("read", err)}), "%v", err)
		assert.Equal(t, want, IsTimeout(fmt.Errorf("wrapped: %w", err)), "%v", err)
	}
}

// A system call that signals interrupt is repeated, and the result of the last call is returned.
func TestInterruptedCallIsRepeated(t *testing.T) {
	for _, last := range []error{nil, syscall.EAGAIN, syscall.ENOMEM} {
		calls := 0
		n, err := retryInterrupted(func() (int, error) {
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

func TestUnreadCountsReceivedBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	conn := accepted.(*net.TCPConn)
	assert.Zero(t, Unread(conn))
	_, err = client.Write([]byte("12345"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return Unread(conn) == 5 }, 10*time.Second, time.Millisecond)
	_, err = conn.Read(make([]byte, 2))
	require.NoError(t, err)
	assert.Equal(t, 3, Unread(conn))
	require.NoError(t, conn.Close())
	assert.Zero(t, Unread(conn))
}
