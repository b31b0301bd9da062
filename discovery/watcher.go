package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dapplerouter/routing"
)

// Update is an endpoint list, or changes of one, or that it could not be read.
type Update struct {
	Kind routing.UpdateKind
	List List // empty where Kind says that the update failed
}

// Watcher brings the endpoint list to its receiver: by a watch of its own that is reopened whenever it ends, by single watches and
// snapshots on request, or from a list that other instances share. It implements front.EndpointSource.
//
// Invariants: the receiver gets one update at a time, in order; nothing of an address comes once a later address has brought its
// snapshot; an address has one watch at a time.
type Watcher struct {
	receive func(Update)
	ctx     context.Context // ends all goroutines: the callers of the methods below, which start them, have no context
	jitter  func() float64

	mu       sync.Mutex // guards what follows
	current  source     // of the newest address
	answered bool       // it has brought a list
	earlier  []source   // of addresses before, oldest first, until a later one has brought its list
	follows  bool       // watches are opened again by themselves
	watches  bool       // a watch is asked for
	shared   sharedList
	queue    []Update // to the receiver; the first one is being received
}

// source is an address at which the list is read.
type source struct {
	client *Client
	end    func() // ends its watch, and returns when that has ended
}

// sharedList is the list that other instances watch for this one.
type sharedList struct {
	snapshot   func() List // returns all that they know; nil where this instance watches by itself
	generation int         // how often that has changed, so that a delayed return that was overtaken does nothing
}

// maxEarlier bounds how many earlier addresses are watched; each takes two descriptors at most.
const maxEarlier = 4

// NewWatcher returns a Watcher that lasts as long as ctx. It calls receive from one goroutine at a time, which may block; jitter
// returns numbers between 0 and 1, and keeps instances from calling the service all at once.
func NewWatcher(ctx context.Context, client *Client, receive func(Update), jitter func() float64) *Watcher {
	return &Watcher{current: source{client, func() {}}, receive: receive, ctx: ctx, jitter: jitter}
}

// Follow brings a snapshot and then every change, until the Watcher's context ends.
func (w *Watcher) Follow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.follows = true
	w.restart()
}

// Watch opens a watch or ends it. One that ends by itself is reported as a failed update, and not opened again.
func (w *Watcher) Watch(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watches = on
	if on && w.shared.snapshot != nil {
		w.push(updateOf(w.shared.snapshot()))
	}
	w.restart()
}

// Fetch reads a snapshot once.
func (w *Watcher) Fetch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shared.snapshot != nil {
		w.push(updateOf(w.shared.snapshot()))
		return
	}
	client := w.current.client
	go func() {
		l, err := client.FetchSnapshot(w.ctx)
		if err != nil {
			slog.Warn("endpoint snapshot failed", "err", err)
			w.pushFrom(client, failedUpdate)
			return
		}
		w.pushFrom(client, updateOf(l))
	}()
}

// SetAddress reads the list from another address from now on. What has changed since the last update of the old one is in the new
// one's snapshot, which comes first; until then the old one is watched, and nothing of it comes afterwards. Configurations may come
// faster than the service answers: the same address is not called again before it has answered, and of too many earlier ones the
// latest is dropped, so that the others come to an end.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.current.client.Address() && !w.answered && w.shared.snapshot == nil && (w.follows || w.watches) {
		return
	}
	if len(w.earlier) < maxEarlier {
		w.earlier = append(w.earlier, w.current)
	} else {
		go w.current.end()
	}
	w.current, w.answered = source{w.current.client.WithAddress(address), func() {}}, false
	w.restart()
}

// UseSharedList ends this instance's own watch: others watch the list, and snapshot returns all that they know. It returns false,
// and changes nothing, where that is older than what this instance has read.
func (w *Watcher) UseSharedList(snapshot func() List) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shared.generation++
	l := snapshot()
	if w.shared.snapshot != nil {
		return true
	}
	if l.Index < w.current.client.Index() {
		return false
	}
	w.shared.snapshot = snapshot
	w.restart()
	if w.follows || w.watches {
		w.push(updateOf(l))
	}
	return true
}

