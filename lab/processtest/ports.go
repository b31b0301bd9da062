package processtest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// The blocks of ports lie below the range from which the kernel gives ports to those who dial: a front that is down for a while finds
// its own ports free again, though harnesses run side by side. Who listens at a block's first port has the block.
const (
	firstPort  = 12000
	blockPorts = 200
	blocks     = 100
)

var errNoPorts = errors.New("all ports of the block are used")

// portBlock is a harness's own range of ports.
type portBlock struct {
	lock net.Listener // at the block's first port
	base int
	used int // ports tried so far
}

// reserve takes the first free block from one that depends on the seed and the process.
func (p *portBlock) reserve(seed uint64) (err error) {
	start := int(seed%blocks*7) + os.Getpid()
	for i := range blocks {
		p.base = firstPort + (start+i)%blocks*blockPorts
		if p.lock, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p.base)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no block of ports is free: %w", err)
}

// take gives n addresses of free ports of the block; none is given twice.
func (p *portBlock) take(n int) (addresses []string, err error) {
	for len(addresses) < n {
		if p.used++; p.used >= blockPorts {
			return nil, errNoPorts
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p.base+p.used))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, l.Addr().String())
		if err := l.Close(); err != nil {
			return nil, fmt.Errorf("free port %s: %w", l.Addr(), err)
		}
	}
	return addresses, nil
}

// release lets other harnesses have the block.
func (p *portBlock) release() {
	if p.lock != nil {
		_ = p.lock.Close() // nobody was accepted
	}
}
