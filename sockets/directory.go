package sockets

import (
	"context"
	"log/slog"
	"sync"

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
	end     func() // ends what runs, and returns when it has
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
	d.begin()
}

// Move goes on with the list at another address. What has changed since the last word of the old one is in
// the whole list, which comes first; nothing of the old one comes after it.
func (d *Directory) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client = d.client.Moved(address)
	d.begin()
	if d.watches {
		d.fetch(d.client)
	}
}

// begin ends what runs and starts what is wanted; it does not wait for either.
func (d *Directory) begin() {
	end, client := d.end, d.client
	d.end = func() {}
	var run func(ctx context.Context)
	switch {
	case d.follows:
		run = func(ctx context.Context) { client.Follow(ctx, d.tell, d.failed, d.spread) }
	case d.watches:
		run = func(ctx context.Context) {
			if err := client.Watch(ctx, d.tell); ctx.Err() == nil {
				slog.Warn("discovery: the watch ended", "why", err)
				d.failed()
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
	d.fetch(d.client)
}

func (d *Directory) fetch(client *discovery.Client) {
	go func() {
		l, err := client.Whole(d.ctx)
		if err != nil {
			slog.Warn("discovery: the whole list did not come", "why", err)
			d.failed()
			return
		}
		d.tell(l)
	}()
}

func (d *Directory) tell(l discovery.List) {
	kind := port.Changes
	if l.Whole {
		kind = port.Whole
	}
	d.post(front.Listed{Kind: kind, List: l})
}

func (d *Directory) failed() { d.post(front.Listed{Kind: port.Failed}) }
