// Package testports reserves loopback addresses for processes that tests start.
package testports

import (
	"fmt"
	"os"
	"sync"
	"syscall"
)

// Reservation keeps the kernel from choosing a TCP port of 127.0.0.1 for another listener or for the local end of a connection.
// A program that binds the port by its number can listen on it, also again after a restart.
//
// The reservation is a socket that is bound with SO_REUSEADDR but does not listen (socket(7)). The kernel skips such a port
// when it chooses one, but lets a listener with SO_REUSEADDR, which the net package sets, bind the port by its number.
type Reservation struct {
	// Address is the host and port.
	Address string

	descriptor int
	once       sync.Once
}

// Reserve reserves a port that is free. The errors are those of the system calls.
func Reserve() (*Reservation, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	address, err := bind(descriptor)
	if err != nil {
		_ = syscall.Close(descriptor) // the first error is the one to report
		return nil, err
	}
	return &Reservation{Address: address, descriptor: descriptor}, nil
}

// bind binds a socket to a loopback port that the kernel chooses, and sets SO_REUSEADDR.
func bind(descriptor int) (address string, err error) {
	// The option is set after the port is chosen: with it, the kernel may choose a port that is already reserved.
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	socketName, err := syscall.Getsockname(descriptor)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	local, ok := socketName.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("getsockname of an IPv4 socket: %w", syscall.EAFNOSUPPORT)
	}
	return fmt.Sprintf("127.0.0.1:%d", local.Port), nil
}

// Release ends the reservation. Further calls do nothing.
func (r *Reservation) Release() {
	r.once.Do(func() { _ = syscall.Close(r.descriptor) })
}
