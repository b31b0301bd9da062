package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dapplerouter/discovery"
	"dapplerouter/framing"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
	"dapplerouter/port"
)

// Options are what a link is made of.
type Options struct {
	Here, Peer string // names of the sites
	Address    string // where the peer listens; "" where it dials us
	Listen     string // where we listen for it; "" where we dial
	TLS        *tls.Config
	Settings   gateway.Settings
	Epoch      uint64
	Clock      front.Clock
	Post       func(front.Event)
	Groups     []int64 // that live at the peer's site
	Parse      func(body []byte) (pgwire.Statement, error)
}

// greeting is how long a peer may take for its first bytes, its keys and its Hello together.
const greeting = 3 * time.Second

// Link is one instance's end of the link to its peer.
type Link struct {
	o        Options
	listener net.Listener

	mu     sync.Mutex
	side   *gateway.Side
	conn   net.Conn // the one that was greeted last
	number uint64
	subs   map[uint64]*front.Submission // by txn
	ended  []*front.Ended               // to be told
	here   map[uint64]*front.Arrival    // the peer's crossings that run here
	told   gateway.State                // that the front was told
	work   *sync.Cond                   // for the writer and the teller

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

// New makes a Link and, where it listens, begins to.
func New(o Options) (*Link, error) {
	l := &Link{o: o, side: gateway.New(o.Settings, o.Epoch), subs: map[uint64]*front.Submission{},
		here: map[uint64]*front.Arrival{}}
	l.work = sync.NewCond(&l.mu)
	l.ctx, l.stop = context.WithCancel(context.Background())
	if o.Listen != "" {
		var err error
		if l.listener, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Addr is where it listens.
func (l *Link) Addr() net.Addr { return l.listener.Addr() }

// Run serves the link until Close.
func (l *Link) Run() {
	l.done.Go(l.tell)
	l.done.Go(l.tick)
	if l.listener != nil {
		l.done.Go(l.accept)
	} else {
		l.done.Go(l.dial)
	}
}

// Close ends the link; what is in hand ends as the core has it.
func (l *Link) Close() {
	l.stop()
	if l.listener != nil {
		l.listener.Close()
	}
	l.mu.Lock()
	if l.conn != nil {
		l.conn.Close()
	}
	l.work.Broadcast()
	l.mu.Unlock()
	l.done.Wait()
}

// Up tells whether the link is up.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.side.State() == gateway.Up
}

// Counts are for the log, with what is in hand: ours, and the peer's here.
func (l *Link) Counts() (c gateway.Counts, state gateway.State, ours, theirs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ours, theirs = l.side.InHand()
	return l.side.Counts, l.side.State(), ours, theirs
}

// --- Connections.

func (l *Link) dial() {
	wait := backoff.NewExponentialBackOff() // spread by half each way, so that two sites don't dial in step
	wait.InitialInterval, wait.MaxInterval = l.o.Settings.Heartbeat/4, 4*l.o.Settings.Heartbeat
	for l.ctx.Err() == nil {
		began := time.Now()
		d := net.Dialer{Timeout: greeting}
		c, err := d.DialContext(l.ctx, "tcp", l.o.Address)
		if err == nil {
			err = l.serve(c, func() {})
		}
		if l.ctx.Err() != nil {
			return
		}
		slog.Warn("link: no connection", "peer", l.o.Peer, "why", err)
		if time.Since(began) > 4*wait.MaxInterval { // it had been up
			wait.Reset()
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-l.ctx.Done():
		}
	}
}

func (l *Link) accept() {
	framing.Door(l.ctx, l.listener, 8, &l.done, func(c net.Conn, greeted func()) {
		if err := l.serve(c, greeted); err != nil && l.ctx.Err() == nil {
			slog.Warn("link: a connection ended", "peer", l.o.Peer, "from", c.RemoteAddr().String(), "why", err)
		}
	})
}

// serve brings a connection through the greeting and reads it to its end.
func (l *Link) serve(c net.Conn, greeted func()) (err error) {
	defer c.Close()
	defer func() { l.leave(c) }() // whatever ended it, a failed greeting too
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
			slog.Error("panic in the link", "panic", p, "trace", string(debug.Stack()))
		}
	}()
	c.SetDeadline(time.Now().Add(greeting))
	stop := context.AfterFunc(l.ctx, func() { c.Close() })
	defer stop()
	if l.o.TLS != nil {
		var t *tls.Conn
		if l.listener != nil {
			t = tls.Server(c, l.o.TLS)
		} else {
			t = tls.Client(c, l.o.TLS)
		}
		if err := t.Handshake(); err != nil {
			return fmt.Errorf("the peer's key: %w", err)
		}
		c = t
	}
	k := NewCodec(c)
	if err := k.Greet(); err != nil {
		return err
	}
	number, err := l.greet(c, k)
	if err != nil {
		return err
	}
	greeted()
	c.SetDeadline(time.Time{})
	l.done.Go(func() { l.write(c, k) })
	err = l.read(c, k)
	slog.Warn("link: down", "peer", l.o.Peer, "number", number, "why", err)
	return err
}

