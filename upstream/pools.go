package upstream

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

// Sizes of buffers.
const (
	linkBuffer = 4 << 10
	bodyKept   = 16 << 10
	rowSpare   = 256 // behind a long row, for the rest of its answer
)

// Pools holds a pool for each member.
type Pools struct {
	post           func(front.Event)
	limiter        *limits.Descriptors
	user, database string
	dial, idle     time.Duration
	longest        int                                                    // message that a member may send
	any            bool                                                   // answers may be those of any statement
	control        func(network, address string, c syscall.RawConn) error // of net.Dialer; nil but in tests

	bodies *limits.Memory

	mu    sync.Mutex
	pools []*pool
}

// Options are what Pools are made of.
type Options struct {
	Post           func(front.Event) // passes events to the core
	Limiter        *limits.Descriptors
	User, Database string
	DialTimeout    time.Duration // for dialling and the server's greeting together
	IdleTimeout    time.Duration // a connection is not used again after it, less a margin for what is on its way
	MemoryBytes    int64         // of the process: servers' messages may hold a part of it
}

// NewPools makes the pools. Servers' values are longer on some days than the protocol's page has it: a message may be a part of the
// memory that leaves room for all that are in flight at once.
func NewPools(o Options) *Pools {
	return &Pools{post: o.Post, limiter: o.Limiter, user: o.User, database: o.Database, dial: o.DialTimeout, idle: o.IdleTimeout - o.IdleTimeout/20,
		longest: int(o.MemoryBytes / messages), bodies: limits.NewMemory(o.MemoryBytes / limits.LongMessagesPart)}
}

// AllowAnyResult lets members answer as any statement is answered: rows of any number and width, up to the longest message in all.
func (ls *Pools) AllowAnyResult() { ls.any = true }

const messages = 64 // of the longest, fill the memory

// pool is the connections to one member; idle ones are used last in, first out.
type pool struct {
	address string    // "" once the member is forgotten
	started time.Time // the member's last start, on the monotonic clock
	idle    []*memberConn
}

// memberConn is a connection to a member, served by one goroutine.
type memberConn struct {
	ls       *Pools
	pool     *pool
	address  string
	opened   time.Time // on the monotonic clock
	conn     *net.TCPConn
	r        *pgwire.Reader
	reserved int                 // bytes of the long messages' room that the answer in hand holds
	job      chan *front.Attempt // holds one, given by whoever takes the link from its pool
	canceled atomic.Bool         // cut
}

// SetAddress says where a member is reached and how long ago it started last. What was opened to where or what it was
// before leads nowhere: a machine that vanished and came back says nothing of its old connections.
func (ls *Pools) SetAddress(member int, address string, age time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.pool(member).place(address, time.Now().Add(-age))
}

// Remove ends the idle connections of a member; its place may be another's from now on.
func (ls *Pools) Remove(member int) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.pool(member).place("", time.Time{})
	ls.pools[member] = &pool{} // links still at work keep the old one, which serves none
}

func (p *pool) place(address string, started time.Time) {
	p.address, p.started = address, started
	p.idle = slices.DeleteFunc(p.idle, func(l *memberConn) bool {
		if p.serves(l) {
			return false
		}
		l.assign(nil)
		return true
	})
}

func (ls *Pools) pool(member int) *pool {
	for len(ls.pools) <= member {
		ls.pools = append(ls.pools, &pool{})
	}
	return ls.pools[member]
}

func (p *pool) serves(l *memberConn) bool {
	return p.address == l.address && !l.opened.Before(p.started)
}

// Send gives an attempt to the connection that was idle last, or to a new one.
func (ls *Pools) Send(member int, s *front.Attempt) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.send(ls.pool(member), s)
}

// send is called with the lock held.
func (ls *Pools) send(p *pool, s *front.Attempt) {
	if n := len(p.idle); n > 0 {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		l.assign(s)
		return
	}
	go ls.serve(&memberConn{ls: ls, pool: p, address: p.address, job: make(chan *front.Attempt, 1)}, s)
}

// assign hands a connection that was taken from its pool what it is to do next: nil is to end. It never blocks.
func (l *memberConn) assign(s *front.Attempt) {
	l.job <- s
	l.conn.SetReadDeadline(tcpconn.Past)
}

// EvictIdle ends the connection that has been idle longest in some pool.
func (ls *Pools) EvictIdle() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, p := range ls.pools {
		if len(p.idle) > 0 {
			p.idle[0].assign(nil)
			p.idle = p.idle[1:]
			return true
		}
	}
	return false
}

// serve is the goroutine of a connection, from its first attempt to its end.
func (ls *Pools) serve(l *memberConn, s *front.Attempt) {
	if !ls.awaitDescriptor() {
		ls.failed(s, front.StageLocal, errors.New("no descriptor is free"))
		return
	}
	defer ls.limiter.ReleaseServer()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in a member's connection", "member", l.address, "panic", p, "trace", string(debug.Stack()))
			if s != nil {
				ls.failed(s, front.StageRead, fmt.Errorf("panic: %v", p))
			}
		}
		if l.conn != nil {
			l.conn.Close()
		}
		if l.r != nil {
			l.r.Close()
		}
		ls.bodies.Reserve(-l.reserved)
	}()
	if err := l.connect(); err != nil {
		ls.connectFailed(s, err)
		return
	}
	for s != nil {
		if !l.submit(s) {
			return
		}
		s = l.awaitJob()
	}
}

