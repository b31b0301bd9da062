// Package tcpconn extends package net by functions on TCP connections that client connections and server connections need: checks for
// pending input and for a close by the peer, and the interruption of blocked calls by deadlines. It has no state.
package tcpconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Past is a deadline that ends blocked reads and writes immediately.
var Past = time.Unix(1, 0)

// IsTimeout reports whether a call ended by a deadline that this process set. The method Timeout of net.Error is not sufficient, because it
// is also true for ETIMEDOUT and EAGAIN, which may be caused by a broken connection or a temporary failure.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// SetReadDeadline sets the deadline of reads; the zero time means no deadline. It ignores the error, which occurs only on a closed
// connection, where the next read fails as well.
func SetReadDeadline(conn *net.TCPConn, at time.Time) { _ = conn.SetReadDeadline(at) }

// SetWriteDeadline sets the deadline of writes; the zero time means no deadline. It ignores the error, which occurs only on a closed
// connection, where the next write fails as well.
func SetWriteDeadline(conn *net.TCPConn, at time.Time) { _ = conn.SetWriteDeadline(at) }

// SetDeadline sets the deadlines of reads and writes.
func SetDeadline(conn *net.TCPConn, at time.Time) { _ = conn.SetDeadline(at) }

// InterruptRead ends a blocked read. The read returns an error for which IsTimeout is true.
func InterruptRead(conn *net.TCPConn) { SetReadDeadline(conn, Past) }

// Close closes a connection. It ignores the error, because the descriptor is released in any case.
func Close(conn *net.TCPConn) { _ = conn.Close() }

// CloseWrite closes the write half of a connection. It ignores the error, which occurs only if the peer has reset the connection.
func CloseWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

// Input is the kind of input that is pending on a connection.
type Input uint8

// Kinds of pending input.
const (
	NoInput     Input = iota
	DataPending       // at least one byte
	EndPending        // the end of the stream, or an error
)

// Peek returns the kind of input that is pending. It neither consumes input nor blocks. DataPending means that at least one byte can be
// read. EndPending means that all input was read and the peer will send no more, or that the connection has failed or was closed locally.
// NoInput means that nothing has arrived yet. Peek ignores the read deadline, because input may arrive after the deadline has ended a read
// and before the caller reacts.
func Peek(conn *net.TCPConn) Input {
	raw, err := conn.SyscallConn()
	if err != nil {
		return EndPending
	}
	pending := EndPending
	_ = raw.Control(func(fd uintptr) { // an error means that the connection is closed, so EndPending is right
		var first [1]byte
		n, err := retryInterrupted(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
		switch {
		case err == nil && n > 0:
			pending = DataPending
		case errors.Is(err, syscall.EAGAIN):
			pending = NoInput
		}
	})
	return pending
}

// Unread returns how many bytes the connection has received that were not read yet, 0 if that is unknown.
func Unread(conn *net.TCPConn) (bytes int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// AwaitHangup blocks until the peer has closed the connection, and then returns nil. Unread input from the peer does not matter. It checks
// the connection at each change of its state, and returns an error at the read deadline.
func AwaitHangup(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(hungUp)
}

// PeerMonitor reports whether the peer of a connection has closed it. Unread input from the peer does not matter. A PeerMonitor runs
// nothing in the background: each call of Disconnected asks the operating system for the present state. It may be used from any goroutine,
// also after the connection was closed locally.
type PeerMonitor struct{ raw syscall.RawConn }

// NewPeerMonitor returns the PeerMonitor of a TCP connection. raw is the result of the connection's method SyscallConn.
func NewPeerMonitor(raw syscall.RawConn) *PeerMonitor { return &PeerMonitor{raw} }

// Disconnected implements front.ClientConnection. It returns true if the peer has closed the connection or its sending half, if the
// connection has failed, and if it was closed locally. It does not block.
func (p *PeerMonitor) Disconnected() bool {
	gone := true
	_ = p.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return gone
}

// hungUp reports whether the peer has closed the connection or it has failed.
func hungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := retryInterrupted(func() (int, error) { return unix.Poll(p, 0) })
	return err == nil && n > 0
}

// retryInterrupted repeats a system call for as long as signals interrupt it (EINTR).
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