// leave takes the end of a connection, where it was the one in use.
func (l *Link) leave(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
		l.side.Lost(l.o.Clock.Now())
		l.carryOut()
	}
	l.work.Broadcast()
}

// greet exchanges Hellos: the one who dialled speaks first and numbers the connection.
func (l *Link) greet(c net.Conn, k *Codec) (number uint64, err error) {
	say := func(n uint64) error {
		l.mu.Lock()
		h := l.side.Hello(l.o.Here, n)
		l.mu.Unlock()
		if err := k.Append(&h); err != nil {
			return err
		}
		return k.Flush()
	}
	var h gateway.Frame
	if l.listener == nil {
		l.mu.Lock()
		l.number++
		number = l.number
		l.mu.Unlock()
		if err := say(number); err != nil {
			return 0, err
		}
	}
	if err := k.Read(&h); err != nil {
		return 0, err
	}
	switch {
	case h.Kind == gateway.Refuse:
		return 0, fmt.Errorf("refused by the peer: %.200s", h.Reason)
	case h.Site != l.o.Peer:
		l.refuse(k, fmt.Sprintf("this is %s, whose peer is %s", l.o.Here, l.o.Peer))
		return 0, fmt.Errorf("the peer calls itself %.40q, and %q was expected", h.Site, l.o.Peer)
	}
	if l.listener != nil {
		number = h.Number
	}
	l.mu.Lock()
	err = l.side.Greet(l.o.Clock.Now(), &h, number, l.listener == nil)
	var old net.Conn
	if err == nil {
		old, l.conn = l.conn, c // nothing of an older one is taken from here on: see take
		l.carryOut()
	}
	l.mu.Unlock()
	if err != nil {
		l.refuse(k, err.Error())
		return 0, err
	}
	if old != nil {
		old.Close()
	}
	if l.listener != nil {
		if err := say(number); err != nil {
			return 0, err
		}
	}
	slog.Info("link: up", "peer", l.o.Peer, "number", number, "epoch", h.Epoch)
	return number, nil
}

func (l *Link) refuse(k *Codec, why string) {
	k.Append(&gateway.Frame{Kind: gateway.Refuse, Reason: why})
	k.Flush()
}

// read takes frames in until the connection ends.
func (l *Link) read(c net.Conn, k *Codec) error {
	for {
		var f gateway.Frame
		if err := k.Read(&f); err != nil {
			return err
		}
		l.mu.Lock()
		if l.conn != c { // a newer one was greeted: what comes here is void
			l.mu.Unlock()
			return errors.New("a newer connection took its place")
		}
		if err := l.side.Take(l.o.Clock.Now(), &f); err != nil {
			l.mu.Unlock()
			return fmt.Errorf("the peer makes no sense: %w", err)
		}
		starts := l.carryOut()
		l.mu.Unlock()
		for _, s := range starts {
			l.begin(s)
		}
	}
}

