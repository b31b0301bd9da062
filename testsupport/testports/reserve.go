// Package testports reserves loopback addresses for the processes of tests.
package testports

import (
	"fmt"
	"os"
	"sync"
	"syscall"
)

// Reservation keeps a TCP port of 127.0.0.1 from being given to anybody who lets the kernel choose: another listener, or a
// connection's own end. A program that names the port can listen there, again after each restart.
//
// It rests on a socket that is bound with SO_REUSEADDR and does not listen (socket(7)): the kernel passes over such a port when it
// chooses one, and lets a listener with SO_REUSEADDR, which the net package sets, bind it by its number.
type Reservation struct {
	// Address is host and port.
	Address string

	descriptor int
	once       sync.Once
}

// Reserve reserves a port; errors are those of the system calls.
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

// bind binds a socket to a port that the kernel chooses.
func bind(descriptor int) (address string, err error) {
	// Only after the choice: with the option set before, the kernel may choose a port that is reserved already.
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	name, err := syscall.Getsockname(descriptor)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	here, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("getsockname of an IPv4 socket: %w", syscall.EAFNOSUPPORT)
	}
	return fmt.Sprintf("127.0.0.1:%d", here.Port), nil
}

// Release gives the port back; further calls do nothing.
func (r *Reservation) Release() {
	r.once.Do(func() { _ = syscall.Close(r.descriptor) })
}
