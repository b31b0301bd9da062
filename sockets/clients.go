package sockets

import (
	"errors"
	"hash/crc32"
	"log/slog"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
)

const (
	clientBuffer = 4 << 10
	longestQuery = 256 << 10              // a value of 64 KiB in hex, and its statement
	goodbye      = time.Second            // for the other side to read the last of what it was sent
	newcomers    = 500 * time.Millisecond // for how long after a stop is asked for new connections may still come
	lastLook     = 5 * time.Millisecond   // at what has come in, before an idle connection is closed
	turnedAtOnce = 8                      // newcomers for whom there is no room and who are being told
	resting      = 2 * time.Second        // idle: clients that ask once and stay would keep others out of their own limit
	silence      = 2 * time.Second        // from connecting to a first whole message, and for any message: the site's word is 3 s
)

// Server serves clients.
type Server struct {
	post     func(front.Event)
	room     *Room
	clock    *Clock
	patience time.Duration // with a client that does not read
	idle     time.Duration // after which a connection with nothing to do is closed
	parse    func(body []byte) (pgwire.Statement, error)

	stopping atomic.Bool
	rest     atomic.Int64 // newcomers are turned away: resting, or the moment since when they are taken again
	pace     atomic.Int64 // over which they are, once the front is back
	came     atomic.Int64
	turning  chan struct{}
	mu       sync.Mutex
	clients  map[*client]struct{}
	open     sync.WaitGroup
}

// NewServer makes a Server; patience is the longest that a txn may take.
func NewServer(post func(front.Event), room *Room, clock *Clock, patience time.Duration) *Server {
	sv := &Server{post: post, room: room, clock: clock, patience: patience, idle: resting, clients: map[*client]struct{}{}, parse: pgwire.ParseStatement,
		turning: make(chan struct{}, turnedAtOnce)}
	room.spare(sv.makeWay)
	return sv
}

// Parse sets how queries are taken apart; without it as pgwire.ParseStatement does. It is called before Serve.
func (sv *Server) Parse(parse func(body []byte) (pgwire.Statement, error)) { sv.parse = parse }

// Serve accepts until a stop was asked for and nobody comes any more: what the machine has accepted is taken,
// so once newcomers are over, what still stands in line is served too.
func (sv *Server) Serve(l *net.TCPListener) error {
	defer l.Close()
	for over := false; ; {
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			sv.begin(conn)
		case timedOut(err) && sv.stopping.Load():
			if over {
				return nil
			}
			over = true
			l.SetDeadline(time.Now().Add(newcomers / 10))
		case timedOut(err) || errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, or gone before it was accepted
			slog.Warn("a client could not be accepted", "why", err)
			time.Sleep(time.Millisecond)
		}
	}
}

// Stop asks every client to leave once it is answered, and Serve to return when nobody comes any more.
func (sv *Server) Stop(l *net.TCPListener) {
	sv.stopping.Store(true)
	l.SetDeadline(time.Now().Add(newcomers))
	sv.mu.Lock()
	for c := range sv.clients {
		c.conn.SetReadDeadline(past)
	}
	sv.mu.Unlock()
}

// Wait returns when all clients have left, true, or at the end of a span.
func (sv *Server) Wait(most time.Duration) bool {
	done := make(chan struct{})
	go func() { sv.open.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(most):
		return false
	}
}

// client is a client's connection, served by one goroutine.
type client struct {
	sv    *Server
	conn  *net.TCPConn
	r     *pgwire.Reader
	final chan front.Final // holds one: a connection has one txn at a time
	idle  atomic.Int64     // since when it has nothing to do, as the clock says, 0 while it has
	leave atomic.Bool      // makes way for another

	until    time.Time // by which it must have asked something
	answered bool      // once at least
	out      *front.Arrival
}

