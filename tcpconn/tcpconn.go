package tcpconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peek looks whether something has come in, whatever the deadline: 1 for bytes, 0 for the end of the
// connection, -1 for neither. Between a deadline and what follows it a busy machine lets time pass.
func Peek(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	raw.Control(func(fd uintptr) {
		var first [1]byte
		got, err := uninterrupted(func() (int, error) {
			got, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return got, err
		})
		switch err {
		case nil:
			n = got
		case syscall.EAGAIN:
			n = -1
		}
	})
	return n
}

// AwaitHangup blocks until the other side has closed a connection, whatever it sent before and nobody has read; then it
// returns nil. It wakes for each change of the connection and returns an error at the read deadline.
func AwaitHangup(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(hungUp)
}

// Presence tells whether the other side of a connection has closed it, whatever it sent before and nobody has read.
type Presence struct{ raw syscall.RawConn }

// NewPresence watches a connection.
func NewPresence(raw syscall.RawConn) *Presence { return &Presence{raw} }

// Disconnected implements front.Presence.
func (p *Presence) Disconnected() bool {
	gone := true // where the descriptor is closed already
	p.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return gone
}

// hungUp looks whether the other side has closed.
func hungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := uninterrupted(func() (int, error) { return unix.Poll(p, 0) })
	return err == nil && n > 0
}

// uninterrupted makes a system call until no signal interrupts it.
func uninterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != syscall.EINTR {
			return n, err
		}
	}
}

// IsTimeout tells whether a wait ended by a deadline that was set here. net.Error's Timeout would be true of ETIMEDOUT and EAGAIN
// too, by which a broken connection or a call that failed for a moment may show.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Past is a deadline that wakes a blocked read at once.
var Past = time.Unix(1, 0)
