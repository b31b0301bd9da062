package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dapplerouter/routing"
)

// Update is a snapshot of the endpoint list, a change of it, or the failure to read it.
type Update struct {
	Kind routing.UpdateKind
	List List // empty if Kind is routing.UpdateFailed
}

// Watcher delivers the endpoint list to a receiver. It gets the list in one of three ways: its own watch, reopened whenever it
// ends; single watches and snapshots on request; or a list that other instances watch and share. It implements
// front.EndpointSource.
//
// Invariants: the receiver gets one update at a time, in order. Once an address has delivered its snapshot, no update of an
// earlier address is delivered. Each address has at most one watch at a time.
type Watcher struct {
	receive func(Update)
	ctx     context.Context // ends all goroutines; stored because the methods that start them are called without a context
	jitter  func() float64

	mu       sync.Mutex // guards the fields below
	current  source     // the newest address
	answered bool       // the current source has delivered a list
	earlier  []source   // previous addresses, oldest first; each is dropped once a later one has delivered a list
	follows  bool       // a watch is reopened whenever it ends
	watches  bool       // a single watch is requested
	shared   sharedList
	queue    []Update // updates for the receiver; the first one is being delivered
}

// source is an address from which the list is read.
type source struct {
	client *Client
	stop   func() // cancels the watch and waits until it has ended
}

// sharedList is the list that other instances watch for this one.
type sharedList struct {
	snapshot   func() List // returns the complete list; nil if this instance watches by itself
	generation int         // incremented by each switch, so that a delayed WatchDirectly that was superseded does nothing
}

// maxEarlierSources bounds how many previous addresses are still watched. Each of them takes at most two descriptors.
const maxEarlierSources = 4

// NewWatcher returns a Watcher that runs until ctx ends. It calls receive from one goroutine at a time, and receive may block.
// jitter returns numbers between 0 and 1; it keeps instances from calling the service at the same time.
func NewWatcher(ctx context.Context, client *Client, receive func(Update), jitter func() float64) *Watcher {
	return &Watcher{current: source{client, func() {}}, receive: receive, ctx: ctx, jitter: jitter}
}

// Follow delivers a snapshot and then every change, until the Watcher's context ends.
func (w *Watcher) Follow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.follows = true
	w.restartWatch()
}

// Watch opens a single watch or ends it. If the watch ends by itself, a failed update is delivered and the watch is not
// reopened.
func (w *Watcher) Watch(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watches = on
	if on && w.shared.snapshot != nil {
		w.enqueue(newUpdate(w.shared.snapshot()))
	}
	w.restartWatch()
}

// Fetch requests one snapshot of the endpoint list, that is the complete list, and returns without waiting for it. The list is
// delivered as an update; if it cannot be read, a failed update is delivered.
func (w *Watcher) Fetch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shared.snapshot != nil {
		w.enqueue(newUpdate(w.shared.snapshot()))
		return
	}
	client := w.current.client
	go func() {
		l, err := client.FetchSnapshot(w.ctx)
		if err != nil {
			slog.Warn("endpoint snapshot failed", "err", err)
			w.enqueueFrom(client, failedUpdate)
			return
		}
		w.enqueueFrom(client, newUpdate(l))
	}()
}

// SetAddress reads the list from another address from now on. The new address delivers a snapshot first, which includes every
// change since the last update of the old address. Until then the old address is still watched; afterwards none of its updates
// is delivered.
//
// New configurations may arrive faster than the service responds. Therefore the current address is not opened again before it
// has delivered a list. If there are already maxEarlierSources previous addresses, the current one is dropped instead of being
// added to them, so that the older ones get time to finish.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.current.client.Address() && !w.answered && w.shared.snapshot == nil && (w.follows || w.watches) {
		return
	}
	if len(w.earlier) < maxEarlierSources {
		w.earlier = append(w.earlier, w.current)
	} else {
		go w.current.stop()
	}
	w.current, w.answered = source{w.current.client.WithAddress(address), func() {}}, false
	w.restartWatch()
}