// Rest lets clients go once they are answered and turns newcomers away, as a front that stands by does; it ends with false:
// newcomers are taken again, more and more of them over a span, so that a front that comes back is not flooded.
func (sv *Server) Rest(on bool, pace time.Duration) {
	if !on {
		if sv.rest.Load() == standsBy { // a front that begins has nobody to spare
			sv.pace.Store(int64(max(pace, 1)))
			sv.rest.Store(int64(sv.clock.Now()) + 1)
		}
		return
	}
	sv.rest.Store(standsBy)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for c := range sv.clients {
		if c.idle.Load() > 0 {
			c.leave.Store(true)
			c.conn.SetReadDeadline(past)
		}
	}
}

const standsBy = -1

// rests tells whether a newcomer is turned away since the front stands by, or came back a moment ago.
func (sv *Server) rests() bool {
	since := sv.rest.Load()
	if since == 0 {
		return false
	}
	if since == standsBy {
		return true
	}
	gone, pace := float64(int64(sv.clock.Now())-since), float64(sv.pace.Load())
	if gone >= pace {
		sv.rest.CompareAndSwap(since, 0)
		return false
	}
	n := sv.came.Add(1) // every eighth at first, all at the end
	return float64(crc32.ChecksumIEEE(strconv.AppendInt(nil, n, 10)))/(1<<32) > max(gone/pace, 1.0/8)
}

func (sv *Server) begin(conn *net.TCPConn) {
	if sv.rests() {
		sv.turnAway(conn)
		return
	}
	if !sv.room.client(sv.makeWay) {
		sv.turnAway(conn)
		return
	}
	c := &client{sv: sv, conn: conn, final: make(chan front.Final, 1), until: time.Now().Add(silence),
		r: pgwire.NewReader(conn, clientBuffer, longestQuery)}
	sv.mu.Lock()
	sv.clients[c] = struct{}{}
	sv.mu.Unlock()
	sv.open.Add(1)
	go c.serve()
}

// makeWay ends the connection that has had nothing to do for longest: its client is the least likely to be
// sending just now.
func (sv *Server) makeWay() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	var oldest *client
	for c := range sv.clients {
		if at := c.idle.Load(); at > 0 && !c.leave.Load() && (oldest == nil || at < oldest.idle.Load()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.leave.Store(true)
	oldest.conn.SetReadDeadline(past)
	return true
}

// turnAway serves a client for which there is no room: its first txn, which may have come with it, is told
// that trying again is harmless, by an error after which nobody writes. While too many are being told so, the
// rest stand in line.
func (sv *Server) turnAway(conn *net.TCPConn) {
	sv.turning <- struct{}{}
	go func() {
		defer func() { <-sv.turning }()
		defer conn.Close()
		defer guard()
		c := &client{sv: sv, conn: conn, r: pgwire.NewReader(conn, clientBuffer/4, longestQuery),
			until: time.Now().Add(goodbye)}
		conn.SetReadDeadline(c.until)
		if c.start() != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(goodbye))
		if typ, _, err := c.r.Next(); err == nil && typ == 'Q' {
			c.write(pgwire.Error(nil, "FATAL", pgwire.TooManyConnections, "too many clients", ""))
		}
		leave(conn)
	}()
}

// leave ends a connection so that what was sent last arrives: no reset may overtake it. What the client has
// written meanwhile is not taken any more; the reset tells it so, and it has read its answer by then.
func leave(conn *net.TCPConn) {
	conn.CloseWrite()
	conn.SetReadDeadline(time.Now().Add(goodbye))
	var first [1]byte
	if n, _ := conn.Read(first[:]); n > 0 && first[0] != pgwire.Terminate {
		slog.Debug("a client wrote while its connection was closed")
		conn.SetLinger(0)
	}
	conn.Close()
}

