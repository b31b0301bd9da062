// Package link carries the frames of a gateway between two sites: sockets, TLS, heartbeats and reconnects. It decides
// nothing: what is sent, what became of it and when a link counts as down is decided by package gateway, and framing and
// keys are those of package framing.
//
// A Link owns its endpoint, its connections and its goroutines: Run starts them, Close ends and awaits them. One mutex
// guards the endpoint and the tables of requests. Nothing that may block is done while it is held; the front is called
// from notifyFront and from the goroutine that reads the connection.
package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
)

// Options are what a Link is made of.
type Options struct {
	LocalSite, PeerSite string // names of the sites
	Address             string // where the peer listens; "" where it dials us
	Listen              string // where we listen for it; "" where we dial
	TLS                 *tls.Config
	Settings            gateway.Settings
	Epoch               uint64 // of this start of the instance, not 0
	Clock               front.Clock
	Post                func(front.Event)
	Groups              []int64 // that live at the peer's site
	ParseStatement      func(body []byte) (pgwire.Statement, error)
}

// Link is one instance's end of the link to its peer.
type Link struct {
	opts     Options
	listener net.Listener // nil where we dial

	mu               sync.Mutex // guards what follows
	endpoint         *gateway.Endpoint
	conn             net.Conn // whose hello was accepted last, nil for none
	connectionNumber uint64   // of the connection dialled last
	attempts         map[uint64]*front.Attempt
	finished         []*front.AttemptFinished  // the front is to be notified of
	executions       map[uint64]*front.Request // the peer's requests that are executing here
	notifiedState    gateway.State             // that the front was notified of
	changed          *sync.Cond                // there may be something to write, or to notify the front of

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New makes a Link and, where it is to listen, opens its listener.
func New(o Options) (*Link, error) {
	l := &Link{opts: o, endpoint: gateway.New(o.Settings, o.Epoch), attempts: map[uint64]*front.Attempt{},
		executions: map[uint64]*front.Request{}}
	l.changed = sync.NewCond(&l.mu)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if o.Listen != "" {
		var err error
		if l.listener, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, fmt.Errorf("listen for peer site %s: %w", o.PeerSite, err)
		}
	}
	return l, nil
}

// Addr returns the address of the listener; there is none where we dial.
func (l *Link) Addr() net.Addr { return l.listener.Addr() }

// Run starts the link. It returns at once; Close ends it.
func (l *Link) Run() {
	l.goroutines.Go(l.notifyFront)
	l.goroutines.Go(l.runTimer)
	if l.listener != nil {
		l.goroutines.Go(l.accept)
	} else {
		l.goroutines.Go(l.dial)
	}
}

// Close ends the link and waits for its goroutines. Requests in flight get no outcome.
func (l *Link) Close() {
	l.cancel()
	if l.listener != nil {
		_ = l.listener.Close() // nothing can be done about it
	}
	l.mu.Lock()
	l.dropConnection()
	l.changed.Broadcast()
	l.mu.Unlock()
	l.goroutines.Wait()
}

// dropConnection closes the present connection; its reader then ends it. The mutex is held.
func (l *Link) dropConnection() {
	if l.conn != nil {
		_ = l.conn.Close() // the reader sees the error
	}
}

// Up reports whether the link is up.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endpoint.State() == gateway.Up
}

// Counters returns counts for the log, and how many requests are in flight: ours, and the peer's here.
func (l *Link) Counters() (c gateway.Counters, state gateway.State, ours, peers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ours, peers = l.endpoint.InFlight()
	return l.endpoint.Counters, l.endpoint.State(), ours, peers
}

// runTimer drives the timeouts and heartbeats of the endpoint.
func (l *Link) runTimer() {
	t := time.NewTicker(l.opts.Settings.HeartbeatInterval / 4)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.ctx.Done():
			return
		}
		l.mu.Lock()
		if err := l.endpoint.Tick(l.opts.Clock.Now()); err != nil && l.conn != nil {
			slog.Warn("link: peer timeout", "peer", l.opts.PeerSite, "err", err)
			l.dropConnection()
			l.conn = nil
		}
		l.collectOutcomes()
		l.changed.Broadcast()
		l.mu.Unlock()
	}
}
