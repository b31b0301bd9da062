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

// endpointList is a fake discovery service for the endpoint list of a group. The list can change. The service can be down: then it accepts
// calls but sends nothing, and open watches receive nothing more.
type endpointList struct {
	*httptest.Server
	t             *testing.T
	calls         atomic.Int64 // received, of any kind
	watches       atomic.Int64 // opened
	bytes         atomic.Int64 // sent
	responseDelay atomic.Int64 // nanoseconds before a call is answered

	mu       sync.Mutex
	snapshot map[string]any
	changes  []listChange
	changed  chan struct{} // closed at the next change of the list or of up
	up       bool
}

// listChange is a change of one endpoint of the list.
type listChange struct {
	index float64 // of the list with this change
	entry json.RawMessage
}

// startEndpointList starts a discovery service with the group's endpoints, which is closed when the test ends.
func startEndpointList(t *testing.T, g *fakeserver.Group) *endpointList {
	l := &endpointList{t: t, changed: make(chan struct{}), up: true}
	require.NoError(t, json.Unmarshal(g.EndpointSnapshot(), &l.snapshot))
	l.Server = httptest.NewServer(l)
	t.Cleanup(func() { l.CloseClientConnections(); l.Close() })
	return l
}

func (l *endpointList) address() string { return l.Listener.Addr().String() }

// update changes the list or the service under the lock and wakes the watches.
func (l *endpointList) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// setUp takes the service up or down.
func (l *endpointList) setUp(up bool) { l.update(func() { l.up = up }) }

// setEndpoint sets a key of a server's endpoint and records the change for the watches.
func (l *endpointList) setEndpoint(m *fakeserver.Server, key string, value any) {
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

// current returns the list as an encoded snapshot, whether the service is up, and a channel that is closed at the next change.
func (l *endpointList) current() (snapshot []byte, up bool, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot, err := json.Marshal(l.snapshot)
	if err != nil {
		panic(err)
	}
	return append(snapshot, '\n'), l.up, l.changed
}

// since returns an encoded delta with the entries that changed after a list's index, and the current index.
func (l *endpointList) since(index float64) (delta []byte, now float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []json.RawMessage{}
	for _, c := range l.changes {
		if c.index > index {
			entries = append(entries, c.entry)
		}
	}
	now = l.snapshot["index"].(float64)
	delta, err := json.Marshal(map[string]any{"index": now, "snapshot": false, "endpoints": entries})
	if err != nil {
		panic(err)
	}
	return append(delta, '\n'), now
}

// countingWriter counts the bytes that are written to a front.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

func (c countingWriter) Flush() { c.ResponseWriter.(http.Flusher).Flush() }

// ServeHTTP sends a snapshot, and to a watch then each change, with an empty line as a heartbeat each second.
func (l *endpointList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = countingWriter{w, &l.bytes}
	l.calls.Add(1)
	select {
	case <-time.After(time.Duration(l.responseDelay.Load())):
	case <-r.Context().Done():
		return
	}
	snapshot, up, changed := l.current()
	if !up {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Get("watch") == "" {
		w.Write(snapshot)
		return
	}
	l.watches.Add(1)
	if after := r.URL.Query().Get("after"); !bytes.Contains(snapshot, []byte(`"index":`+after+`,`)) {
		w.Write(snapshot)
	}
	_, index := l.since(0)
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			if _, up, changed = l.current(); !up {
				<-r.Context().Done() // sends nothing from now on
				return
			}
			var delta []byte
			delta, index = l.since(index)
			w.Write(delta)
		case <-time.After(time.Second):
			w.Write([]byte("\n"))
		}
	}
}
