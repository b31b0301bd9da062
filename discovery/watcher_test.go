package discovery

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
)

// fakeService is a fake discovery service: it has a snapshot, keeps watches open, and reports the query of each call, and of each watch
// that has ended.
func fakeService(t *testing.T, whole string, asked, left chan<- string) (address string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			w.Write([]byte(whole))
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		left <- r.URL.RawQuery
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestWatcherFollowsListToAnotherAddress(t *testing.T) {
	for name, start := range map[string]func(*Watcher){
		"unasked": (*Watcher).Follow,
		"asked":   func(d *Watcher) { d.Fetch(); d.Watch(true) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, end := context.WithCancel(context.Background())
			asked, left, received := make(chan string, 9), make(chan string, 9), make(chan Update, 9)
			old := fakeService(t, `{"index":4,"snapshot":true,"endpoints":[]}`, asked, left)
			d := NewWatcher(ctx, NewClient(old, 4), func(e Update) { received <- e },
				func() float64 { return 0 })
			defer end() // before the services are closed, which wait for the watch that is left
			start(d)
			assert.Equal(t, int64(4), (<-received).List.Index)
			assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-asked, <-asked})
			d.SetAddress(fakeService(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left))
			d.SetAddress(fakeService(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left)) // twice at once
			first := <-left
			if first == "watch=1&after=9" { // the second one had brought its snapshot before the third: its watch ends at the same time
				first = <-left
			}
			assert.Equal(t, "watch=1&after=4", first, "the old watch ends")
			for l := range received {
				require.Equal(t, routing.Snapshot, l.Kind, "the end of the old watch is not a failed update")
				if l.List.Index == 9 {
					return // the snapshot has what was missed meanwhile
				}
			}
		})
	}
}

// Regression: the address changed while a list of the old one was on its way to the core, and another still to come. The old list came
// after the new one and took back what that brought.
func TestNoUpdateOfOldAddressAfterNew(t *testing.T) {
	asked, left, late := make(chan string, 9), make(chan string, 9), make(chan struct{})
	hung, seen, received := make(chan struct{}), make(chan Update, 9), make(chan Update, 9)
	var calls atomic.Int32
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			close(hung)
			<-late
		}
		w.Write([]byte(`{"index":4,"snapshot":true,"endpoints":[]}`))
	}))
	t.Cleanup(old.Close)
	free := sync.OnceFunc(func() { close(late) })
	t.Cleanup(free)
	release := make(chan struct{})
	d := NewWatcher(t.Context(), NewClient(strings.TrimPrefix(old.URL, "http://"), 4), func(e Update) {
		seen <- e
		<-release
		received <- e
	}, func() float64 { return 0 })
	d.Fetch()
	assert.Equal(t, int64(4), (<-seen).List.Index) // not received yet
	d.Fetch()
	<-hung
	d.SetAddress(fakeService(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left))
	d.Fetch()
	require.Eventually(t, func() bool { // the new one has come, behind the old one
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.queue) == 2 || len(seen) > 0
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, seen, "received while the old one still was")
	free()
	close(release)
	assert.Equal(t, []int64{4, 9}, []int64{(<-received).List.Index, (<-received).List.Index})
	d.Fetch()
	assert.Equal(t, int64(9), (<-received).List.Index, "nothing of the old address")
}

// An instance uses the list that another one watches, and returns to its own watch; an older list never comes after a newer one.
func TestWatcherUsesSharedListAndReturnsToItsOwn(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	asked, left, received := make(chan string, 9), make(chan string, 9), make(chan Update, 9)
	address := fakeService(t, `{"index":4,"snapshot":true,"endpoints":[]}`, asked, left)
	d := NewWatcher(ctx, NewClient(address, 4), func(e Update) { received <- e }, func() float64 { return 0 })
	t.Cleanup(end)
	d.Follow()
	assert.Equal(t, int64(4), (<-received).List.Index)
	assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-asked, <-asked})
	known := List{Index: 3, Snapshot: true}
	from := func() List { return known }
	assert.False(t, d.UseSharedList(from), "what others know is older than what this instance has read")
	known.Index = 6
	require.True(t, d.UseSharedList(from))
	assert.Equal(t, "watch=1&after=4", <-left, "its own watch ends")
	assert.Equal(t, int64(6), (<-received).List.Index)
	d.SharedListChanged(List{Index: 7})
	l := <-received
	assert.Equal(t, int64(7), l.List.Index)
	assert.Equal(t, routing.Delta, l.Kind)
	d.Fetch() // the snapshot is the shared list's
	assert.Equal(t, int64(6), (<-received).List.Index)
	assert.Empty(t, asked, "the service is not called meanwhile")
	d.WatchDirectly(0)
	assert.Equal(t, "", <-asked, "it reads a snapshot and watches again")
	assert.False(t, d.UsesSharedList())
	d.SharedListChanged(List{Index: 8})
	assert.Equal(t, int64(4), (<-received).List.Index, "and uses its own service only")
}
