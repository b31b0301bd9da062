package link

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
)

// Options are what a link is made of.
type Options struct {
	LocalSite, PeerSite string // names of the sites
	Address             string // where the peer listens; "" where it dials us
	Listen              string // where we listen for it; "" where we dial
	TLS                 *tls.Config
	Settings            gateway.Settings
	Epoch               uint64
	Clock               front.Clock
	Post                func(front.Event)
	Groups              []int64 // that live at the peer's site
	ParseStatement      func(body []byte) (pgwire.Statement, error)
}

// Link is one instance's end of the link to its peer.
type Link struct {
	o        Options
	listener net.Listener

	mu     sync.Mutex
	side   *gateway.Endpoint
	conn   net.Conn // the one that was greeted last
	number uint64
	subs   map[uint64]*front.Attempt // by request
	ended  []*front.AttemptFinished  // to be told
	here   map[uint64]*front.Request // the peer's crossings that run here
	told   gateway.State             // that the front was told
	work   *sync.Cond                // for the writer and the teller

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

// New makes a Link and, where it listens, begins to.
func New(o Options) (*Link, error) {
	l := &Link{o: o, side: gateway.New(o.Settings, o.Epoch), subs: map[uint64]*front.Attempt{},
		here: map[uint64]*front.Request{}}
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

// Counters are for the log, with what is in hand: ours, and the peer's here.
func (l *Link) Counters() (c gateway.Counters, state gateway.State, ours, theirs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ours, theirs = l.side.InFlight()
	return l.side.Counters, l.side.State(), ours, theirs
}

func (l *Link) tick() {
	t := time.NewTicker(l.o.Settings.HeartbeatInterval / 4)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.ctx.Done():
			return
		}
		l.mu.Lock()
		if err := l.side.Tick(l.o.Clock.Now()); err != nil && l.conn != nil {
			slog.Warn("link: silent", "peer", l.o.PeerSite, "why", err)
			l.conn.Close()
			l.conn = nil
		}
		l.carryOut()
		l.work.Broadcast()
		l.mu.Unlock()
	}
}
