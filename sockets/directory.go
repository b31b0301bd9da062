package sockets

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/port"
)

// Directory brings the list to the core: unasked, or on the module's word where the site wants to be asked.
type Directory struct {
	post   func(front.Event)
	ctx    context.Context
	spread func() float64

	mu      sync.Mutex
	client  *discovery.Client
	follows bool
	watches bool
	end     func()                // ends what runs, and returns when it has
	lean    func() discovery.List // what others who follow the list know; nil where this front follows by itself
	turn    int
	passing []front.Listed // to the core, in order
}

// NewDirectory makes a Directory that lasts as long as ctx; spread keeps fronts from asking all at once.
func NewDirectory(ctx context.Context, client *discovery.Client, post func(front.Event), spread func() float64) *Directory {
	return &Directory{client: client, post: post, ctx: ctx, spread: spread, end: func() {}}
}

// Follow brings the whole list and then every change, for a site that does not wait to be asked.
func (d *Directory) Follow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follows = true
	d.begin()
}

// Watch opens a watch or ends it.
func (d *Directory) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches = on
	if on && d.lean != nil {
		d.pass(listed(d.lean()))
	}
	d.begin()
}

// Move goes on with the list at another address. What has changed since the last word of the old one is in
// the whole list, which comes first; nothing of the old one comes after it.
func (d *Directory) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client = d.client.Moved(address)
	d.begin()
}

// begin ends what runs and starts what is wanted; it does not wait for either.
func (d *Directory) begin() {
	end, client := d.end, d.client
	d.end = func() {}
	var run func(ctx context.Context)
	switch {
	case d.lean != nil: // others follow it
		go end()
		return
	case d.follows:
		run = func(ctx context.Context) {
			client.Follow(ctx, d.from(client), func() { d.passFrom(client, failed) }, d.spread)
		}
	case d.watches:
		run = func(ctx context.Context) {
			if err := client.Watch(ctx, d.from(client)); ctx.Err() == nil {
				slog.Warn("discovery: the watch ended", "why", err)
				d.passFrom(client, failed)
			}
		}
	default:
		go end()
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	done := make(chan struct{})
	d.end = func() { cancel(); <-done }
	go func() {
		defer close(done)
		end()
		run(ctx)
		client.Rest()
	}()
}

// Fetch asks for the whole list once.
func (d *Directory) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lean != nil {
		d.pass(listed(d.lean()))
		return
	}
	d.fetch(d.client)
}

// Lean ends this front's own watch: others follow the list, and from gives all that they know. What they know must not be
// older than what this front has heard; ok is false then.
func (d *Directory) Lean(from func() discovery.List) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn++
	whole := from()
	if d.lean != nil {
		return true
	}
	if whole.Index < d.client.Index() {
		return false
	}
	d.lean = from
	d.begin()
	if d.follows || d.watches {
		d.pass(listed(whole))
	}
	return true
}

// Leaning tells whether others follow the list for this front.
func (d *Directory) Leaning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lean != nil
}

// Handed passes on what others heard of the list.
func (d *Directory) Handed(l discovery.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lean != nil && (d.follows || d.watches) {
		d.pass(listed(l))
	}
}

// Alone goes back to this front's own watch, in a moment that differs from front to front.
func (d *Directory) Alone(within time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lean == nil {
		return
	}
	d.turn++
	turn := d.turn
	time.AfterFunc(time.Duration(d.spread()*float64(within)), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.lean == nil || d.turn != turn || d.ctx.Err() != nil {
			return
		}
		d.client.Seen(d.lean().Index)
		d.lean = nil
		d.begin()
	})
}

func (d *Directory) fetch(client *discovery.Client) {
	go func() {
		l, err := client.Whole(d.ctx)
		if err != nil {
			slog.Warn("discovery: the whole list did not come", "why", err)
			d.passFrom(client, failed)
			return
		}
		d.passFrom(client, listed(l))
	}()
}

// failed is what the core hears where the list did not come.
var failed = front.Listed{Kind: port.Failed}

func listed(l discovery.List) front.Listed {
	if l.Whole {
		return front.Listed{Kind: port.Whole, List: l}
	}
	return front.Listed{Kind: port.Changes, List: l}
}

func (d *Directory) from(client *discovery.Client) func(discovery.List) {
	return func(l discovery.List) { d.passFrom(client, listed(l)) }
}

// passFrom passes on what came from an address, unless the list is at another by now: that one's whole list says all.
func (d *Directory) passFrom(client *discovery.Client, e front.Listed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client == client {
		d.pass(e)
	}
}

// pass tells the core in the order of the calls, without waiting for it: who calls may be the core itself, or hold the lock
// that it wants.
func (d *Directory) pass(e front.Listed) {
	d.passing = append(d.passing, e)
	if len(d.passing) > 1 {
		return // somebody is at it
	}
	go func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for len(d.passing) > 0 {
			next := d.passing[0]
			d.mu.Unlock()
			d.post(next)
			d.mu.Lock()
			d.passing = d.passing[1:]
		}
	}()
}
