package framing

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"
)

// AcceptLoop takes connections until ctx ends and the listener is closed, each on a goroutine of its own that done counts. Those
// that were not greeted yet are bounded by most: a crowd at the door must not keep descriptors. serve calls greeted once its
// peer is known.
func AcceptLoop(ctx context.Context, l net.Listener, most int, done *sync.WaitGroup, serve func(c net.Conn, greeted func())) {
	knocking := make(chan struct{}, most)
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			slog.Warn("a link is not accepted", "listen", l.Addr().String(), "why", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case knocking <- struct{}{}:
		default:
			c.Close()
			continue
		}
		done.Go(func() {
			free := sync.OnceFunc(func() { <-knocking })
			defer free()
			serve(c, free)
		})
	}
}
