package sockets

import (
	"errors"
	"hash/crc32"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
)

const (
	clientBuffer   = 4 << 10
	longestQuery   = 256 << 10              // a value of 64 KiB in hex, and its statement
	maxDiscarded   = longestQuery           // bytes that are read behind the front's half-close, to be thrown away
	maxRejecting   = 8                      // newcomers for whom there is no room and who are being told
	minRejectTime  = 100 * time.Millisecond // after which one of these makes way for the next
	idleTimeout    = 2 * time.Second        // idle: clients that ask once and stay would keep others out of their own limit
	messageTimeout = 2 * time.Second        // from connecting to a first whole message, and for any message: the site's word is 3 s
)

// AcceptGrace is how long after a stop was asked for new connections may still come; a little later all have been taken.
const (
	acceptGrace = 500 * time.Millisecond
	AcceptGrace = acceptGrace + acceptGrace/5
)

// Server serves clients.
type Server struct {
	post         func(front.Event)
	limiter      *ConnLimiter
	clock        *Clock
	writeTimeout time.Duration // with a client that does not read
	linger       time.Duration // for the other side to read the last of what it was sent
	idle         time.Duration // after which a connection with nothing to do is closed
	parse        func(body []byte) (pgwire.Statement, error)

	stage     atomic.Int32
	refused   atomic.Int64 // requests since the server refuses
	bodies    bodies
	standby   atomic.Int64 // newcomers are rejected: standsBy, or the moment since when they are taken again
	pace      atomic.Int64 // over which they are, once the front is back
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

// rejection is a newcomer that is being rejected since a moment.
type rejection struct {
	conn *net.TCPConn
	at   time.Time
}

// NewServer makes a Server; writeTimeout is the longest that a txn may take.
func NewServer(post func(front.Event), room *ConnLimiter, clock *Clock, writeTimeout time.Duration, memory int64) *Server {
	sv := &Server{post: post, limiter: room, clock: clock, writeTimeout: writeTimeout, bodies: bodies{most: memory / longPart}, linger: time.Second, idle: idleTimeout, clients: map[*client]struct{}{}, parse: pgwire.ParseStatement,
		rejecting: make(chan struct{}, maxRejecting)}
	room.onEvict(sv.evictIdle)
	return sv
}

// reader reads a client's messages.
func (sv *Server) reader(conn *net.TCPConn, buffer int) *pgwire.Reader {
	r := pgwire.NewReader(conn, buffer, longestQuery)
	r.Kept = bodyKept
	r.Reserve = sv.bodies.reserve
	return r
}

// Parse sets how queries are taken apart; without it as pgwire.ParseStatement does. It is called before Serve.
func (sv *Server) Parse(parse func(body []byte) (pgwire.Statement, error)) { sv.parse = parse }

// Serve accepts until a stop was asked for and nobody comes any more: what the machine has accepted is taken,
// so once newcomers are over, what still stands in line is served too.
func (sv *Server) Serve(l *net.TCPListener) error {
	defer sv.enter(refusing)
	defer l.Close()
	for over := false; ; {
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			sv.begin(conn)
		case timedOut(err) && sv.stage.Load() >= draining:
			if over {
				return nil
			}
			over = true
			l.SetDeadline(time.Now().Add(acceptGrace / 10))
		case timedOut(err) || errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, or gone before it was accepted
			slog.Warn("a client could not be accepted", "why", err)
			time.Sleep(time.Millisecond)
		}
	}
}

// Stop asks every client to leave once it is answered, and Serve to return when nobody comes any more. From then on the
// server refuses.
func (sv *Server) Stop(l *net.TCPListener) {
	sv.enter(draining)
	l.SetDeadline(time.Now().Add(acceptGrace))
}

// Close ends every connection that is owed nothing. Refused tells how many requests were refused until now.
func (sv *Server) Close() { sv.enter(closing) }

func (sv *Server) Refused() int64 { return sv.refused.Load() }