// UseSharedList ends this instance's own watch and uses the list that other instances watch; snapshot returns that complete
// list. It returns false and changes nothing if the shared list is older than what this instance has read.
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
	w.restartWatch()
	if w.follows || w.watches {
		w.enqueue(newUpdate(l))
	}
	return true
}

// UsesSharedList reports whether other instances watch the list for this one.
func (w *Watcher) UsesSharedList() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shared.snapshot != nil
}

// SharedListChanged delivers an update of the shared list. It does nothing if this instance watches the list itself.
func (w *Watcher) SharedListChanged(l List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shared.snapshot != nil && (w.follows || w.watches) {
		w.enqueue(newUpdate(l))
	}
}

// WatchDirectly returns from a shared list to this instance's own watch after a random fraction of within, so that instances do
// not all do so at the same time. A call of UseSharedList before that cancels it.
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
		w.restartWatch()
	})
}

// restartWatch ends the running watch and starts the one that is now wanted, if any. It does not wait for either watch. The
// caller must hold w.mu.
func (w *Watcher) restartWatch() {
	end, client := w.current.stop, w.current.client
	w.current.stop = func() {}
	run := w.watchFunc(client)
	if run == nil {
		go end()
		w.stopEarlier(len(w.earlier))
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	done := make(chan struct{})
	w.current.stop = func() { cancel(); <-done }
	go func() {
		defer close(done)
		end()
		run(ctx)
		client.CloseIdleConnections()
	}()
}

// watchFunc returns the function that runs the wanted watch with a client, or nil if none is wanted. The caller must hold w.mu.
func (w *Watcher) watchFunc(client *Client) func(context.Context) {
	onList := func(l List) { w.enqueueFrom(client, newUpdate(l)) }
	switch {
	case w.shared.snapshot != nil:
		return nil
	case w.follows:
		return func(ctx context.Context) {
			client.Follow(ctx, onList, func() { w.enqueueFrom(client, failedUpdate) }, w.jitter)
		}
	case w.watches:
		return func(ctx context.Context) {
			if err := client.Watch(ctx, onList); ctx.Err() == nil {
				slog.Warn("endpoint watch ended", "err", err)
				w.enqueueFrom(client, failedUpdate)
			}
		}
	}
	return nil
}

// stopEarlier stops the watches of the n oldest previous addresses, without waiting. The caller must hold w.mu.
func (w *Watcher) stopEarlier(n int) {
	for _, s := range w.earlier[:n] {
		go s.stop()
	}
	w.earlier = w.earlier[n:]
}

// failedUpdate is the update that reports that the list could not be read.
var failedUpdate = Update{Kind: routing.UpdateFailed}

// newUpdate returns the update that delivers a list: a snapshot or a delta.
func newUpdate(l List) Update {
	if l.Snapshot {
		return Update{Kind: routing.Snapshot, List: l}
	}
	return Update{Kind: routing.Delta, List: l}
}

// enqueueFrom delivers an update that came from a client. The first list of a client stops the watches of all earlier
// addresses. An update is dropped if a later address has already delivered a list, because that list includes it.
func (w *Watcher) enqueueFrom(client *Client, u Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current.client == client {
		if u.Kind != routing.UpdateFailed {
			w.answered = true
			w.stopEarlier(len(w.earlier))
		}
		w.enqueue(u)
		return
	}
	if u.Kind == routing.UpdateFailed { // the failure of an earlier address does not matter
		return
	}
	if i := slices.IndexFunc(w.earlier, func(s source) bool { return s.client == client }); i >= 0 {
		w.stopEarlier(i)
		w.enqueue(u)
	}
}

// enqueue adds an update to the queue and starts a goroutine that delivers the queue, unless one is running. It does not wait
// for the receiver, because the caller may be the receiver itself or may hold a lock that the receiver needs. The caller must
// hold w.mu.
func (w *Watcher) enqueue(u Update) {
	w.queue = append(w.queue, u)
	if len(w.queue) > 1 {
		return // a goroutine is delivering the queue
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
