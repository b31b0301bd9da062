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

// notifiedBy is when a change counts as notified, in heartbeats after the service had it; notifiedByMoved is the same after a new
// address was configured.
const (
	notifiedBy      = 3
	notifiedByMoved = 2
)

type script = func(w http.ResponseWriter, r *http.Request)

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// then answers with these parts and sends nothing more.
func then(parts ...string) script {
	return func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush() // the header, where there is no part
		says(parts...)(w, r)
		hang(w, r)
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// reset ends the connection with a reset, in the middle of an answer.
func reset(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"index\":8,"))
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func indent(object string) string {
	return strings.NewReplacer("{", "{\n  ", ",", ",\n  ").Replace(object)
}

// changing is a service that has the list at 7, then answers calls as the scripts say, and once these are over has a drain at 8. The
// drain is there from the first of the scripts on, when since is set.
type changing struct {
	mu    sync.Mutex
	calls []script
	asked int
	since time.Time
}

func (s *changing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch") != ""
	s.mu.Lock()
	s.asked++
	if s.since.IsZero() && !watch {
		s.mu.Unlock()
		says(object(7, true, "up"))(w, r)
		return
	}
	if s.since.IsZero() {
		s.since = time.Now()
	}
	answer := says(indent(object(8, true, "draining")))
	if watch {
		answer = then(object(8, false, "draining") + "\n")
	}
	if len(s.calls) > 0 {
		answer, s.calls = s.calls[0], s.calls[1:]
	}
	s.mu.Unlock()
	answer(w, r)
}

// took waits for the drain and returns how long after since it came.
func (s *changing) took(t *testing.T, lists <-chan List) time.Duration {
	for {
		select {
		case l := <-lists:
			if l.Index == 8 {
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.Equal(t, routing.Draining, l.Endpoints[0].State)
				assert.Empty(t, s.calls, "all scripts were used")
				return time.Since(s.since)
			}
		case <-time.After(20 * time.Second):
			require.Fail(t, "the drain never comes")
		}
	}
}

// followLate follows with the longest backoffs that may come between calls.
func followLate(t *testing.T, c *Client) <-chan List {
	lists, done := make(chan List, 100), make(chan struct{})
	ctx, end := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		c.Follow(ctx, func(l List) { lists <- l }, func() {}, func() float64 { return 1 })
	}()
	t.Cleanup(func() { end(); <-done })
	return lists
}

// A change counts as notified three heartbeats after the service had it, whatever call failed, was rejected or timed out. The service
// has the drain when the first call goes wrong; each case is the worst of its kind: silence from the last line on, the longest backoffs,
// and a further call that fails.
func TestChangeArrivesInTimeAfterFailedCalls(t *testing.T) {
	unusable := says("{nonsense\n")
	for name, calls := range map[string][]script{
		"a watch falls silent, and the next call hangs":           {then("\n"), hang},
		"a watch falls silent, and the next calls are refused":    {then("\n"), refuse, refuse, refuse},
		"a watch falls silent in a line, and the next call hangs": {then("\n", `{"index":8,`), hang},
		"a watch hangs after its header, and the next call hangs": {then(), hang},
		"calls hang":                      {hang, hang, hang},
		"calls are refused":               {refuse, refuse, refuse, refuse, refuse, refuse},
		"watches are reset in a chunk":    {reset, reset, reset, reset, reset, reset},
		"watches end at once":             {says(), says(), says(), says(), says(), says()},
		"snapshots hang after the header": {unusable, then(), then(), then()},
		"snapshots hang in the middle":    {unusable, then(`{"index":8,`), then(`{"index":8,`), then(`{"index":8,`)},
		"an indented change":              {then(indent(object(8, false, "draining")) + "\n")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &changing{calls: calls}
			c := NewClient(serveOn(t, "127.0.0.1:0", s), 0)
			c.heartbeat = time.Second
			took := s.took(t, followLate(t, c))
			t.Logf("%.2f heartbeats", took.Seconds()/c.heartbeat.Seconds())
			assert.Less(t, took, notifiedBy*c.heartbeat)
		})
	}
}

// After a new address was configured a change counts as notified two heartbeats later: a snapshot of the new service that stops in the
// middle must time out well before.
func TestChangeArrivesInTimeAfterNewAddress(t *testing.T) {
	for name, calls := range map[string][]script{
		"the snapshot hangs after the header": {then(), then()},
		"the snapshot hangs in the middle":    {then(`{"index":8,`), then(`{"index":8,`)},
		"calls hang":                          {hang, hang},
		"calls are refused":                   {refuse, refuse, refuse},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &changing{calls: calls, since: time.Now()}
			old := NewClient("127.0.0.1:1", 7)
			old.heartbeat = time.Second
			c := old.WithAddress(serveOn(t, "127.0.0.1:0", s))
			took := s.took(t, followLate(t, c))
			assert.Less(t, took, notifiedByMoved*c.heartbeat)
		})
	}
}

// While the service is away the backoff grows to its longest; the first call after its return brings the change.
func TestChangeArrivesInTimeAfterOutage(t *testing.T) {
	t.Parallel()
	s := &changing{}
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
	s.since = time.Now()
	s.mu.Unlock()
	serveOn(t, address, s)
	took := s.took(t, lists)
	t.Logf("%.2f heartbeats", took.Seconds()/c.heartbeat.Seconds())
	assert.Less(t, took, notifiedBy*c.heartbeat)
}

// serveOn serves at an address until the test ends, and returns it.
func serveOn(t *testing.T, address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(l) }()
	t.Cleanup(func() { server.Close(); <-done })
	return l.Addr().String()
}
