// Package tcpconn has what the server of clients and the pools of server connections need of a TCP connection beyond package net:
// whether input is pending, whether the other side has closed, and wakes by deadlines. It keeps no state.
package tcpconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Past is a deadline that ends a blocked read or write at once.
var Past = time.Unix(1, 0)

// IsTimeout reports whether a wait ended by a deadline that was set here. net.Error's Timeout would be true of ETIMEDOUT and EAGAIN
// too, by which a broken connection or a call that failed for a moment may show.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// SetReadDeadline sets the deadline of reads; the zero time is none. It fails only on a closed connection, as the next read does.
func SetReadDeadline(conn *net.TCPConn, at time.Time) { _ = conn.SetReadDeadline(at) }

// SetWriteDeadline sets the deadline of writes; the zero time is none. It fails only on a closed connection, as the next write does.
func SetWriteDeadline(conn *net.TCPConn, at time.Time) { _ = conn.SetWriteDeadline(at) }

// SetDeadline sets both deadlines.
func SetDeadline(conn *net.TCPConn, at time.Time) { _ = conn.SetDeadline(at) }

// Wake ends a blocked read; its error is one of which IsTimeout holds.
func Wake(conn *net.TCPConn) { SetReadDeadline(conn, Past) }

// Close closes a connection. There is nothing to do about an error: whatever it is, the descriptor is free.
func Close(conn *net.TCPConn) { _ = conn.Close() }

// CloseWrite ends this side's half; it fails only on a connection that the other side has reset.
func CloseWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

// Input is what is pending on a connection.
type Input uint8

// What may be pending.
const (
	NoInput     Input = iota
	DataPending       // bytes
	EndPending        // the end of the connection, or an error
)

// Peek returns what is pending, whatever the read deadline is: between a deadline and what follows it a busy machine lets time
// pass.
func Peek(conn *net.TCPConn) Input {
	raw, err := conn.SyscallConn()
	if err != nil {
		return EndPending
	}
	pending := EndPending
	_ = raw.Control(func(fd uintptr) { // it fails on a closed connection, whose end is pending
		var first [1]byte
		n, err := uninterrupted(func() (int, error) {
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

// AwaitHangup blocks until the other side has closed a connection, whatever it sent before and nobody has read; then it
// returns nil. It wakes for each change of the connection and returns an error at the read deadline.
func AwaitHangup(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(hungUp)
}

// PeerMonitor reports whether the other side of a connection has closed it, whatever it sent before and nobody has read. It may be asked
// from any goroutine, also after the connection was closed here.
type PeerMonitor struct{ raw syscall.RawConn }

// NewPeerMonitor returns the PeerMonitor of a connection.
func NewPeerMonitor(raw syscall.RawConn) *PeerMonitor { return &PeerMonitor{raw} }

// Disconnected implements front.ClientConnection. A connection that was closed here counts as closed by the other side.
func (p *PeerMonitor) Disconnected() bool {
	gone := true
	_ = p.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return gone
}

// hungUp reports whether the other side has closed.
func hungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := uninterrupted(func() (int, error) { return unix.Poll(p, 0) })
	return err == nil && n > 0
}

// uninterrupted repeats a system call until no signal interrupts it.
func uninterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
