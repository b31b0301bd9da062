// Package server serves the clients: the listener, one goroutine for each client's connection, and the order of requests and
// answers on it. It decides nothing: statements go to the core, whose responses it writes in the order of their requests.
//
// Server owns the table of its connections, guarded by its mutex, and the stage of its life, which only advances. A connection's
// fields belong to its goroutine, but for its inbox, to which the core's goroutine adds responses, and what its type marks as shared.
//
// Invariants: each complete request that was read gets exactly one answer, in order, unless its client has left first; a connection
// is closed only where no answer is owed on it; nothing of a request whose client has left begins to go out.
package server

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/monotonic"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

const (
	readBuffer     = 4 << 10
	maxReused      = 16 << 10        // longest body whose buffer is used again
	maxQuery       = 256 << 10       // a value of 64 KiB in hex, and its statement
	maxDiscarded   = maxQuery        // bytes that are read and dropped behind the server's half-close
	closeLinger    = time.Second     // for the client to read the last of what it was sent
	idleTimeout    = 2 * time.Second // clients that ask once and stay would keep others out of their own limit
	messageTimeout = 2 * time.Second // from connecting to a first complete message, and for any message: the site's limit is 3 s
)

// acceptGrace is how long after Drain new connections may still come; a tenth of it later all have been taken.
const acceptGrace = 500 * time.Millisecond

// MaxCloseLinger is how long, once the server closes, a connection waits for the other side to read the last of what it was sent, and
// for the rest of a message that has begun.
const MaxCloseLinger = 100 * time.Millisecond

// Options are what a Server is made of.
type Options struct {
	Post         func(front.Event) // passes events to the core
	Limiter      *limits.Descriptors
	Clock        *monotonic.Clock
	WriteTimeout time.Duration // for a client that does not read: at least the longest that a request may take
	IdleTimeout  time.Duration // after which a connection with nothing to do is closed; 0 for 2 s
	MemoryBytes  int64         // of the process: messages and answers may hold a part of it
}

// Server serves clients.
type Server struct {
	options Options
	linger  time.Duration // closeLinger, but in tests
	parse   func(body []byte) (pgwire.Statement, error)
	bodies  *limits.Memory // of long messages, and of requests read ahead
	answers *limits.Memory // of answers that are not written yet

	stage    atomic.Int32 // one of the stages below
	rejected atomic.Int64 // requests since the stage rejecting
	standby  standby
	refusals refusals

	mu      sync.Mutex // guards clients, and orders a change of the stage with the wakes that it causes
	clients map[*client]struct{}
	running sync.WaitGroup // goroutines of connections
}

// Stages of a server's life. Each request that was read is owed an answer, so before a connection may end the server
// must stop reading, not wait for a pause of its client: some send their next request with the answer to the last.
const (
	serving   int32 = iota
	draining        // connections end between requests; what has come in by then, and a new connection's first, is served
	rejecting       // further requests are rejected; a connection that was answered once ends whatever its client sends
	closing         // connections end where no answer is owed
)

// New returns a server that is not serving yet. It registers with the limiter as the one that closes idle clients.
func New(o Options) *Server {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleTimeout
	}
	s := &Server{options: o, linger: closeLinger, parse: pgwire.ParseStatement, clients: map[*client]struct{}{},
		bodies: limits.NewMemory(o.MemoryBytes / limits.LongMessagesPart), answers: limits.NewMemory(o.MemoryBytes / answersPart),
		refusals: newRefusals()}
	o.Limiter.OnEvict(s.evictIdle)
	return s
}

// SetParser sets how statements are parsed; the default is pgwire.ParseStatement. It is called before Serve.
func (s *Server) SetParser(parse func(body []byte) (pgwire.Statement, error)) { s.parse = parse }

// Listener is where clients connect: a *net.TCPListener.
type Listener interface {
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	Close() error
}