// disturbed says whether something came in on a connection that nobody has asked anything: what a member says there would be
// taken for the answer of the next attempt, and of one written behind its close nobody knows whether it ran.
func (l *memberConn) disturbed() bool { return l.r.MessageStarted() || tcpconn.Peek(l.conn) >= 0 }

// readMessage adds the next message to an answer; done means that it has ended.
func (l *memberConn) readMessage(a *pgwire.QueryResult) (done bool, err error) {
	typ, body, err := l.r.Next()
	if err != nil {
		return false, err
	}
	if typ != 'D' || len(body) <= bodyKept {
		return a.AddMessage(typ, body)
	}
	kept, err := a.AddRowInPlace(body)
	if kept {
		_, reserved := l.r.Detach()
		l.reserved += reserved
	}
	return false, err
}

func (ls *Pools) failed(s *front.Attempt, reach front.FailureStage, err error) {
	ls.post(&front.AttemptFinished{Attempt: s, Err: &front.ConnectionError{Stage: reach, Err: err}})
}

// cancel ends the attempt on its way without waiting: the member sees the end at once, the goroutine wakes
// and closes.
func (l *memberConn) cancel() {
	l.canceled.Store(true)
	l.conn.CloseWrite()
	l.conn.SetDeadline(tcpconn.Past)
}

// submit sends one and brings its answer; false when the connection cannot be used again.
func (l *memberConn) submit(s *front.Attempt) bool {
	if !s.Begin(l.cancel) {
		l.release()
		return true
	}
	message := s.Message()
	if n, err := l.conn.Write(message); err != nil {
		reach := front.StageWrite
		if n == len(message) {
			reach = front.StageRead
		}
		l.conn.Close()
		l.ls.failed(s, reach, err)
		return false
	}
	e := &front.AttemptFinished{Attempt: s}
	e.Answer.AnyStatement, e.Answer.MaxBytes = l.ls.any, l.ls.longest
	l.r.CheckMessage = e.Answer.CheckMessage
	for {
		done, err := l.readMessage(&e.Answer)
		switch {
		case tcpconn.IsTimeout(err) && l.goOn():
			continue
		case done && err == nil && (l.r.MessageStarted() || e.Answer.InTransaction): // more than was asked for must not answer the next attempt
		case done && err == nil:
			e.Release = l.handOver()
			l.r.CheckMessage = nil // which would keep the answer for as long as the connection is idle
			l.release()            // before its answer is told, so that the next attempt finds it
			l.ls.post(e)
			return true
		case err == nil:
			continue
		case tooMuch(err):
			e.Answer = pgwire.QueryResult{AnyStatement: true, TooLong: true, ErrorMessage: err.Error()}
		case pgwire.IsProtocolError(err) || errors.Is(err, pgwire.ErrBufferLimit):
			e.Err, e.Answer = &front.ConnectionError{Stage: front.StageDecode, Err: err}, pgwire.QueryResult{}
		case e.Answer.Code == "":
			e.Err, e.Answer = &front.ConnectionError{Stage: front.StageRead, Err: err}, pgwire.QueryResult{}
		}
		l.conn.Close() // before it is told: what takes a failed one's place must find this one ended
		l.ls.post(e)   // a fatal error ends its connection without more
		return false
	}
}

// handOver lets the room that a long message took stand for its answer until the core has passed that on; nil for a short one.
func (l *memberConn) handOver() (release func()) {
	body, reserved := l.r.Detach()
	if reserved == 0 {
		l.r.Reuse(body)
	}
	reserved += l.reserved
	l.reserved = 0
	if reserved == 0 {
		return nil
	}
	bodies := l.ls.bodies
	return func() { bodies.Reserve(-reserved) }
}

// goOn clears a deadline that was meant for the wait before; false where the attempt was canceled.
func (l *memberConn) goOn() bool {
	l.conn.SetReadDeadline(time.Time{})
	return !l.canceled.Load() // looked at after the clearing: a cut after it sets the deadline anew
}

// release puts the connection on its pool's list, unless its member has moved.
func (l *memberConn) release() {
	l.conn.SetReadDeadline(time.Now().Add(l.ls.idle))
	l.ls.mu.Lock()
	defer l.ls.mu.Unlock()
	if p := l.pool; p.serves(l) {
		p.idle = append(p.idle, l)
	} else {
		l.assign(nil)
	}
}

// awaitJob waits for the next attempt; nil when the connection is to end. Whatever the member says meanwhile
// ends it, and another connection takes an attempt that came at the same time: nothing of it was written.
func (l *memberConn) awaitJob() *front.Attempt {
	l.r.WaitForInput()
	if l.removeIdle() {
		return nil
	}
	s := <-l.job
	if s != nil && l.disturbed() {
		l.conn.Close()
		l.ls.mu.Lock()
		defer l.ls.mu.Unlock()
		l.ls.send(l.pool, s)
		return nil
	}
	l.conn.SetReadDeadline(time.Time{})
	return s
}

// removeIdle takes the connection off its pool's list; false where it was taken before, and a job is on its way.
func (l *memberConn) removeIdle() bool {
	l.ls.mu.Lock()
	defer l.ls.mu.Unlock()
	p := l.pool
	i := slices.Index(p.idle, l)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

func tooMuch(err error) bool {
	var t *pgwire.ResultTooLargeError
	return errors.As(err, &t)
}
