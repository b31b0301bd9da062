package framing

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"
)

// acceptRetryInterval is the delay before the next call of Accept after an error, such as running out of file descriptors.
const acceptRetryInterval = 10 * time.Millisecond

// AcceptLoop accepts connections until ctx is done and the listener is closed. It calls serve for each connection on a new
// goroutine, which it adds to goroutines so that the caller can wait for it. serve must call established once it has identified the
// peer, and must close the connection. At most maxHandshakes connections may be waiting to be established. Further ones are closed at
// once, so that peers that send nothing cannot use up the file descriptors.
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
			_ = c.Close() // nothing was read from it
			continue
		}
		goroutines.Go(func() {
			established := sync.OnceFunc(func() { <-handshakes })
			defer established()
			serve(c, established)
		})
	}
}