// enter goes on to a stage, never back, and wakes those who wait for something to come.
func (sv *Server) enter(stage int32) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if stage <= sv.stage.Load() {
		return
	}
	sv.stage.Store(stage)
	for c := range sv.clients {
		c.conn.SetReadDeadline(past)
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

// client is a client's connection, served by one goroutine.
type client struct {
	sv      *Server
	conn    *net.TCPConn
	r       *pgwire.Reader
	final   chan front.Response // holds one: a connection has one txn at a time
	idle    atomic.Int64        // since when it has nothing to do, as the clock says, 0 while it has
	evicted atomic.Bool         // makes way for another

	until    time.Time // by which it must have asked something
	answered bool      // once at least
	out      *front.Arrival
}

// Standby lets clients go once they are answered and rejects newcomers, as a front that stands by does; it ends with false:
// newcomers are taken again, more and more of them over a span, so that a front that comes back is not flooded.
func (sv *Server) Standby(on bool, pace time.Duration) {
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
			c.conn.SetReadDeadline(past)
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
	if !sv.limiter.admitClient(sv.evictIdle) {
		sv.reject(conn)
		return
	}
	c := &client{sv: sv, conn: conn, final: make(chan front.Response, 1), until: time.Now().Add(messageTimeout),
		r: sv.reader(conn, clientBuffer)}
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
	oldest.conn.SetReadDeadline(past)
	return true
}

// reject serves a client for which there is no room: its first txn, which may have come with it, is told
// that trying again is harmless, by an error after which nobody writes. Only so many are being told so at a time; the
// one that takes longest is cut off for the next, so that slow newcomers keep nobody waiting.
func (sv *Server) reject(conn *net.TCPConn) {
	sv.waitToReject()
	sv.mu.Lock()
	sv.rejected = append(sv.rejected, rejection{conn, time.Now()})
	sv.mu.Unlock()
	sv.running.Add(1)
	go func() {
		defer sv.running.Done()
		defer func() { <-sv.rejecting }()
		defer func() {
			conn.Close()
			sv.mu.Lock()
			sv.rejected = slices.DeleteFunc(sv.rejected, func(t rejection) bool { return t.conn == conn })
			sv.mu.Unlock()
		}()
		defer guard()
		c := &client{sv: sv, conn: conn, r: sv.reader(conn, clientBuffer/4),
			until: time.Now().Add(sv.linger)}
		defer c.r.Close()
		conn.SetReadDeadline(c.until)
		if c.start() != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(sv.linger))
		if typ, _, err := c.r.Next(); err == nil && typ == 'Q' {
			c.write(pgwire.Error(nil, "FATAL", pgwire.TooManyConnections, "too many clients", ""))
		}
		sv.closeGracefully(conn)
	}()
}

// waitToReject waits for a place among those being rejected.
func (sv *Server) waitToReject() {
	select {
	case sv.rejecting <- struct{}{}:
		return
	default:
	}
	sv.mu.Lock()
	wait := time.Duration(0)
	if len(sv.rejected) > 0 {
		wait = minRejectTime - time.Since(sv.rejected[0].at)
	}
	sv.mu.Unlock()
	select {
	case sv.rejecting <- struct{}{}:
		return
	case <-time.After(wait):
	}
	sv.mu.Lock()
	if len(sv.rejected) > 0 {
		sv.rejected[0].conn.Close()
	}
	sv.mu.Unlock()
	sv.rejecting <- struct{}{}
}

