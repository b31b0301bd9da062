package server

import (
	"errors"
	"hash/crc32"
	"log/slog"
	"net"
	"strconv"
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
	clientBuffer   = 4 << 10
	bodyKept       = 16 << 10               // longest body whose buffer is used again
	longestQuery   = 256 << 10              // a value of 64 KiB in hex, and its statement
	maxDiscarded   = longestQuery           // bytes that are read behind the front's half-close, to be thrown away
	maxRejecting   = 8                      // newcomers for whom there is no room and who are being told
	minRejectTime  = 100 * time.Millisecond // after which one of these makes way for the next
	idleTimeout    = 2 * time.Second        // idle: clients that ask once and stay would keep others out of their own limit
	messageTimeout = 2 * time.Second        // from connecting to a first whole message, and for any message: the site's word is 3 s
)

// acceptGrace is how long after a stop was asked for new connections may still come; a tenth of it later all have been taken.
const acceptGrace = 500 * time.Millisecond

// MaxCloseLinger is how long, once the server closes, a connection waits for the other side to read the last of what it was sent, and
// for the rest of a message that has begun.
const MaxCloseLinger = 100 * time.Millisecond

// Server serves clients.
type Server struct {
	post         func(front.Event)
	limiter      *limits.Descriptors
	clock        *monotonic.Clock
	writeTimeout time.Duration // with a client that does not read
	linger       time.Duration // for the other side to read the last of what it was sent
	idle         time.Duration // after which a connection with nothing to do is closed
	parse        func(body []byte) (pgwire.Statement, error)

	stage     atomic.Int32
	refused   atomic.Int64   // requests since the server refuses
	bodies    *limits.Memory // of long messages, and of requests read ahead
	answers   *limits.Memory // of answers that are not written yet
	standby   atomic.Int64   // newcomers are rejected: standsBy, or the moment since when they are taken again
	pace      atomic.Int64   // over which they are, once the front is back
	came      atomic.Int64
	rejecting chan struct{}
	mu        sync.Mutex
	clients   map[*client]struct{}
	rejected  []rejection // those being told, the oldest first
	running   sync.WaitGroup
}

// Stages of a server's life. Each request that was read is owed an answer, so before a connection may end the server
// must stop reading, not wait for a pause of its client: some send their next request with the answer to the last.
const (
	serving  int32 = iota
	draining       // connections end between requests; what has come in by then, and a newcomer's first, is served
	refusing       // what still comes in is told to go elsewhere; an answered connection ends whatever its client sends
	closing        // connections end where nothing is owed
)

// Options are what a Server is made of.
type Options struct {
	Post         func(front.Event) // passes events to the core
	Limiter      *limits.Descriptors
	Clock        *monotonic.Clock
	WriteTimeout time.Duration // for a client that does not read: at least the longest that a request may take
	IdleTimeout  time.Duration // after which a connection with nothing to do is closed; 0 for 2 s
	MemoryBytes  int64         // of the process: messages and answers may hold a part of it
}

// New makes a Server.
func New(o Options) *Server {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleTimeout
	}
	sv := &Server{post: o.Post, limiter: o.Limiter, clock: o.Clock, writeTimeout: o.WriteTimeout, linger: time.Second, idle: o.IdleTimeout,
		bodies: limits.NewMemory(o.MemoryBytes / limits.LongMessagesPart), answers: limits.NewMemory(o.MemoryBytes / answersPart),
		clients: map[*client]struct{}{}, rejecting: make(chan struct{}, maxRejecting), parse: pgwire.ParseStatement}
	o.Limiter.OnEvict(sv.evictIdle)
	return sv
}

// reader reads a client's messages.
func (sv *Server) reader(conn *net.TCPConn, buffer int) *pgwire.Reader {
	r := pgwire.NewReader(conn, buffer, longestQuery)
	r.RetainedBytes = bodyKept
	r.Reserve = sv.bodies.Reserve
	return r
}

// SetParser sets how queries are taken apart; without it as pgwire.ParseStatement does. It is called before Serve.
func (sv *Server) SetParser(parse func(body []byte) (pgwire.Statement, error)) { sv.parse = parse }

// Listener is where clients connect: a *net.TCPListener.
type Listener interface {
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	Close() error
}

