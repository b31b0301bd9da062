package processtest

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// endpointService is a fake of the endpoint service: it counts its calls, changes its list, goes away and serves stale lists.
type endpointService struct {
	server *httptest.Server

	mu      sync.Mutex // guards the fields below
	entries json.RawMessage
	index   int64
	down    bool
	stale   bool
	changed chan struct{} // closed at each change
	calls   int
	watches int // open ones
}

func startEndpointService(entries json.RawMessage) *endpointService {
	s := &endpointService{entries: entries, index: 10, changed: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

func (s *endpointService) address() string { return s.server.Listener.Addr().String() }

// snapshot is the complete list as one JSON line; with the lock held.
func (s *endpointService) snapshot() []byte {
	index := s.index
	if s.stale {
		index -= 5
	}
	b, _ := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": s.entries}) // entries were valid JSON
	return append(b, '\n')
}

func (s *endpointService) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down, body := s.down, s.snapshot()
	s.mu.Unlock()
	if down {
		resetConnection(w)
		return
	}
	if _, err := w.Write(body); err != nil || r.URL.Query().Get("watch") == "" {
		return
	}
	s.countWatch(1)
	defer s.countWatch(-1)
	s.serveWatch(w, r)
}

// serveWatch writes the list at each change and an empty line twice a second, until the client or the service goes away.
func (s *endpointService) serveWatch(w http.ResponseWriter, r *http.Request) {
	for {
		w.(http.Flusher).Flush()
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		line := []byte("\n")
		select {
		case <-r.Context().Done():
			return
		case <-time.After(500 * time.Millisecond):
		case <-changed:
			line = nil
		}
		if line != nil {
			if _, err := w.Write(line); err != nil {
				return
			}
		}
		s.mu.Lock()
		down, body := s.down, s.snapshot()
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
			if _, err := w.Write(body); err != nil {
				return
			}
		default:
		}
	}
}

// resetConnection closes the request's connection with a reset in place of an answer.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0) // the connection ends one way or the other
	_ = c.Close()
}

// set changes what the service does, and wakes all watches.
func (s *endpointService) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *endpointService) countWatch(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches += by
}

func (s *endpointService) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *endpointService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *endpointService) stop() {
	s.server.CloseClientConnections()
	s.server.Close()
}
