// Package link carries the frames of a gateway between two sites. It handles sockets, TLS, timers and reconnects. Package gateway
// decides what is sent, what the outcome of a request is and when the link is down. Package framing provides the encoding
// of frames and the keys.
//
// A Link owns its endpoint, its connections and its goroutines. Run starts the goroutines; Close ends them and waits for them. One
// mutex guards the endpoint and the tables of requests. No operation that may block is called while it is held. The front is called
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

// Options configure a Link: the two sites, how they connect, the front that the link belongs to, and the settings of the protocol.
// Exactly one of Address and Listen is set.
type Options struct {
	LocalSite, PeerSite string      // names of the sites
	Address             string      // address of the peer; "" if the peer dials
	Listen              string      // address on which this instance listens for the peer; "" if this instance dials
	TLS                 *tls.Config // nil for no TLS
	Settings            gateway.Settings
	Epoch               uint64 // identifies this start of the instance; not 0
	Clock               front.Clock
	Post                func(front.Event) // passes an event to the front; may block
	Groups              []int64           // groups whose servers are at the peer's site
	ParseStatement      func(body []byte) (pgwire.Statement, error)
}

// Link is one instance's end of the link to its peer.
type Link struct {
	opts     Options
	listener net.Listener // nil if this instance dials

	mu               sync.Mutex // guards the fields up to changed
	endpoint         *gateway.Endpoint
	conn             net.Conn                      // the current connection: the one whose hello was accepted last; nil for none
	connectionNumber uint64                        // of the connection that was dialed last
	attempts         map[attemptKey]*front.Attempt // forwarded attempts without an outcome
	finished         []*front.AttemptFinished      // to be passed to the front by notifyFront
	executions       map[uint64]*front.Request     // the peer's requests that are executing here, by number of the execution; nil until the request is parsed
	notifiedState    gateway.State                 // the state of which the front was notified last
	changed          *sync.Cond                    // signals that there may be frames to write or something to notify the front of

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a Link. It opens the listener if Listen is set; all else waits for Run.
func New(o Options) (*Link, error) {
	l := &Link{opts: o, endpoint: gateway.New(o.Settings, o.Epoch), attempts: map[attemptKey]*front.Attempt{},
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

// Addr returns the address of the listener. It must not be called if this instance dials.
func (l *Link) Addr() net.Addr { return l.listener.Addr() }

// Run starts the goroutines of the link and returns. Close ends them.
func (l *Link) Run() {
	l.goroutines.Go(l.notifyFront)
	l.goroutines.Go(l.runTimer)
	if l.listener != nil {
		l.goroutines.Go(l.accept)
	} else {
		l.goroutines.Go(l.dial)
	}
}

// Close ends the link and waits for its goroutines. Requests in flight may get no outcome.
func (l *Link) Close() {
	l.cancel()
	if l.listener != nil {
		_ = l.listener.Close() // an error cannot be handled
	}
	l.mu.Lock()
	l.dropConnection()
	l.changed.Broadcast()
	l.mu.Unlock()
	l.goroutines.Wait()
}

// dropConnection closes the current connection, which makes its reader return. The caller must hold the mutex.
func (l *Link) dropConnection() {
	if l.conn != nil {
		_ = l.conn.Close() // the reader gets an error
	}
}

// Up reports whether the link is up.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endpoint.State() == gateway.Up
}

// Counters returns the endpoint's counters and the state of the link. ours is the number of forwarded requests in flight, peers the
// number of the peer's requests that are executing here.
func (l *Link) Counters() (c gateway.Counters, state gateway.State, ours, peers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ours, peers = l.endpoint.InFlight()
	return l.endpoint.Counters, l.endpoint.State(), ours, peers
}

// runTimer calls the endpoint's Tick regularly and closes the connection on a peer timeout. It runs until Close.
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
