package processtest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// The blocks of ports lie below the kernel's range of ephemeral ports. So a front that restarts finds its own ports still free, even
// when several harnesses run on the machine. A harness reserves a block by listening on the block's first port.
const (
	firstPort     = 12000
	portsPerBlock = 200
	blockCount    = 100
)

var errNoPorts = errors.New("all ports of the block are used")

// portBlock is a range of ports that one harness has reserved.
type portBlock struct {
	lock net.Listener // on the block's first port
	base int          // the block's first port
	used int          // number of ports tried so far
}

// reserve reserves the first free block. The search starts at a block that depends on the seed and the process ID.
func (p *portBlock) reserve(seed uint64) (err error) {
	start := int(seed%blockCount*7) + os.Getpid()
	for i := range blockCount {
		p.base = firstPort + (start+i)%blockCount*portsPerBlock
		if p.lock, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p.base)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no block of ports is free: %w", err)
}

// take returns the addresses of n free ports of the block. It never returns the same port twice. It returns errNoPorts if the block has
// too few free ports left.
func (p *portBlock) take(n int) (addresses []string, err error) {
	for len(addresses) < n {
		if p.used++; p.used >= portsPerBlock {
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

// release makes the block available to other harnesses.
func (p *portBlock) release() {
	if p.lock != nil {
		_ = p.lock.Close() // no connection was ever accepted
	}
}
