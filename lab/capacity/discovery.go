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

// heartbeatInterval is how often an idle watch receives an empty line.
const heartbeatInterval = 2 * time.Second

// watchQueue is how many events may wait for a watch.
const watchQueue = 64

// discoveryServer is a worker that fakes the discovery service: it serves snapshots of the endpoint list and watches of it.
type discoveryServer struct {
	listener net.Listener
	received atomic.Uint64
	sent     atomic.Uint64
	calls    atomic.Uint64

	mu      sync.Mutex // guards what follows
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

func (s *discoveryServer) start(entries []Endpoint) (address string, err error) {
	s.entries, s.index, s.watches = entries, 1, map[chan []byte]bool{}
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go func() { // until the process ends
		err := http.Serve(&countingListener{s.listener, s}, http.HandlerFunc(s.handle))
		slog.Error("fake discovery server stopped", "err", err)
	}()
	return s.listener.Addr().String(), nil
}

// marshalList encodes a list as the service does, with s.mu held.
func (s *discoveryServer) marshalList(snapshot bool, entries []Endpoint) []byte {
	b, err := json.Marshal(map[string]any{"index": s.index, "snapshot": snapshot, "endpoints": entries})
	if err != nil {
		panic("marshal endpoint list: " + err.Error()) // texts and finite numbers always encode
	}
	return append(b, '\n')
}

func (s *discoveryServer) handle(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	if r.URL.Query().Get("watch") == "" {
		s.mu.Lock()
		body := s.marshalList(true, s.entries)
		s.mu.Unlock()
		_, _ = w.Write(body) // a client that is gone asks again
		return
	}
	s.watch(w, r)
}

// watch sends changes until the client is gone. One that is behind at the beginning receives a snapshot first.
func (s *discoveryServer) watch(w http.ResponseWriter, r *http.Request) {
	changes := make(chan []byte, watchQueue)
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

// changeEntry changes one entry's weight, each time another's, and returns the new list's index and when it was sent.
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

// sendSnapshot sends all entries to all watches under a new index.
func (s *discoveryServer) sendSnapshot() (index, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.notify(s.marshalList(true, s.entries))
}

// notify sends an encoded event to all watches, with s.mu held.
func (s *discoveryServer) notify(event []byte) (index, at int64) {
	at = time.Now().UnixMicro()
	for c := range s.watches {
		select {
		case c <- event:
		default: // a watch that is this far behind misses the event
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

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	server *discoveryServer
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.server}, nil
}

type countingConn struct {
	net.Conn
	server *discoveryServer
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.server.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.server.sent.Add(uint64(n))
	return n, err
}
