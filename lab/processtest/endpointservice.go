package processtest

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// endpointService is a fake endpoint service. It counts its calls. A script can change its list, make it reset all connections, and
// make it serve stale lists.
type endpointService struct {
	server *httptest.Server

	mu      sync.Mutex // guards the fields below
	entries json.RawMessage
	index   int64
	down    bool          // resets all connections
	stale   bool          // serves lists with an older index
	changed chan struct{} // closed and replaced at each change
	calls   int
	watches int // number of open watches
}

// startEndpointService starts a service whose list has the given JSON entries.
func startEndpointService(entries json.RawMessage) *endpointService {
	s := &endpointService{entries: entries, index: 10, changed: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

func (s *endpointService) address() string { return s.server.Listener.Addr().String() }

// snapshot returns the complete list as one JSON line. The caller holds s.mu.
func (s *endpointService) snapshot() []byte {
	index := s.index
	if s.stale {
		index -= 5
	}
	b, _ := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": s.entries}) // cannot fail: the entries are valid JSON
	return append(b, '\n')
}

// serve answers a request with the list, and keeps the response open if the request asks for a watch.
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

// serveWatch writes the list at each change, and an empty line twice a second as a heartbeat. It returns when the client closes the
// connection, and aborts the response when the service goes down.
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

// resetConnection resets the request's TCP connection instead of answering.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0) // without this the connection closes normally, which is acceptable too
	_ = c.Close()
}

// set applies a change to the service's state under the lock and wakes all watches.
func (s *endpointService) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// countWatch adds to the number of open watches.
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
