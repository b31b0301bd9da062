package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dapplerouter/routing"
)

// Watcher brings the list to the core: unasked, or on the module's word where the site wants to be asked.
type Watcher struct {
	post   func(Update)
	ctx    context.Context
	spread func() float64

	mu      sync.Mutex
	client  *Client // of the newest address
	told    bool    // it has brought a list
	follows bool
	watches bool
	end     func()      // ends what runs for it, and returns when it has
	earlier []followed  // addresses of before, oldest first, until a later one has brought its list
	lean    func() List // what others who follow the list know; nil where this front follows by itself
	turn    int
	passing []Update // to the core, in order
}

// Update is an endpoint list, or changes of one, or that it could not be read.
type Update struct {
	Kind routing.UpdateKind
	List List // empty where Kind says that the update failed
}

// followed is an address at which the list is followed.
type followed struct {
	client *Client
	end    func()
}

// maxEarlier bounds how many addresses of before are followed; each takes two descriptors at most.
const maxEarlier = 4

// NewWatcher makes a Watcher that lasts as long as ctx; spread keeps fronts from asking all at once.
func NewWatcher(ctx context.Context, client *Client, post func(Update), spread func() float64) *Watcher {
	return &Watcher{client: client, post: post, ctx: ctx, spread: spread, end: func() {}}
}

// Follow brings the whole list and then every change, for a site that does not wait to be asked.
func (d *Watcher) Follow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follows = true
	d.begin()
}

// Watch opens a watch or ends it.
func (d *Watcher) Watch(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches = on
	if on && d.lean != nil {
		d.pass(listed(d.lean()))
	}
	d.begin()
}

// SetAddress goes on with the list at another address. What has changed since the last word of the old one is in the whole list, which
// comes first; until then the old one is followed, and nothing of it comes afterwards. Configurations may come faster than the
// service answers: the same address is not asked anew before it has answered, and of too many the one last begun makes way, so that
// the others come to an end.
func (d *Watcher) SetAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.client.Address() && !d.told && d.lean == nil && (d.follows || d.watches) {
		return
	}
	if len(d.earlier) < maxEarlier {
		d.earlier = append(d.earlier, followed{d.client, d.end})
	} else {
		go d.end()
	}
	d.end = func() {}
	d.client, d.told = d.client.WithAddress(address), false
	d.begin()
}

// endEarlier ends the first addresses of before.
func (d *Watcher) endEarlier(many int) {
	for _, f := range d.earlier[:many] {
		go f.end()
	}
	d.earlier = d.earlier[many:]
}

// begin ends what runs and starts what is wanted; it does not wait for either.
func (d *Watcher) begin() {
	end, client := d.end, d.client
	d.end = func() {}
	var run func(ctx context.Context)
	switch {
	case d.lean != nil: // others follow it
		go end()
		d.endEarlier(len(d.earlier))
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
		d.endEarlier(len(d.earlier))
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	done := make(chan struct{})
	d.end = func() { cancel(); <-done }
	go func() {
		defer close(done)
		end()
		run(ctx)
		client.CloseIdleConnections()
	}()
}

// Fetch asks for the whole list once.
func (d *Watcher) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lean != nil {
		d.pass(listed(d.lean()))
		return
	}
	d.fetch(d.client)
}

// UseSharedList ends this front's own watch: others follow the list, and from gives all that they know. What they know must not be
// older than what this front has heard; ok is false then.
func (d *Watcher) UseSharedList(from func() List) (ok bool) {
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

// UsesSharedList tells whether others follow the list for this front.
func (d *Watcher) UsesSharedList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lean != nil
}

// SharedListChanged passes on what others heard of the list.
func (d *Watcher) SharedListChanged(l List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lean != nil && (d.follows || d.watches) {
		d.pass(listed(l))
	}
}

// WatchDirectly goes back to this front's own watch, in a moment that differs from front to front.
func (d *Watcher) WatchDirectly(within time.Duration) {
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
		d.client.AdvanceIndex(d.lean().Index)
		d.lean = nil
		d.begin()
	})
}

func (d *Watcher) fetch(client *Client) {
	go func() {
		l, err := client.FetchSnapshot(d.ctx)
		if err != nil {
			slog.Warn("discovery: the whole list did not come", "why", err)
			d.passFrom(client, failed)
			return
		}
		d.passFrom(client, listed(l))
	}()
}

// failed is what the core hears where the list did not come.
var failed = Update{Kind: routing.UpdateFailed}

func listed(l List) Update {
	if l.Snapshot {
		return Update{Kind: routing.Snapshot, List: l}
	}
	return Update{Kind: routing.Delta, List: l}
}

func (d *Watcher) from(client *Client) func(List) {
	return func(l List) { d.passFrom(client, listed(l)) }
}

// passFrom passes on what came from an address, unless a later one has brought its list: that says all.
func (d *Watcher) passFrom(client *Client, e Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client == client {
		if e.Kind != routing.UpdateFailed {
			d.told = true
			d.endEarlier(len(d.earlier))
		}
		d.pass(e)
		return
	}
	if e.Kind == routing.UpdateFailed { // of an address of before
		return
	}
	if i := slices.IndexFunc(d.earlier, func(f followed) bool { return f.client == client }); i >= 0 {
		d.endEarlier(i)
		d.pass(e)
	}
}

// pass tells the core in the order of the calls, without waiting for it: who calls may be the core itself, or hold the lock
// that it wants.
func (d *Watcher) pass(e Update) {
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
