package discovery

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
	"dapplerouter/testsupport/testports"
)

// The time in heartbeats by which a change counts as notified: maxNotifyHeartbeats after the service had it, and
// maxNotifyHeartbeatsAfterMove after a new address was configured.
const (
	maxNotifyHeartbeats          = 3
	maxNotifyHeartbeatsAfterMove = 2
)

// script answers one request to a fake service.
type script = func(w http.ResponseWriter, r *http.Request)

// hang is a script that sends nothing until the client gives up.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// respondThenHang returns a script that sends the header and the parts, and then nothing more.
func respondThenHang(parts ...string) script {
	return func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush() // sends the header even if there are no parts
		respondWith(parts...)(w, r)
		hang(w, r)
	}
}

// respond503 is a script that responds with status 503.
func respond503(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// sendReset is a script that resets the connection in the middle of a response.
func sendReset(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"index\":8,"))
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// indent spreads a JSON object over several lines.
func indent(object string) string {
	return strings.NewReplacer("{", "{\n  ", ",", ",\n  ").Replace(object)
}

// drainingService is a fake discovery service with a list at index 7 and then a drain at index 8. The drain exists from
// drainedAt on, the time of the first call that a script answers. Once the scripts are used up, calls return the drain.
type drainingService struct {
	mu        sync.Mutex
	scripts   []script
	drainedAt time.Time
}

func (s *drainingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch") != ""
	s.mu.Lock()
	if s.drainedAt.IsZero() && !watch {
		s.mu.Unlock()
		respondWith(encodeList(7, true, "up"))(w, r)
		return
	}
	if s.drainedAt.IsZero() {
		s.drainedAt = time.Now()
	}
	respond := respondWith(indent(encodeList(8, true, "draining")))
	if watch {
		respond = respondThenHang(encodeList(8, false, "draining") + "\n")
	}
	if len(s.scripts) > 0 {
		respond, s.scripts = s.scripts[0], s.scripts[1:]
	}
	s.mu.Unlock()
	respond(w, r)
}

// awaitDrain waits for the drain and returns how long after drainedAt it was received.
func (s *drainingService) awaitDrain(t *testing.T, lists <-chan List) time.Duration {
	for {
		select {
		case l := <-lists:
			if l.Index == 8 {
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.Equal(t, routing.Draining, l.Endpoints[0].State)
				assert.Empty(t, s.scripts, "every script was used")
				return time.Since(s.drainedAt)
			}
		case <-time.After(20 * time.Second):
			require.Fail(t, "the drain was not received")
		}
	}
}

// followWithMaxBackoff runs Client.Follow with the longest backoffs that jitter allows, until the test ends.
func followWithMaxBackoff(t *testing.T, c *Client) <-chan List {
	lists, done := make(chan List, 100), make(chan struct{})
	ctx, end := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		c.Follow(ctx, func(l List) { lists <- l }, func() {}, func() float64 { return 1 })
	}()
	t.Cleanup(func() { end(); <-done })
	return lists
}

// A change counts as notified three heartbeats after the service had it, whatever calls failed, were rejected or timed out. The
// service has the drain when the first call goes wrong. Each case is the worst of its kind: silence from the last line on, the
// longest backoffs, and one more call that fails.
func TestChangeArrivesInTimeAfterFailedCalls(t *testing.T) {
	unusable := respondWith("{nonsense\n")
	for name, scripts := range map[string][]script{
		"a watch falls silent, and the next call hangs":           {respondThenHang("\n"), hang},
		"a watch falls silent, and the next calls are refused":    {respondThenHang("\n"), respond503, respond503, respond503},
		"a watch falls silent in a line, and the next call hangs": {respondThenHang("\n", `{"index":8,`), hang},
		"a watch hangs after its header, and the next call hangs": {respondThenHang(), hang},
		"calls hang":                      {hang, hang, hang},
		"calls are refused":               {respond503, respond503, respond503, respond503, respond503, respond503},
		"watches are reset in a chunk":    {sendReset, sendReset, sendReset, sendReset, sendReset, sendReset},
		"watches end at once":             {respondWith(), respondWith(), respondWith(), respondWith(), respondWith(), respondWith()},
		"snapshots hang after the header": {unusable, respondThenHang(), respondThenHang(), respondThenHang()},
		"snapshots hang in the middle": {unusable, respondThenHang(`{"index":8,`), respondThenHang(`{"index":8,`),
			respondThenHang(`{"index":8,`)},
		"an indented change": {respondThenHang(indent(encodeList(8, false, "draining")) + "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &drainingService{scripts: scripts}
			c := NewClient(serveOn(t, "127.0.0.1:0", s), 0)
			c.heartbeat = time.Second
			delay := s.awaitDrain(t, followWithMaxBackoff(t, c))
			t.Logf("%.2f heartbeats", delay.Seconds()/c.heartbeat.Seconds())
			assert.Less(t, delay, maxNotifyHeartbeats*c.heartbeat)
		})
	}
}

// After a new address is configured, a change counts as notified two heartbeats later. A snapshot of the new service that stops
// in the middle must time out well before that.
func TestChangeArrivesInTimeAfterNewAddress(t *testing.T) {
	for name, scripts := range map[string][]script{
		"the snapshot hangs after the header": {respondThenHang(), respondThenHang()},
		"the snapshot hangs in the middle":    {respondThenHang(`{"index":8,`), respondThenHang(`{"index":8,`)},
		"calls hang":                          {hang, hang},
		"calls are refused":                   {respond503, respond503, respond503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &drainingService{scripts: scripts, drainedAt: time.Now()}
			old := NewClient("127.0.0.1:1", 7)
			old.heartbeat = time.Second
			c := old.WithAddress(serveOn(t, "127.0.0.1:0", s))
			delay := s.awaitDrain(t, followWithMaxBackoff(t, c))
			assert.Less(t, delay, maxNotifyHeartbeatsAfterMove*c.heartbeat)
		})
	}
}

// While the service is unreachable, the backoff grows to its maximum. The first call after its return must deliver the change
// in time.
func TestChangeArrivesInTimeAfterOutage(t *testing.T) {
	t.Parallel()
	s := &drainingService{}
	reserved, err := testports.Reserve()
	require.NoError(t, err)
	t.Cleanup(reserved.Release)
	address := reserved.Address
	c := NewClient(address, 0)
	c.heartbeat = 400 * time.Millisecond
	ctx, end := context.WithCancel(t.Context())
	lists, failed, done := make(chan List, 100), make(chan struct{}, 1000), make(chan struct{})
	go func() {
		defer close(done)
		c.Follow(ctx, func(l List) { lists <- l }, func() { failed <- struct{}{} }, func() float64 { return 1 })
	}()
	t.Cleanup(func() { end(); <-done })
	for range 12 {
		<-failed
	}
	s.mu.Lock()
	s.drainedAt = time.Now()
	s.mu.Unlock()
	serveOn(t, address, s)
	delay := s.awaitDrain(t, lists)
	t.Logf("%.2f heartbeats", delay.Seconds()/c.heartbeat.Seconds())
	assert.Less(t, delay, maxNotifyHeartbeats*c.heartbeat)
}

// serveOn serves HTTP at an address until the test ends, and returns the address.
func serveOn(t *testing.T, address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(l) }()
	t.Cleanup(func() { server.Close(); <-done })
	return l.Addr().String()
}