// Serve accepts until a stop was asked for and nobody comes any more: what the machine has accepted is taken,
// so once newcomers are over, what still stands in line is served too.
func (sv *Server) Serve(l Listener) error {
	defer sv.enter(refusing)
	defer l.Close()
	for over := false; ; {
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			sv.begin(conn)
		case tcpconn.IsTimeout(err) && sv.stage.Load() >= draining:
			if over {
				return nil
			}
			over = true
			l.SetDeadline(time.Now().Add(acceptGrace / 10))
		case tcpconn.IsTimeout(err) || errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, or gone before it was accepted
			slog.Warn("a client could not be accepted", "why", err)
			time.Sleep(time.Millisecond)
		}
	}
}

// Drain asks every client to leave once it is answered, and Serve to return when nobody comes any more. From then on the
// server refuses.
func (sv *Server) Drain(l Listener) {
	sv.enter(draining)
	l.SetDeadline(time.Now().Add(acceptGrace))
}

// Close ends every connection that is owed nothing. Refused tells how many requests were refused until now.
func (sv *Server) Close() { sv.enter(closing) }

func (sv *Server) RejectedWhileDraining() int64 { return sv.refused.Load() }

// enter goes on to a stage, never back, and wakes those who wait for something to come.
func (sv *Server) enter(stage int32) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if stage <= sv.stage.Load() {
		return
	}
	sv.stage.Store(stage)
	for c := range sv.clients {
		c.conn.SetReadDeadline(tcpconn.Past)
	}
}

// Wait returns when all clients have left, true, or at the end of a span.
func (sv *Server) Wait(most time.Duration) bool {
	done := make(chan struct{})
	go func() { sv.running.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(most):
		return false
	}
}

// SetStandby lets clients go once they are answered and rejects newcomers, as a front that stands by does; it ends with false:
// newcomers are taken again, more and more of them over a span, so that a front that comes back is not flooded.
func (sv *Server) SetStandby(on bool, pace time.Duration) {
	if !on {
		if sv.standby.Load() == standsBy { // a front that begins has nobody to spare
			sv.pace.Store(int64(max(pace, 1)))
			sv.standby.Store(int64(sv.clock.Now()) + 1)
		}
		return
	}
	sv.standby.Store(standsBy)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for c := range sv.clients {
		if c.idle.Load() > 0 {
			c.evicted.Store(true)
			c.conn.SetReadDeadline(tcpconn.Past)
		}
	}
}

const standsBy = -1

// rejects tells whether a newcomer is rejected since the front stands by, or came back a moment ago.
func (sv *Server) rejects() bool {
	since := sv.standby.Load()
	if since == 0 {
		return false
	}
	if since == standsBy {
		return true
	}
	gone, pace := float64(int64(sv.clock.Now())-since), float64(sv.pace.Load())
	if gone >= pace {
		sv.standby.CompareAndSwap(since, 0)
		return false
	}
	n := sv.came.Add(1) // every eighth at first, all at the end
	return float64(crc32.ChecksumIEEE(strconv.AppendInt(nil, n, 10)))/(1<<32) > max(gone/pace, 1.0/8)
}

func (sv *Server) begin(conn *net.TCPConn) {
	if sv.rejects() {
		sv.reject(conn)
		return
	}
	if !sv.limiter.AdmitClient(sv.evictIdle) {
		sv.reject(conn)
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil { // it is closed
		sv.limiter.ReleaseClient()
		return
	}
	c := &client{sv: sv, conn: conn, presence: tcpconn.NewPresence(raw), until: time.Now().Add(messageTimeout), r: sv.reader(conn, clientBuffer)}
	sv.mu.Lock()
	sv.clients[c] = struct{}{}
	sv.mu.Unlock()
	sv.running.Add(1)
	go c.serve()
}

// evictIdle ends the connection that has had nothing to do for longest: its client is the least likely to be
// sending just now.
func (sv *Server) evictIdle() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	var oldest *client
	for c := range sv.clients {
		if at := c.idle.Load(); at > 0 && !c.evicted.Load() && (oldest == nil || at < oldest.idle.Load()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.evicted.Store(true)
	oldest.conn.SetReadDeadline(tcpconn.Past)
	return true
}