// write sends what the core wants sent, many frames in one write, until its connection is the present one no more.
func (l *Link) write(c net.Conn, k *Codec) {
	for {
		l.mu.Lock()
		for {
			if l.conn != c || l.ctx.Err() != nil {
				l.mu.Unlock()
				return
			}
			if l.gather(k); k.Buffered() > 0 {
				break
			}
			l.work.Wait()
		}
		l.mu.Unlock()
		c.SetWriteDeadline(time.Now().Add(l.o.Settings.Silence))
		if err := k.Flush(); err != nil {
			c.Close() // the reader ends the link
			return
		}
	}
}

const gathered = 64 << 10 // bytes in one write, about

// gather is called with the lock held.
func (l *Link) gather(k *Codec) {
	for k.Buffered() < gathered {
		f, ok := l.side.Frame(l.o.Clock.Now())
		if !ok {
			break
		}
		if f.Kind == gateway.Cross {
			s := l.subs[f.ID]
			if s == nil || !s.Begin(func() { l.cut(f.ID, f.Try) }) {
				l.side.Uncross(&f) // the front gave it up before: nothing of it goes out
				delete(l.subs, f.ID)
				continue
			}
		}
		if err := k.Append(&f); err != nil {
			slog.Error("link: a frame could not be written", "kind", f.Kind, "why", err)
		}
	}
	l.carryOut()
}

// cut is the front's word that nobody waits for a submission any more. It never blocks.
func (l *Link) cut(id uint64, try uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.side.GiveUp(id, try)
	delete(l.subs, id)
	l.work.Broadcast()
}

func (l *Link) tick() {
	t := time.NewTicker(l.o.Settings.Heartbeat / 4)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.ctx.Done():
			return
		}
		l.mu.Lock()
		if err := l.side.Tick(l.o.Clock.Now()); err != nil && l.conn != nil {
			slog.Warn("link: silent", "peer", l.o.Peer, "why", err)
			l.conn.Close()
			l.conn = nil
		}
		l.carryOut()
		l.work.Broadcast()
		l.mu.Unlock()
	}
}

// --- Our crossings.

const headed = 5 // bytes before a message's body

// Send takes a submission to the far site. It never blocks.
func (l *Link) Send(s *front.Submission) {
	w, probe := s.Way()
	l.mu.Lock()
	defer l.mu.Unlock()
	if probe {
		l.ended = append(l.ended, l.probed(s))
		l.work.Broadcast()
		return
	}
	x := gateway.Crossing{ID: w.ID, Try: uint32(w.Try), Group: w.Group, Until: w.Until, Grant: uint32(w.Grant),
		Write: w.Write, After: w.After, Message: s.Message()[headed:]}
	l.subs[x.ID] = s
	l.side.Cross(l.o.Clock.Now(), x)
	l.carryOut()
	l.work.Broadcast()
}

// probed answers a probe of the far site by how the link stands: for its groups the site is their primary.
func (l *Link) probed(s *front.Submission) *front.Ended {
	if l.side.State() != gateway.Up {
		return &front.Ended{S: s, Failure: &front.Failure{Reach: front.Unconnected, Err: errDown}}
	}
	return &front.Ended{S: s, Answer: pgwire.OneValue([]byte("x1=1"))}
}

var errDown = errors.New("the link is down")

// carryOut takes the core's wishes; it is called with the lock held. What is to run here is given back.
func (l *Link) carryOut() []gateway.Start {
	for _, e := range l.side.Ends() {
		s := l.subs[e.ID]
		if s == nil {
			continue
		}
		delete(l.subs, e.ID)
		l.ended = append(l.ended, ending(s, &e))
		l.work.Broadcast()
	}
	return l.side.Starts()
}

// ending puts the end of a crossing into a front's words.
func ending(s *front.Submission, e *gateway.End) *front.Ended {
	switch f := e.Result; {
	case f == nil && e.Full:
		return &front.Ended{S: s, Answer: pgwire.Answer{Code: pgwire.TooManyConnections}}
	case f == nil && e.Never:
		return &front.Ended{S: s, Failure: &front.Failure{Reach: front.Unwritten, Err: errDown}}
	case f == nil:
		return &front.Ended{S: s, Failure: &front.Failure{Reach: front.Written, Err: errors.New("the link broke, and what became of it is not known")}}
	case f.Word == gateway.Served:
		a := pgwire.Answer{Rows: f.Data, Whole: true, Applied: f.Place, HasApplied: f.Place != 0}
		if f.Role == 1 {
			a.Role = "primary"
		}
		return &front.Ended{S: s, Answer: a, Crossed: true, Age: f.Age + e.Took, Aged: f.Aged}
	case f.Word == gateway.Declined:
		return &front.Ended{S: s, Answer: pgwire.Answer{Code: pgwire.TooManyConnections}}
	case f.Word == gateway.Senseless:
		return &front.Ended{S: s, Answer: pgwire.Answer{Code: f.Code, Message: f.Reason, Any: true}}
	}
	return &front.Ended{S: s, Answer: pgwire.Answer{Code: "XX000"}}
}