func (c *client) serve() {
	defer c.sv.open.Done()
	defer func() {
		if c.out != nil {
			c.sv.post(front.Gone{Arrival: c.out})
		}
		c.sv.mu.Lock()
		delete(c.sv.clients, c)
		c.sv.mu.Unlock()
		c.conn.Close()
		c.sv.room.clientLeft()
	}()
	defer guard()
	err := c.watch(c.until)
	if err == nil || timedOut(err) {
		c.conn.SetReadDeadline(c.until)
		err = c.start()
	}
	if err != nil {
		c.protest(err)
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

// protest tells why the connection ends, where that is the client's doing or its bad luck.
func (c *client) protest(err error) {
	code := ""
	switch {
	case pgwire.IsViolation(err):
		code = pgwire.ProtocolViolation
	case err == errSilent:
		code = pgwire.IdleTooLong
	case err == errCrowded:
		code = pgwire.TooManyConnections
	default:
		return
	}
	c.write(pgwire.Error(nil, "FATAL", code, err.Error(), ""))
	// Only what is unread could make a reset of the closing; who stays silent holds its descriptor no longer.
	if come(c.conn) > 0 || code == pgwire.ProtocolViolation {
		leave(c.conn)
	}
}

// Answer passes the final answer to the connection's goroutine and wakes it.
func (c *client) Answer(f front.Final) {
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
			if c.leave.Load() {
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
		c.protest(err)
		return false
	}
	switch typ {
	case 'Q':
		return c.query(body)
	case pgwire.Terminate:
		return false
	case 'P', 'B', 'D', 'E', 'C', 'F':
		return c.extended()
	case 'H':
		return true
	case 'S':
		return c.write(pgwire.Ready(nil))
	}
	c.protest(pgwire.Unexpected(typ))
	return false
}

// leaving says whether the connection is to end between txns.
func (c *client) leaving() bool {
	return c.sv.stopping.Load() || c.leave.Load() || c.sv.rest.Load() == standsBy
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
	if err := c.rest(); err != nil {
		return 0, nil, err
	}
	until := c.until
	if c.answered {
		until = time.Now().Add(silence)
	}
	for {
		c.conn.SetReadDeadline(until)
		typ, body, err := c.r.Next()
		switch {
		case err == nil || !timedOut(err):
			return typ, body, err
		case !time.Now().Before(until):
			return 0, nil, errSilent
		}
	}
}

// rest waits until a message begins. A stop, or another client's need of room, ends the wait between txns; but
// one who has just been answered may be writing already, and one who came after the stop still sends its first.
func (c *client) rest() error {
	for !c.r.Waiting() {
		until := c.until
		if c.answered {
			until = time.Now().Add(c.sv.idle)
		}
		err := c.watch(until)
		switch {
		case err == nil:
		case !timedOut(err):
			return err
		case !c.answered && c.leave.Load():
			return errCrowded
		case !c.answered && !time.Now().Before(until):
			return errSilent
		case c.answered && (c.leaving() || !time.Now().Before(until)):
			c.conn.SetReadDeadline(time.Now().Add(lastLook)) // a read past its deadline does not look at all
			if _, err := c.r.Watch(); err != nil && !(timedOut(err) && come(c.conn) > 0) {
				return errLeaving // closed at once: nothing is on its way to the client that it has not read
			}
		}
	}
	return nil
}

// watch blocks until something comes in, until a moment at most, as one who may be asked to make way.
func (c *client) watch(until time.Time) error {
	c.conn.SetReadDeadline(until)
	c.idle.Store(int64(c.sv.clock.Now()))
	defer c.idle.Store(0)
	if c.leave.Load() || c.answered && c.leaving() { // looked at after the setting: a wake after it sets it anew
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
			c.protest(err)
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
		c.protest(err)
		return false
	case s.Empty:
		return c.last(pgwire.Empty(nil))
	}
	c.out = &front.Arrival{Client: c, Statement: s, At: at}
	c.sv.post(c.out)
	f, ok := c.await()
	if !ok {
		return false // its end is told by serve
	}
	c.out = nil
	c.r.Shed(bodyKept)
	switch f.Word {
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

// await waits for the final answer; false when the client went away before.
func (c *client) await() (front.Final, bool) {
	for {
		select {
		case f := <-c.final:
			return f, true
		default:
		}
		full, err := c.r.Watch()
		switch {
		case full:
			return <-c.final, true
		case err == nil:
		case timedOut(err):
			c.conn.SetReadDeadline(time.Time{})
		default:
			return front.Final{}, false
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
	c.conn.SetWriteDeadline(time.Now().Add(c.sv.patience))
	_, err := c.conn.Write(b)
	return err == nil
}
