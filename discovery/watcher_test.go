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

// listing is a stand-in of the list's service: it gives the whole list, keeps watches open and tells of both
// by what was asked and left.
func listing(t *testing.T, whole string, asked, left chan<- string) (address string) {
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
			asked, left, told := make(chan string, 9), make(chan string, 9), make(chan Update, 9)
			old := listing(t, `{"index":4,"snapshot":true,"endpoints":[]}`, asked, left)
			d := NewWatcher(ctx, NewClient(old, 4), func(e Update) { told <- e },
				func() float64 { return 0 })
			defer end() // before the services are closed, which wait for the watch that is left
			start(d)
			assert.Equal(t, int64(4), (<-told).List.Index)
			assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-asked, <-asked})
			d.SetAddress(listing(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left))
			d.SetAddress(listing(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left)) // twice at once
			first := <-left
			if first == "watch=1&after=9" { // the second one had told its list before the third: its watch ends in the same moment
				first = <-left
			}
			assert.Equal(t, "watch=1&after=4", first, "the old one is left")
			for l := range told {
				require.Equal(t, routing.Snapshot, l.Kind, "the end of the old watch is no failure")
				if l.List.Index == 9 {
					return // what was missed meanwhile stands in the whole list
				}
			}
		})
	}
}

// The front was told of another address while a list from the old one was on its way to the core, and another still to come: the
// old list came after the new one and took back what that told.
func TestNoUpdateOfOldAddressAfterNew(t *testing.T) {
	asked, left, late := make(chan string, 9), make(chan string, 9), make(chan struct{})
	hung, seen, told := make(chan struct{}), make(chan Update, 9), make(chan Update, 9)
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
		told <- e
	}, func() float64 { return 0 })
	d.Fetch()
	assert.Equal(t, int64(4), (<-seen).List.Index) // not in force yet
	d.Fetch()
	<-hung
	d.SetAddress(listing(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left))
	d.Fetch()
	require.Eventually(t, func() bool { // the new one has come, and stands behind the old one or beside it
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.queue) == 2 || len(seen) > 0
	}, 10*time.Second, time.Millisecond)
	require.Empty(t, seen, "told while the old one still was")
	free()
	close(release)
	assert.Equal(t, []int64{4, 9}, []int64{(<-told).List.Index, (<-told).List.Index})
	d.Fetch()
	assert.Equal(t, int64(9), (<-told).List.Index, "nothing of the old address")
}

// A front leans on the list that another follows, and goes back to its own watch; what is older never comes after what is newer.
func TestWatcherUsesSharedListAndReturnsToItsOwn(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	asked, left, told := make(chan string, 9), make(chan string, 9), make(chan Update, 9)
	address := listing(t, `{"index":4,"snapshot":true,"endpoints":[]}`, asked, left)
	d := NewWatcher(ctx, NewClient(address, 4), func(e Update) { told <- e }, func() float64 { return 0 })
	t.Cleanup(end)
	d.Follow()
	assert.Equal(t, int64(4), (<-told).List.Index)
	assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-asked, <-asked})
	known := List{Index: 3, Snapshot: true}
	from := func() List { return known }
	assert.False(t, d.UseSharedList(from), "what others know is older than what this front heard")
	known.Index = 6
	require.True(t, d.UseSharedList(from))
	assert.Equal(t, "watch=1&after=4", <-left, "its own watch ends")
	assert.Equal(t, int64(6), (<-told).List.Index)
	d.SharedListChanged(List{Index: 7})
	l := <-told
	assert.Equal(t, int64(7), l.List.Index)
	assert.Equal(t, routing.Delta, l.Kind)
	d.Fetch() // asked for the whole list, it has the others' word
	assert.Equal(t, int64(6), (<-told).List.Index)
	assert.Empty(t, asked, "the service is asked nothing meanwhile")
	d.WatchDirectly(0)
	assert.Equal(t, "", <-asked, "alone, it asks for the whole list and watches again")
	assert.False(t, d.UsesSharedList())
	d.SharedListChanged(List{Index: 8})
	assert.Equal(t, int64(4), (<-told).List.Index, "and hears its own service only")
}
