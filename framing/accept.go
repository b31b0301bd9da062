package framing

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"
)

// acceptRetryInterval lies between two attempts to accept, after an error such as a lack of descriptors.
const acceptRetryInterval = 10 * time.Millisecond

// AcceptLoop accepts connections until ctx ends and the listener is closed. Each is served on a goroutine of its own, which the
// caller waits for by goroutines. At most maxHandshakes of them are not established: further ones are closed at once, so that
// many that send nothing do not use up the descriptors. serve calls established once its peer is known, and closes the connection.
func AcceptLoop(ctx context.Context, l net.Listener, maxHandshakes int, goroutines *sync.WaitGroup, serve func(c net.Conn, established func())) {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			slog.Warn("link: accept failed", "listen", l.Addr().String(), "err", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case handshakes <- struct{}{}:
		default:
			_ = c.Close() // unused
			continue
		}
		goroutines.Go(func() {
			established := sync.OnceFunc(func() { <-handshakes })
			defer established()
			serve(c, established)
		})
	}
}
