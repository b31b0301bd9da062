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
