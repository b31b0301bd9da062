package processtest

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// lists is a stand-in for the list's service: it counts its calls, changes, goes away and forgets.
type lists struct {
	srv *httptest.Server

	mu      sync.Mutex
	entries json.RawMessage
	index   int64
	away    bool
	older   bool
	change  chan struct{} // closed at each change
	Calls   int
	open    int // watches
}

func newLists(entries json.RawMessage) *lists {
	l := &lists{entries: entries, index: 10, change: make(chan struct{})}
	l.srv = httptest.NewServer(http.HandlerFunc(l.serve))
	return l
}

func (l *lists) address() string { return l.srv.Listener.Addr().String() }

// object is the whole list as it stands; with the lock held.
func (l *lists) object() []byte {
	index := l.index
	if l.older {
		index -= 5
	}
	b, _ := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": l.entries})
	return append(b, '\n')
}

func (l *lists) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.Calls++
	away, body := l.away, l.object()
	l.mu.Unlock()
	if away {
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		}
		return
	}
	w.Write(body)
	if r.URL.Query().Get("watch") == "" {
		return
	}
	l.count(1)
	defer l.count(-1)
	for {
		w.(http.Flusher).Flush()
		l.mu.Lock()
		change := l.change
		l.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(500 * time.Millisecond):
			w.Write([]byte("\n"))
		case <-change:
		}
		l.mu.Lock()
		away, body := l.away, l.object()
		l.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-change:
			w.Write(body)
		default:
		}
	}
}

// set changes what the service does, and tells all who watch.
func (l *lists) set(call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call()
	close(l.change)
	l.change = make(chan struct{})
}

func (l *lists) count(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += by
}

func (l *lists) watches() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *lists) calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Calls
}

func (l *lists) close() {
	l.srv.CloseClientConnections()
	l.srv.Close()
}
