// Package server accepts the connections of clients and serves them, each on its own goroutine. It passes statements to the core and
// writes the core's responses in the order of the requests. All routing decisions are the core's.
//
// Server owns the table of its connections, which its mutex guards, and the stage of its life cycle, which only advances. The fields of a
// connection belong to its goroutine, except for those marked as shared. One of these is the inbox, to which the core's goroutine adds
// responses.
//
// Invariants: Each complete request that was read gets exactly one answer, in order, unless its client disconnects first. The server
// closes a connection only when every request that was read on it is answered. No attempt of a request begins to be sent once its client
// has disconnected.
package server

import (
	"errors"
	"io"
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
	readBufferBytes   = 4 << 10
	maxReusedBytes    = 16 << 10        // a longer body's buffer is not reused
	maxQueryBytes     = 256 << 10       // fits a value of 64 KiB in hexadecimal and the rest of its statement
	maxDiscardedBytes = maxQueryBytes   // bytes that are read and discarded after the server's half-close
	closeLinger       = time.Second     // time for the client to read the last answer before the connection is closed
	idleTimeout       = 2 * time.Second // otherwise clients that send one request and stay would use up the limit for all clients
	messageTimeout    = 2 * time.Second // from connecting to the first complete request, and for each message; the site's limit is 3 s
)

// acceptGrace is how long after Drain new connections are still accepted. Afterwards Serve takes a tenth of it to accept the connections
// that are left in the listener's queue.
const acceptGrace = 500 * time.Millisecond

// MaxCloseLinger is how long a connection waits, after Close was called, for the client to read the last answer or to send the rest of a
// partly received message.
const MaxCloseLinger = 100 * time.Millisecond

// Options are the dependencies and settings of a Server.
type Options struct {
	Post         func(front.Event) // passes an event to the core
	Limiter      *limits.Descriptors
	Clock        *monotonic.Clock
	WriteTimeout time.Duration // for writes to clients that are slow to read; at least the longest time that a request may take
	IdleTimeout  time.Duration // after which an idle connection is closed; 0 means 2 s
	MemoryBytes  int64         // memory of the process, of which messages and answers may hold a part
}

// Server accepts the connections of clients and serves them.
type Server struct {
	options       Options
	linger        time.Duration // closeLinger, except in tests
	parse         func(body []byte) (pgwire.Statement, error)
	messageMemory *limits.Memory // budget for long messages and for requests that were read ahead
	answerMemory  *limits.Memory // budget for answers that are not written yet

	stage    atomic.Int32 // one of the stages below
	rejected atomic.Int64 // requests that were rejected in the stage rejecting or closing
	standby  standby
	refusals refusals

	mu          sync.Mutex // guards clients, and is held from a change of the stage until all clients are woken
	clients     map[*client]struct{}
	connections connectionCount // served and refused ones
}

// The stages of a server's life cycle. Each request that was read must be answered, so the server must stop reading before a connection
// can end. It cannot wait for a pause of the client, because some clients send their next request as soon as they receive an answer.
const (
	serving   int32 = iota
	draining        // connections end between requests; requests already received, and the first one of a new connection, are served
	rejecting       // further requests are rejected; a connection that was answered once ends even if its client keeps sending
	closing         // connections end as soon as no answer is outstanding
)

// New returns a server that is not serving yet. It registers itself with the limiter to close idle clients on request.
func New(o Options) *Server {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleTimeout
	}
	s := &Server{options: o, linger: closeLinger, parse: pgwire.ParseStatement, clients: map[*client]struct{}{},
		messageMemory: limits.NewMemory(o.MemoryBytes / limits.LongMessagesDivisor),
		answerMemory:  limits.NewMemory(o.MemoryBytes / answerMemoryDivisor), refusals: newRefusals()}
	o.Limiter.SetEvictClient(s.evictIdle)
	return s
}

// SetParser sets the function that parses statements; the default is pgwire.ParseStatement. It must be called before Serve.
func (s *Server) SetParser(parse func(body []byte) (pgwire.Statement, error)) { s.parse = parse }

// Listener is the listener on which clients connect. *net.TCPListener implements it.
type Listener interface {
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	Close() error
}

// Serve accepts connections until the grace period after Drain is over, and then returns nil. It also serves the connections that are in
// the listener's queue at the end of the grace period, because the operating system has accepted them already. A non-nil error is the
// listener's.
func (s *Server) Serve(l Listener) error {
	defer s.advanceTo(rejecting)
	defer func() { _ = l.Close() }() // fails if it was closed already to end Serve
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
			_ = l.SetDeadline(time.Now().Add(acceptGrace / 10)) // fails only on a closed listener, as the next AcceptTCP does
		case tcpconn.IsTimeout(err) || errors.Is(err, net.ErrClosed):
			return err
		default: // no descriptors are left, or the client disconnected before it was accepted
			slog.Warn("accept failed", "err", err)
			time.Sleep(time.Millisecond)
		}
	}
}

// Drain begins a graceful shutdown and returns at once. l is the listener that was passed to Serve. Each connection ends once its requests
// are answered. Serve returns after a grace period of about acceptGrace, and from then on requests are rejected.
func (s *Server) Drain(l Listener) {
	s.advanceTo(draining)
	_ = l.SetDeadline(time.Now().Add(acceptGrace)) // fails only on a closed listener, for which Serve has returned
}

// Close ends every connection as soon as no answer is outstanding on it. It returns at once; Wait waits for the end of the connections. It
// does not end Serve, for which the listener has to be closed or drained.
func (s *Server) Close() { s.advanceTo(closing) }

// RejectedWhileDraining returns the number of requests that were rejected because of the shutdown, that is, after Serve returned or Close
// was called.
func (s *Server) RejectedWhileDraining() int64 { return s.rejected.Load() }

// Wait waits until all connections have ended, including those that are being refused. It returns false if the timeout passes first. It
// ends no connection itself.
func (s *Server) Wait(timeout time.Duration) bool { return s.connections.wait(timeout) }

// advanceTo advances to a later stage and wakes all connections. It does nothing if the stage is reached already.
func (s *Server) advanceTo(stage int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stage <= s.stage.Load() {
		return
	}
	s.stage.Store(stage)
	for c := range s.clients {
		tcpconn.InterruptRead(c.tcp)
	}
}

// admit starts to serve a new connection. It refuses the connection because of a standby, or if the limiter does not admit it.
func (s *Server) admit(conn *net.TCPConn) {
	if s.standby.refuses(s.options.Clock.Now()) || !s.options.Limiter.AdmitClient(s.evictIdle) {
		s.refuse(conn)
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil { // the connection is closed
		s.options.Limiter.ReleaseClient()
		return
	}
	c := &client{server: s, tcp: conn, monitor: tcpconn.NewPeerMonitor(raw), firstRequestDeadline: time.Now().Add(messageTimeout),
		reader: s.newReader(conn, readBufferBytes)}
	s.add(c)
	s.connections.add()
	go c.serve()
}

// add adds a connection to those that a change of the stage wakes. One that is being refused is never idle, so it is not evicted.
func (s *Server) add(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[c] = struct{}{}
}

// remove removes a connection that add added.
func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
}

// newReader returns a reader for a client's messages that reserves memory for long ones from the server's budget.
func (s *Server) newReader(source io.Reader, buffer int) *pgwire.Reader {
	r := pgwire.NewReader(source, buffer, maxQueryBytes)
	r.RetainedBytes = maxReusedBytes
	r.Reserve = s.messageMemory.Reserve
	return r
}

// evictIdle starts to close the connection that has been idle longest, because its client is the least likely to be sending a request at
// this moment. It returns false if no connection is idle.
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