// tell passes endings to the front; it alone may block there.
func (l *Link) tell() {
	for {
		l.mu.Lock()
		for len(l.ended) == 0 && l.told == l.side.State() {
			if l.ctx.Err() != nil {
				l.mu.Unlock()
				return
			}
			l.work.Wait()
		}
		all := l.ended
		l.ended = nil
		state := l.side.State()
		turned := state != l.told
		l.told = state
		l.mu.Unlock()
		if turned {
			l.o.Post(front.Listed{Kind: port.Changes, List: discovery.List{Entries: Members(l.o.Peer, l.o.Groups, state)}})
		}
		for _, e := range all {
			l.o.Post(e)
		}
	}
}

// --- The peer's crossings.

// runner is the client of a crossing of the peer, for our front.
type runner struct {
	l   *Link
	run uint64
}

// runs notes the arrival of a run, nil for none any more, and gives what was noted; with the lock held.
func (l *Link) runs(run uint64, a *front.Arrival) (before *front.Arrival) {
	before = l.here[run]
	if a == nil {
		delete(l.here, run)
	} else {
		l.here[run] = a
	}
	return before
}

// begin starts a run, or calls one off.
func (l *Link) begin(s gateway.Start) {
	if s.Abort {
		l.mu.Lock()
		a := l.runs(s.Run, nil)
		l.mu.Unlock()
		if a != nil {
			l.o.Post(a.Leave())
		}
		return
	}
	st, err := l.o.Parse(s.Data)
	r := &runner{l, s.Run}
	if err != nil || st.Empty {
		code, what := pgwire.SyntaxError, "an empty statement"
		var m *pgwire.Malformed
		if errors.As(err, &m) {
			code, what = m.Code, m.What
		} else if err != nil {
			what = err.Error()
		}
		r.Answer(front.Response{Status: front.Senseless, Code: code, Reason: what})
		return
	}
	st.Wait, st.After = min(st.Wait, s.Wait), max(st.After, s.After)
	a := front.NewArrival(r, st, l.o.Clock.Now())
	a.Most = int(s.Grant)
	l.mu.Lock()
	l.runs(s.Run, a)
	l.mu.Unlock()
	l.o.Post(a)
}

// Answer takes our front's final answer on the core's goroutine; it never blocks.
func (r *runner) Answer(f front.Response) {
	l := r.l
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs(r.run, nil)
	l.side.Concluded(l.o.Clock.Now(), r.run, frame(&f))
	l.work.Broadcast()
}

// frame puts a final answer into a frame.
func frame(f *front.Response) gateway.Frame {
	switch f.Status {
	case front.Served:
		g := gateway.Frame{Word: gateway.Served, Data: f.Rows, Place: f.Place, Age: f.Age, Aged: f.Aged}
		if f.Primary {
			g.Role = 1
		}
		if len(g.Data) > gateway.LongestData { // it ran; the value does not fit the link
			return gateway.Frame{Word: gateway.MayHaveRun, Code: pgwire.TooLarge}
		}
		return g
	case front.Declined:
		if f.MayRun {
			return gateway.Frame{Word: gateway.MayHaveRun, Code: pgwire.TooManyConnections}
		}
		return gateway.Frame{Word: gateway.Declined, Come: f.Come}
	case front.Senseless:
		return gateway.Frame{Word: gateway.Senseless, Code: f.Code, Reason: f.Reason}
	}
	return gateway.Frame{Word: gateway.MayHaveRun, Code: pgwire.RolledBack}
}
