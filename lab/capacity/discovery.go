package capacity

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often a watch hears an empty line.
const heartbeatInterval = 2 * time.Second

// discoveryServer is a fake of the endpoint list's service: the whole list, and watches that are told of changes.
type discoveryServer struct {
	listener net.Listener
	received atomic.Uint64
	sent     atomic.Uint64
	calls    atomic.Uint64

	mu      sync.Mutex
	index   int64
	entries []Endpoint
	watches map[chan []byte]bool
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
		err = fmt.Errorf("discovery doesn't do %q", q.Operation)
	}
	return r, err
}

func (s *discoveryServer) start(entries []Endpoint) (address string, err error) {
	s.entries, s.index, s.watches = entries, 1, map[chan []byte]bool{}
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go http.Serve(&countingListener{s.listener, s}, http.HandlerFunc(s.handle))
	return s.listener.Addr().String(), nil
}

// marshalList writes a list as the service does; with the lock held.
func (s *discoveryServer) marshalList(whole bool, entries []Endpoint) []byte {
	b, err := json.Marshal(map[string]any{"index": s.index, "snapshot": whole, "endpoints": entries})
	if err != nil {
		panic("a list that is no JSON: " + err.Error()) // of our own making
	}
	return append(b, '\n')
}

func (s *discoveryServer) handle(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	if r.URL.Query().Get("watch") == "" {
		s.mu.Lock()
		body := s.marshalList(true, s.entries)
		s.mu.Unlock()
		w.Write(body)
		return
	}
	s.watch(w, r)
}

// watch tells of changes until who watches goes; one who is behind when it begins is told the whole list.
func (s *discoveryServer) watch(w http.ResponseWriter, r *http.Request) {
	changes := make(chan []byte, 64)
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
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for next := first; ; {
		if _, err := w.Write(next); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case next = <-changes:
		case <-beat.C:
			next = []byte("\n")
		case <-r.Context().Done():
			return
		}
	}
}

// changeEntry alters one entry's weight, each time another's.
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

// sendSnapshot sends the whole list to all who watch.
func (s *discoveryServer) sendSnapshot() (index, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.notify(s.marshalList(true, s.entries))
}

func (s *discoveryServer) notify(object []byte) (index, at int64) {
	at = time.Now().UnixMicro()
	for c := range s.watches {
		select {
		case c <- object:
		default: // who is that far behind asks again
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

// countingListener counts what passes its connections.
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