// Serve accepts connections until Drain was called and no more come, and then returns nil: what the machine has accepted is taken,
// so whatever is in the listener's queue when the grace is over is served too. Any other error is the listener's.
func (s *Server) Serve(l Listener) error {
	defer s.enter(rejecting)
	defer func() { _ = l.Close() }() // it may have been closed to end Serve
	for graceOver := false; ; {
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			s.admit(conn)
		case tcpconn.IsTimeout(err) && s.stage.Load() >= draining:
			if graceOver {
				return nil
			}
			graceOver = true
			_ = l.SetDeadline(time.Now().Add(acceptGrace / 10)) // it fails on a closed listener, as the next accept does
		case tcpconn.IsTimeout(err) || errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, or gone before it was accepted
			slog.Warn("accept failed", "err", err)
			time.Sleep(time.Millisecond)
		}
	}
}

// Drain begins a graceful shutdown: each client's connection ends once its requests are answered, and Serve returns when no more
// connections come. From then on requests are rejected.
func (s *Server) Drain(l Listener) {
	s.enter(draining)
	_ = l.SetDeadline(time.Now().Add(acceptGrace)) // it fails on a closed listener, of which Serve has returned
}

// Close ends every connection on which no answer is owed.
func (s *Server) Close() { s.enter(closing) }

// RejectedWhileDraining returns how many requests were rejected since Serve returned.
func (s *Server) RejectedWhileDraining() int64 { return s.rejected.Load() }

// Wait returns true when all clients have left, or false after a timeout.
func (s *Server) Wait(timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// enter advances to a stage, never back, and wakes the connections that wait for input.
func (s *Server) enter(stage int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stage <= s.stage.Load() {
		return
	}
	s.stage.Store(stage)
	for c := range s.clients {
		tcpconn.Wake(c.tcp)
	}
}

// admit serves a new connection, or refuses it beyond the limits.
func (s *Server) admit(conn *net.TCPConn) {
	if s.standby.refuses(s.options.Clock.Now()) || !s.options.Limiter.AdmitClient(s.evictIdle) {
		s.refuse(conn)
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil { // it is closed
		s.options.Limiter.ReleaseClient()
		return
	}
	c := &client{server: s, tcp: conn, monitor: tcpconn.NewPeerMonitor(raw), startBy: time.Now().Add(messageTimeout),
		reader: s.newReader(conn, readBuffer)}
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	s.running.Add(1)
	go c.serve()
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *client) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	s.options.Limiter.ReleaseClient()
}

// newReader returns a reader of a client's messages.
func (s *Server) newReader(conn *net.TCPConn, buffer int) *pgwire.Reader {
	r := pgwire.NewReader(conn, buffer, maxQuery)
	r.RetainedBytes = maxReused
	r.Reserve = s.bodies.Reserve
	return r
}

// evictIdle closes the connection that has been idle longest, whose client is the least likely to be sending just now. It returns
// false where none is idle.
func (s *Server) evictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *client
	for c := range s.clients {
		if at := c.idleSince.Load(); at > 0 && !c.evicted.Load() && (oldest == nil || at < oldest.idleSince.Load()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.evict()
	return true
}

// closeGracefully ends a connection: this side's half first, so that what was sent last arrives. A close over unread bytes would be
// a reset, which overtakes it: so what the client sends meanwhile is read, within bounds, and dropped. It was not taken: the client
// finds its connection closed.
func (s *Server) closeGracefully(conn *net.TCPConn) {
	defer tcpconn.Close(conn)
	if conn.CloseWrite() != nil {
		return // the other side has reset it
	}
	linger := s.linger
	if s.stage.Load() == closing {
		linger = min(linger, MaxCloseLinger)
	}
	tcpconn.SetReadDeadline(conn, time.Now().Add(linger))
	var dropped [1 << 10]byte
	for left := maxDiscarded; left > 0; {
		n, err := conn.Read(dropped[:])
		if err != nil {
			return
		}
		left -= n
	}
}
