package mesh

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// Guards against two dials of one peer at the same time. The end of a dialled link was reported as the end of the dial. Where the peer
// was dialled again in between, that ended the mark of the newer dial, and counted a failure.
func TestEndOfALinkDoesNotEndANewerDial(t *testing.T) {
	m := newIdleMesh(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	dial := func() {
		m.Do(func(*fleet.Node, time.Duration) {
			m.dial(fleet.DialTarget{Name: "b", Address: listener.Addr().String()})
		})
	}
	dial()
	c, err := listener.Accept()
	require.NoError(t, err)
	k := framing.NewCodec[fleet.Message](protocol, c)
	require.NoError(t, k.Greet())
	require.NoError(t, send(k, &fleet.Message{Kind: fleet.KindHello, From: "b", Hello: &fleet.Handshake{Fleet: "x", Name: "b", Incarnation: 9}}))
	require.Eventually(t, func() bool { return m.Totals().Links == 1 && !m.isDialling("b") }, 10*time.Second, time.Millisecond)

	ended, resume := blockLogLine(t, "fleet: link ended") // which the dial's goroutine logs before it ends
	require.NoError(t, c.Close())
	<-ended
	dial()
	resume()
	hung, err := listener.Accept() // does not answer, so the dial is in progress until its timeout of 40 s
	require.NoError(t, err)
	defer hung.Close()
	assert.Never(t, func() bool { return !m.isDialling("b") }, 200*time.Millisecond, 5*time.Millisecond)
}

// blockingHandler is a log handler that blocks at one message.
type blockingHandler struct {
	message         string
	reached, resume chan struct{}
}

func (h *blockingHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h *blockingHandler) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h *blockingHandler) WithGroup(string) slog.Handler            { return h }
func (h *blockingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		select {
		case h.reached <- struct{}{}:
		default:
		}
		<-h.resume
	}
	return nil
}

// blockLogLine makes the goroutine that logs a message wait until resume is called. reached receives a value when it waits.
func blockLogLine(t *testing.T, message string) (reached <-chan struct{}, resume func()) {
	t.Helper()
	h := &blockingHandler{message: message, reached: make(chan struct{}, 1), resume: make(chan struct{})}
	previous := slog.Default()
	slog.SetDefault(slog.New(h))
	t.Cleanup(func() { slog.SetDefault(previous) })
	resume = sync.OnceFunc(func() { close(h.resume) })
	t.Cleanup(resume)
	return h.reached, resume
}

// isDialling reports whether a dial of a peer is in progress.
func (m *Mesh) isDialling(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.dialling[name]
	return ok
}