// closeGracefully ends a connection, for whatever reason: the front's half first, so that what was sent last arrives. A close over
// unread bytes would be a reset, which overtakes it: so what the client writes meanwhile is read, within bounds, and thrown
// away. It was not taken; the client finds its connection closed.
func (sv *Server) closeGracefully(conn *net.TCPConn) {
	defer conn.Close()
	if conn.CloseWrite() != nil {
		return // it is gone
	}
	wait := sv.linger
	if sv.stage.Load() == closing {
		wait /= 10
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	var waste [1 << 10]byte
	for most := maxDiscarded; most > 0; {
		n, err := conn.Read(waste[:])
		if err != nil {
			return
		}
		most -= n
	}
}

func (c *client) serve() {
	defer c.sv.running.Done()
	defer func() {
		if c.out != nil {
			c.sv.post(c.out.Leave())
		}
		c.r.Close()
		c.sv.closeGracefully(c.conn)
		c.sv.mu.Lock()
		delete(c.sv.clients, c)
		c.sv.mu.Unlock()
		c.sv.limiter.releaseClient()
	}()
	defer guard()
	err := c.watch(c.until)
	if err == nil || timedOut(err) {
		c.conn.SetReadDeadline(c.until)
		err = c.start()
	}
	if err != nil {
		c.writeFatal(err)
		return
	}
	for c.one() {
	}
}

// guard, deferred, stops a panic at the connection that it happened on.
func guard() {
	if p := recover(); p != nil {
		slog.Error("panic in a client's connection", "panic", p, "trace", string(debug.Stack()))
	}
}

// writeFatal tells why the connection ends, where that is the client's doing or its bad luck.
func (c *client) writeFatal(err error) {
	code := ""
	switch {
	case pgwire.IsViolation(err):
		code = pgwire.ProtocolViolation
	case err == errSilent:
		code = pgwire.IdleTooLong
	case err == errCrowded || errors.Is(err, pgwire.ErrNoRoom):
		code = pgwire.TooManyConnections
	default:
		return
	}
	slog.Debug("a client is let go", "from", c.conn.RemoteAddr(), "why", err)
	c.write(pgwire.Error(nil, "FATAL", code, err.Error(), ""))
}

// Answer passes the final answer to the connection's goroutine and wakes it.
func (c *client) Answer(f front.Response) {
	c.final <- f
	c.conn.SetReadDeadline(past)
}

var errCancel = errors.New("a request to cancel, which has no effect here")

// start takes the first message, which must come whole in time.
func (c *client) start() error {
	for {
		s, err := c.r.Startup()
		switch {
		case err != nil && timedOut(err):
			if c.sv.stage.Load() == closing {
				return errLeaving
			}
			if c.evicted.Load() {
				return errCrowded
			}
			if !time.Now().Before(c.until) {
				return errSilent
			}
			if err := c.watch(c.until); err != nil && !timedOut(err) {
				return err
			}
		case err != nil:
			return err
		case s.Cancel:
			return errCancel
		case s.Encryption:
			if !c.write([]byte{'N'}) {
				return net.ErrClosed
			}
		default:
			if !c.write(pgwire.Welcome(nil)) {
				return net.ErrClosed
			}
			return nil
		}
	}
}

// one serves a message; false ends the connection.
func (c *client) one() bool {
	typ, body, err := c.next()
	if err != nil {
		c.writeFatal(err)
		return false
	}
	switch typ {
	case 'Q':
		on := c.query(body)
		c.r.Shed()
		return on
	case pgwire.Terminate:
		return false
	case 'P', 'B', 'D', 'E', 'C', 'F':
		return c.extended()
	case 'H':
		return true
	case 'S':
		return c.write(pgwire.Ready(nil))
	}
	c.writeFatal(pgwire.Unexpected(typ))
	return false
}

// leaving says whether the connection is to end between txns.
func (c *client) leaving() bool {
	return c.sv.stage.Load() >= draining || c.evicted.Load() || c.sv.standby.Load() == standsBy
}

// Why a connection ends.
var (
	errLeaving = errors.New("leaving")
	errSilent  = errors.New("nothing was asked in time")
	errCrowded = errors.New("too many clients")
)

// next waits for a message. Once it has begun it must come whole within a span: half a message holds a
// descriptor that is never idle.
func (c *client) next() (byte, []byte, error) {
	if err := c.awaitMessage(); err != nil {
		return 0, nil, err
	}
	if c.sv.stage.Load() >= refusing {
		c.r.Exact()
	}
	until := c.until
	if c.answered {
		until = time.Now().Add(messageTimeout)
	}
	for closed := false; ; {
		c.conn.SetReadDeadline(until)
		if !closed && c.sv.stage.Load() == closing { // looked at after the setting
			closed = true // of what has begun to come in, the rest may be on its way
			if soon := time.Now().Add(c.sv.linger / 10); soon.Before(until) {
				until = soon
			}
			c.conn.SetReadDeadline(until)
		}
		typ, body, err := c.r.Next()
		switch {
		case err == nil || !timedOut(err):
			return typ, body, err
		case time.Now().Before(until): // the wake was meant for another wait
		case closed:
			return 0, nil, errLeaving
		default:
			return 0, nil, errSilent
		}
	}
}

// awaitMessage waits until a message begins. A stop, or another client's need of room, ends the wait between txns; but what has
// come in by then is taken, and one who came after the stop still sends its first.
func (c *client) awaitMessage() error {
	for !c.r.Waiting() {
		until := c.until
		if c.answered {
			until = time.Now().Add(c.sv.idle)
		}
		err := c.watch(until)
		if err == nil {
			continue
		}
		if !timedOut(err) {
			return err
		}
		stage := c.sv.stage.Load()
		silent := !time.Now().Before(until)
		switch {
		case !silent && !c.evicted.Load() && stage < closing && !(c.answered && c.leaving()): // the wake was meant for another wait
		case (stage < refusing || stage < closing && !c.answered) && peek(c.conn) > 0:
			c.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // a read past its deadline does not look at all
			c.r.Watch()
		case c.answered || stage == closing:
			return errLeaving
		case c.evicted.Load():
			return errCrowded
		default:
			return errSilent
		}
	}
	return nil
}

// watch blocks until something comes in, until a moment at most, as one who may be asked to make way.
func (c *client) watch(until time.Time) error {
	c.conn.SetReadDeadline(until)
	c.idle.Store(int64(c.sv.clock.Now()))
	defer c.idle.Store(0)
	if c.evicted.Load() || c.answered && c.leaving() || c.sv.stage.Load() == closing { // looked at after the setting: a wake after it sets it anew
		c.conn.SetReadDeadline(past)
	}
	_, err := c.r.Watch()
	return err
}

// extended refuses what is not a simple query and skips to its Sync.
func (c *client) extended() bool {
	if !c.write(pgwire.Error(nil, "ERROR", pgwire.NotSupported, "only simple queries are served here", "")) {
		return false
	}
	for {
		switch typ, _, err := c.next(); {
		case err != nil:
			c.writeFatal(err)
			return false
		case typ == 'S':
			return c.write(pgwire.Ready(nil))
		case typ == pgwire.Terminate:
			return false
		}
	}
}

func (c *client) query(body []byte) bool {
	at := c.sv.clock.Now()
	s, err := c.sv.parse(body)
	var m *pgwire.Malformed
	switch {
	case errors.As(err, &m):
		return c.refuse(m.Code, m.What, "")
	case err != nil:
		c.writeFatal(err)
		return false
	case s.Empty:
		return c.last(pgwire.Empty(nil))
	case c.sv.stage.Load() >= refusing: // its answer could come too late for whoever stops this front
		c.sv.refused.Add(1)
		return c.refuse(pgwire.CannotConnectNow, "shutting down: try again elsewhere", "")
	}
	c.out = &front.Arrival{Client: c, Statement: s, At: at}
	c.sv.post(c.out)
	f, ok := c.await()
	if !ok {
		return false // its end is told by serve
	}
	c.out = nil
	switch f.Status {
	case front.Served:
		return c.last(pgwire.Ready(f.Rows))
	case front.Declined:
		detail := ""
		if f.Come > 0 {
			detail = strconv.FormatInt(int64((f.Come+time.Millisecond-1)/time.Millisecond), 10)
		}
		return c.refuse(pgwire.TooManyConnections, "declined: try again", detail)
	case front.Undone:
		return c.refuse(pgwire.RolledBack, "rolled back", "")
	}
	return c.refuse(f.Code, f.Reason, "")
}

// await waits for the final answer; false when the client went away before. Of one that has sent more than is read ahead
// only the state of its connection tells.
func (c *client) await() (front.Response, bool) {
	for {
		select {
		case f := <-c.final:
			return f, true
		default:
		}
		full, err := c.r.Watch()
		if full {
			err = awaitHangup(c.conn)
		}
		switch {
		case err == nil && full:
			return front.Response{}, false
		case err == nil:
		case timedOut(err):
			c.conn.SetReadDeadline(time.Time{})
		default:
			return front.Response{}, false
		}
	}
}

// refuse answers with an error behind which the connection lives on.
func (c *client) refuse(code, what, detail string) bool {
	return c.last(pgwire.Ready(pgwire.Error(nil, "ERROR", code, what, detail)))
}

// last writes the last of an answer.
func (c *client) last(b []byte) bool {
	if !c.write(b) {
		return false
	}
	c.answered = true
	return true
}

// write sends in one piece. A client that does not read is left behind.
func (c *client) write(b []byte) bool {
	c.conn.SetWriteDeadline(time.Now().Add(c.sv.writeTimeout))
	_, err := c.conn.Write(b)
	return err == nil
}