// UsesSharedList reports whether others watch the list for this instance.
func (w *Watcher) UsesSharedList() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shared.snapshot != nil
}

// SharedListChanged passes on an update of the shared list.
func (w *Watcher) SharedListChanged(l List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shared.snapshot != nil && (w.follows || w.watches) {
		w.push(updateOf(l))
	}
}

// WatchDirectly returns to this instance's own watch, after a part of a time that differs from instance to instance. A call of
// UseSharedList meanwhile cancels it.
func (w *Watcher) WatchDirectly(within time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shared.snapshot == nil {
		return
	}
	w.shared.generation++
	generation := w.shared.generation
	time.AfterFunc(time.Duration(w.jitter()*float64(within)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.shared.snapshot == nil || w.shared.generation != generation || w.ctx.Err() != nil {
			return
		}
		w.current.client.AdvanceIndex(w.shared.snapshot().Index)
		w.shared.snapshot = nil
		w.restart()
	})
}

// restart ends the watch that runs and starts the one that is wanted, if any. It does not wait for either; w.mu must be held.
func (w *Watcher) restart() {
	end, client := w.current.end, w.current.client
	w.current.end = func() {}
	run := w.watchOf(client)
	if run == nil {
		go end()
		w.endEarlier(len(w.earlier))
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	done := make(chan struct{})
	w.current.end = func() { cancel(); <-done }
	go func() {
		defer close(done)
		end()
		run(ctx)
		client.CloseIdleConnections()
	}()
}

// watchOf returns the watch that is wanted of a client, nil for none; w.mu must be held.
func (w *Watcher) watchOf(client *Client) func(context.Context) {
	each := func(l List) { w.pushFrom(client, updateOf(l)) }
	switch {
	case w.shared.snapshot != nil:
		return nil
	case w.follows:
		return func(ctx context.Context) {
			client.Follow(ctx, each, func() { w.pushFrom(client, failedUpdate) }, w.jitter)
		}
	case w.watches:
		return func(ctx context.Context) {
			if err := client.Watch(ctx, each); ctx.Err() == nil {
				slog.Warn("endpoint watch ended", "err", err)
				w.pushFrom(client, failedUpdate)
			}
		}
	}
	return nil
}

// endEarlier ends the watches of the first earlier addresses; w.mu must be held.
func (w *Watcher) endEarlier(n int) {
	for _, s := range w.earlier[:n] {
		go s.end()
	}
	w.earlier = w.earlier[n:]
}

// failedUpdate says that the list could not be read.
var failedUpdate = Update{Kind: routing.UpdateFailed}

func updateOf(l List) Update {
	if l.Snapshot {
		return Update{Kind: routing.Snapshot, List: l}
	}
	return Update{Kind: routing.Delta, List: l}
}

// pushFrom passes on an update of an address, unless a later one has brought its list, which says all.
func (w *Watcher) pushFrom(client *Client, u Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current.client == client {
		if u.Kind != routing.UpdateFailed {
			w.answered = true
			w.endEarlier(len(w.earlier))
		}
		w.push(u)
		return
	}
	if u.Kind == routing.UpdateFailed { // of an earlier address
		return
	}
	if i := slices.IndexFunc(w.earlier, func(s source) bool { return s.client == client }); i >= 0 {
		w.endEarlier(i)
		w.push(u)
	}
}

// push passes updates to the receiver in the order of the calls, without waiting for it: the caller may be the receiver itself, or
// hold a lock that it needs. w.mu must be held.
func (w *Watcher) push(u Update) {
	w.queue = append(w.queue, u)
	if len(w.queue) > 1 {
		return // a goroutine is at it
	}
	go func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for len(w.queue) > 0 {
			next := w.queue[0]
			w.mu.Unlock()
			w.receive(next)
			w.mu.Lock()
			w.queue = w.queue[1:]
		}
	}()
}
