package sockets

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/port"
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

func TestTheListIsFollowedToAnotherAddress(t *testing.T) {
	for name, start := range map[string]func(*Directory){
		"unasked": (*Directory).Follow,
		"asked":   func(d *Directory) { d.Fetch(); d.Watch(true) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, end := context.WithCancel(context.Background())
			asked, left, told := make(chan string, 9), make(chan string, 9), make(chan front.Listed, 9)
			old := listing(t, `{"index":4,"snapshot":true,"endpoints":[]}`, asked, left)
			d := NewDirectory(ctx, discovery.New(old, 4), func(e front.Event) { told <- e.(front.Listed) },
				func() float64 { return 0 })
			t.Cleanup(end)
			start(d)
			assert.Equal(t, int64(4), (<-told).List.Index)
			assert.ElementsMatch(t, []string{"", "watch=1&after=4"}, []string{<-asked, <-asked})
			d.Move(listing(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left))
			d.Move(listing(t, `{"index":9,"snapshot":true,"endpoints":[]}`, asked, left)) // twice at once
			assert.Equal(t, "watch=1&after=4", <-left, "the old one is left")
			for l := range told {
				require.Equal(t, port.Whole, l.Kind, "the end of the old watch is no failure")
				if l.List.Index == 9 {
					return // what was missed meanwhile stands in the whole list
				}
			}
		})
	}
}
