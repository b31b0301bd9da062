package capacity

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the time after which an idle watch receives an empty line.
const heartbeatInterval = 2 * time.Second

// watchQueueLength is the maximum number of events that wait to be sent to a watch.
const watchQueueLength = 64

// discoveryServer is a worker with a fake discovery service, which serves snapshots of the endpoint list and watches.
type discoveryServer struct {
	listener net.Listener
	received atomic.Uint64 // bytes
	sent     atomic.Uint64 // bytes
	calls    atomic.Uint64

	mu      sync.Mutex // guards the fields below
	index   int64
	entries []Endpoint
	watches map[chan []byte]bool // each receives encoded events
}

func (s *discoveryServer) serve(q Request) (r Reply, err error) {
	switch q.Operation {
	case opStart:
		r.Address, err = s.start(q.Entries)
	case opEntryChange:
		r.Index, r.ChangedAt = s.changeEntry()
	case opSnapshot:
		r.Index, r.ChangedAt = s.sendSnapshot()
	case opCounters:
		r.Counters, err = s.counters()
	default:
		err = fmt.Errorf("discovery: %w: %q", ErrUnknownOperation, q.Operation)
	}
	return r, err
}

// start starts the HTTP server with the given endpoint list and returns its address.
func (s *discoveryServer) start(entries []Endpoint) (address string, err error) {
	s.entries, s.index, s.watches = entries, 1, map[chan []byte]bool{}
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go func() { // runs until the process exits
		err := http.Serve(&countingListener{s.listener, s}, http.HandlerFunc(s.handle))
		slog.Error("fake discovery server stopped", "err", err)
	}()
	return s.listener.Addr().String(), nil
}

// marshalList encodes a list in the discovery service's JSON. The caller holds s.mu.
func (s *discoveryServer) marshalList(snapshot bool, entries []Endpoint) []byte {
	b, err := json.Marshal(map[string]any{"index": s.index, "snapshot": snapshot, "endpoints": entries})
	if err != nil {
		panic("marshal endpoint list: " + err.Error()) // cannot happen: strings and finite numbers always encode
	}
	return append(b, '\n')
}

// handle answers a request with a snapshot, or serves a watch if the request asks for one.
func (s *discoveryServer) handle(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	if r.URL.Query().Get("watch") == "" {
		s.mu.Lock()
		body := s.marshalList(true, s.entries)
		s.mu.Unlock()
		_, _ = w.Write(body) // a client that lost its connection sends the request again
		return
	}
	s.watch(w, r)
}

// watch sends changes until the client closes the connection. A client whose list is out of date receives a snapshot first.
func (s *discoveryServer) watch(w http.ResponseWriter, r *http.Request) {
	changes := make(chan []byte, watchQueueLength)
	s.mu.Lock()
	first := []byte("\n")
	if r.URL.Query().Get("after") != fmt.Sprint(s.index) {
		first = s.marshalList(true, s.entries)
	}
	s.watches[changes] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, changes)
		s.mu.Unlock()
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for next := first; ; {
		if _, err := w.Write(next); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case next = <-changes:
		case <-heartbeat.C:
			next = []byte("\n")
		case <-r.Context().Done():
			return
		}
	}
}

// changeEntry changes the weight of one entry, the next one at each call. It returns the index of the new list, and when the change was
// sent in Unix microseconds.
func (s *discoveryServer) changeEntry() (index, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	e := &s.entries[int(s.index)%len(s.entries)]
	if e.Weight = 1.5 - e.Weight; e.Weight < 0.5 {
		e.Weight = 1
	}
	return s.notify(s.marshalList(false, []Endpoint{*e}))
}

// sendSnapshot sends a snapshot with a new index to all watches. It returns the index, and when the snapshot was sent in Unix
// microseconds.
func (s *discoveryServer) sendSnapshot() (index, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.notify(s.marshalList(true, s.entries))
}

// notify sends an encoded event to all watches, and returns the list's index and the present time. The caller holds s.mu.
func (s *discoveryServer) notify(event []byte) (index, at int64) {
	at = time.Now().UnixMicro()
	for c := range s.watches {
		select {
		case c <- event:
		default: // the watch's queue is full: the watch misses the event
		}
	}
	return s.index, at
}

func (s *discoveryServer) counters() (Counters, error) {
	c, err := ownCounters()
	c.Calls, c.SentBytes, c.ReceivedBytes = s.calls.Load(), s.sent.Load(), s.received.Load()
	s.mu.Lock()
	c.Watches = len(s.watches)
	s.mu.Unlock()
	return c, err
}

// countingListener is a listener that counts the bytes of its connections in a discoveryServer.
type countingListener struct {
	net.Listener
	server *discoveryServer
}

// Accept returns the next connection as a countingConn.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.server}, nil
}

// countingConn is a connection that adds the bytes it reads and writes to the received and sent bytes of a discoveryServer.
type countingConn struct {
	net.Conn
	server *discoveryServer
}

// Read reads from the connection and counts the received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.server.received.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.server.sent.Add(uint64(n))
	return n, err
}
