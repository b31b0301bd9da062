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

// fakeService starts a fake discovery service that serves a snapshot and keeps watches open. It sends the query of each request
// to requests, and the query of each watch that has ended to ended.
func fakeService(t *testing.T, snapshot string, requests, ended chan<- string) (address string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			w.Write([]byte(snapshot))
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		ended <- r.URL.RawQuery
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestWatcherFollowsListToAnotherAddress(t *testing.T) {
	for name, start := range map[string]func(*Watcher){
		"followed":            (*Watcher).Follow,
		"fetched and watched": func(w *Watcher) { w.Fetch(); w.Watch(true) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, end := context.WithCancel(context.Background())
			requests, ended, received := make(chan string, 9), make(chan string, 9), make(chan Update, 9)
			old := fakeService(t, `{"index":4,"snapshot":true,"endpoints":[]}`, requests, ended)
			w := NewWatcher(ctx, NewClient(old, 4), func(u Update) { received <- u },
				func() float64 { return 0 })
			defer end() // runs before the services are closed, which wait for the last watch to end
			start(w)
			assert.Equal(t, int64(4), (<-received).List.Index)
			assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-requests, <-requests})
			w.SetAddress(fakeService(t, `{"index":9,"snapshot":true,"endpoints":[]}`, requests, ended))
			w.SetAddress(fakeService(t, `{"index":9,"snapshot":true,"endpoints":[]}`, requests, ended)) // the address changes twice in a row
			endedFirst := <-ended
			if endedFirst == "watch=1&after=9" { // the second address delivered its snapshot before the third was set: its watch ends too
				endedFirst = <-ended
			}
			assert.Equal(t, "watch=1&after=4", endedFirst, "the old watch ends")
			for l := range received {
				require.Equal(t, routing.Snapshot, l.Kind, "the end of the old watch is not a failed update")
				if l.List.Index == 9 {
					return // the snapshot includes the changes missed meanwhile
				}
			}
		})
	}
}

// Regression: the address changed while one list of the old address was being delivered and another was still being read. The
// second list of the old address was delivered after the list of the new one, and undid its changes.
func TestNoUpdateOfOldAddressAfterNew(t *testing.T) {
	requests, ended, unblock := make(chan string, 9), make(chan string, 9), make(chan struct{})
	blocked, delivering, received := make(chan struct{}), make(chan Update, 9), make(chan Update, 9)
	var calls atomic.Int32
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			close(blocked)
			<-unblock
		}
		w.Write([]byte(`{"index":4,"snapshot":true,"endpoints":[]}`))
	}))
	t.Cleanup(old.Close)
	unblockOnce := sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(unblockOnce)
	release := make(chan struct{})
	w := NewWatcher(t.Context(), NewClient(strings.TrimPrefix(old.URL, "http://"), 4), func(u Update) {
		delivering <- u
		<-release
		received <- u
	}, func() float64 { return 0 })
	w.Fetch()
	assert.Equal(t, int64(4), (<-delivering).List.Index) // the receiver still blocks on it
	w.Fetch()
	<-blocked
	w.SetAddress(fakeService(t, `{"index":9,"snapshot":true,"endpoints":[]}`, requests, ended))
	w.Fetch()
	require.Eventually(t, func() bool { // the list of the new address is queued after the old one
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.queue) == 2 || len(delivering) > 0
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, delivering, "delivered before the receiver had returned from the old one")
	unblockOnce()
	close(release)
	assert.Equal(t, []int64{4, 9}, []int64{(<-received).List.Index, (<-received).List.Index})
	w.Fetch()
	assert.Equal(t, int64(9), (<-received).List.Index, "no update of the old address follows")
}

// An instance uses the list that other instances watch, and later returns to its own watch. An older list is never delivered
// after a newer one.
func TestWatcherUsesSharedListAndReturnsToItsOwn(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	requests, ended, received := make(chan string, 9), make(chan string, 9), make(chan Update, 9)
	address := fakeService(t, `{"index":4,"snapshot":true,"endpoints":[]}`, requests, ended)
	w := NewWatcher(ctx, NewClient(address, 4), func(u Update) { received <- u }, func() float64 { return 0 })
	t.Cleanup(end)
	w.Follow()
	assert.Equal(t, int64(4), (<-received).List.Index)
	assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-requests, <-requests})
	shared := List{Index: 3, Snapshot: true}
	from := func() List { return shared }
	assert.False(t, w.UseSharedList(from), "the shared list is older than the one that this instance has read")
	shared.Index = 6
	require.True(t, w.UseSharedList(from))
	assert.Equal(t, "watch=1&after=4", <-ended, "its own watch ends")
	assert.Equal(t, int64(6), (<-received).List.Index)
	w.SharedListChanged(List{Index: 7})
	u := <-received
	assert.Equal(t, int64(7), u.List.Index)
	assert.Equal(t, routing.Delta, u.Kind)
	w.Fetch() // delivers the shared list
	assert.Equal(t, int64(6), (<-received).List.Index)
	assert.Empty(t, requests, "the service is not called meanwhile")
	w.WatchDirectly(0)
	assert.Equal(t, "", <-requests, "it fetches a snapshot and watches again")
	assert.False(t, w.UsesSharedList())
	w.SharedListChanged(List{Index: 8})
	assert.Equal(t, int64(4), (<-received).List.Index, "only its own service is used")
}
