package tcpconn

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Only a deadline set here is a timeout: a broken connection that shows as ETIMEDOUT, or a call that would block, is not.
func TestIsTimeoutOnlyForOwnDeadline(t *testing.T) {
	for err, want := range map[error]bool{
		os.ErrDeadlineExceeded: true, syscall.ETIMEDOUT: false, syscall.EAGAIN: false, syscall.EHOSTUNREACH: false, io.EOF: false,
	} {
		assert.Equal(t, want, IsTimeout(&net.OpError{Op: "read", Err: os.NewSyscallError("read", err)}), "%v", err)
		assert.Equal(t, want, IsTimeout(fmt.Errorf("wrapped: %w", err)), "%v", err)
	}
}

// A call that signals interrupt is repeated; what it then returns is passed on.
func TestInterruptedCallIsRepeated(t *testing.T) {
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
