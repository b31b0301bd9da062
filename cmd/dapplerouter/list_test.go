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

// list is a service of a group's list that can change and can be down: then it takes calls and says nothing, and watches fall silent.
type list struct {
	*httptest.Server
	t       *testing.T
	calls   atomic.Int64 // of any kind so far
	watches atomic.Int64 // opened so far
	bytes   atomic.Int64 // sent so far
	slow    atomic.Int64 // nanoseconds after which a call begins to be answered

	mu      sync.Mutex
	whole   map[string]any
	changes []listChange
	changed chan struct{} // closed at the next change of anything
	up      bool
}

// listChange is an entry as it became with a version.
type listChange struct {
	index float64
	entry json.RawMessage
}

func startList(t *testing.T, g *fakeserver.Group) *list {
	l := &list{t: t, changed: make(chan struct{}), up: true}
	require.NoError(t, json.Unmarshal(g.Listed(), &l.whole))
	l.Server = httptest.NewServer(l)
	t.Cleanup(func() { l.CloseClientConnections(); l.Close() })
	return l
}

func (l *list) address() string { return l.Listener.Addr().String() }

func (l *list) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// set takes the service down or up.
func (l *list) set(up bool) { l.update(func() { l.up = up }) }

// entry changes a value of what the list says of a member.
func (l *list) entry(m *fakeserver.Member, key string, value any) {
	l.update(func() {
		l.whole["index"] = l.whole["index"].(float64) + 1
		for _, e := range l.whole["endpoints"].([]any) {
			if e := e.(map[string]any); e["address"] == m.Address() {
				e[key] = value
				text, err := json.Marshal(e)
				require.NoError(l.t, err)
				l.changes = append(l.changes, listChange{l.whole["index"].(float64), text})
			}
		}
	})
}

// now gives the list, whether the service is up, and what is closed at the next change.
func (l *list) now() (whole []byte, up bool, changed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, err := json.Marshal(l.whole)
	if err != nil {
		panic(err)
	}
	return append(whole, '\n'), l.up, l.changed
}

// since is an object of the entries that changed after a version, with the version now.
func (l *list) since(index float64) (object []byte, now float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []json.RawMessage{}
	for _, c := range l.changes {
		if c.index > index {
			entries = append(entries, c.entry)
		}
	}
	now = l.whole["index"].(float64)
	object, err := json.Marshal(map[string]any{"index": now, "snapshot": false, "endpoints": entries})
	if err != nil {
		panic(err)
	}
	return append(object, '\n'), now
}

// counted counts what is written to a front.
type counted struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

func (c counted) Flush() { c.ResponseWriter.(http.Flusher).Flush() }

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = counted{w, &l.bytes}
	l.calls.Add(1)
	select {
	case <-time.After(time.Duration(l.slow.Load())):
	case <-r.Context().Done():
		return
	}
	whole, up, changed := l.now()
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
			if _, up, changed = l.now(); !up {
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
