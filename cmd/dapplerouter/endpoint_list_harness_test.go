package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/testsupport/fakeserver"
)

// endpointList is a discovery service of a group that can change and can be down: then it accepts calls and sends nothing, and watches
// fall silent.
type endpointList struct {
	*httptest.Server
	t             *testing.T
	calls         atomic.Int64 // of any kind so far
	watches       atomic.Int64 // opened so far
	bytes         atomic.Int64 // sent so far
	responseDelay atomic.Int64 // nanoseconds after which a call begins to be answered

	mu       sync.Mutex
	snapshot map[string]any
	changes  []listChange
	changed  chan struct{} // closed at the next change of anything
	up       bool
}

// listChange is an entry as it became with a version.
type listChange struct {
	index float64
	entry json.RawMessage
}

func startEndpointList(t *testing.T, g *fakeserver.Group) *endpointList {
	l := &endpointList{t: t, changed: make(chan struct{}), up: true}
	require.NoError(t, json.Unmarshal(g.Listed(), &l.snapshot))
	l.Server = httptest.NewServer(l)
	t.Cleanup(func() { l.CloseClientConnections(); l.Close() })
	return l
}

func (l *endpointList) address() string { return l.Listener.Addr().String() }

func (l *endpointList) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// setUp takes the service up or down.
func (l *endpointList) setUp(up bool) { l.update(func() { l.up = up }) }

// setEndpoint changes a value of a server's endpoint.
func (l *endpointList) setEndpoint(m *fakeserver.Member, key string, value any) {
	l.update(func() {
		l.snapshot["index"] = l.snapshot["index"].(float64) + 1
		for _, e := range l.snapshot["endpoints"].([]any) {
			if e := e.(map[string]any); e["address"] == m.Address() {
				e[key] = value
				text, err := json.Marshal(e)
				require.NoError(l.t, err)
				l.changes = append(l.changes, listChange{l.snapshot["index"].(float64), text})
			}
		}
	})
}

// current returns the list, whether the service is up, and a channel that is closed at the next change.
func (l *endpointList) current() (whole []byte, up bool, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, err := json.Marshal(l.snapshot)
	if err != nil {
		panic(err)
	}
	return append(whole, '\n'), l.up, l.changed
}

// since is an object of the entries that changed after a version, with the version now.
func (l *endpointList) since(index float64) (object []byte, now float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []json.RawMessage{}
	for _, c := range l.changes {
		if c.index > index {
			entries = append(entries, c.entry)
		}
	}
	now = l.snapshot["index"].(float64)
	object, err := json.Marshal(map[string]any{"index": now, "snapshot": false, "endpoints": entries})
	if err != nil {
		panic(err)
	}
	return append(object, '\n'), now
}

// countingWriter counts what is written to a front.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

func (c countingWriter) Flush() { c.ResponseWriter.(http.Flusher).Flush() }

func (l *endpointList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = countingWriter{w, &l.bytes}
	l.calls.Add(1)
	select {
	case <-time.After(time.Duration(l.responseDelay.Load())):
	case <-r.Context().Done():
		return
	}
	whole, up, changed := l.current()
	if !up {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Get("watch") == "" {
		w.Write(whole)
		return
	}
	l.watches.Add(1)
	if after := r.URL.Query().Get("after"); !bytes.Contains(whole, []byte(`"index":`+after+`,`)) {
		w.Write(whole)
	}
	_, index := l.since(0)
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			if _, up, changed = l.current(); !up {
				<-r.Context().Done() // silent from now on
				return
			}
			var object []byte
			object, index = l.since(index)
			w.Write(object)
		case <-time.After(time.Second):
			w.Write([]byte("\n"))
		}
	}
}
