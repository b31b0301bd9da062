package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
)

const entry = `{"name":"s-1","address":"127.0.0.1:1","zone":"a","type":"m","group":3,"status":"%s","weight":1.0,"since_ms":0}`

func object(index int, whole bool, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[`+entry+`]}`, index, whole, status)
}

// service is a fake discovery service: each request takes the next script.
func service(t *testing.T, scripts ...func(w http.ResponseWriter, r *http.Request)) (*Client, <-chan string) {
	asked := make(chan string, 100)
	next := make(chan func(w http.ResponseWriter, r *http.Request), len(scripts))
	for _, s := range scripts {
		next <- s
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		select {
		case s := <-next:
			s(w, r)
		default:
			<-r.Context().Done() // silent from then on
		}
	}))
	t.Cleanup(srv.Close)
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), 7)
	return c, asked
}

func says(parts ...string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, p := range parts {
			w.Write([]byte(p))
			w.(http.Flusher).Flush()
		}
	}
}

func follow(t *testing.T, c *Client) (lists <-chan List, failed <-chan bool) {
	ctx, end := context.WithCancel(context.Background())
	l, f := make(chan List, 100), make(chan bool, 100)
	done := make(chan bool)
	go func() {
		c.Follow(ctx, func(x List) { l <- x }, func() { f <- true }, func() float64 { return 0 })
		close(done)
	}()
	t.Cleanup(func() { end(); <-done })
	return l, f
}

func TestWatchResumesAfterLastIndex(t *testing.T) {
	cut := object(42, false, "draining") + "\n"
	c, asked := service(t, says(object(41, true, "up")), says(cut[:30], cut[30:], "\n", object(43, false, "removed")+"\n"),
		says(object(44, true, "up")+"\n"))
	c.heartbeat = 300 * time.Millisecond
	lists, failed := follow(t, c)
	for _, want := range []struct {
		index int64
		whole bool
		state routing.ServerState
	}{{41, true, routing.Serving}, {42, false, routing.Draining}, {43, false, routing.Removed}, {44, true, routing.Serving}} {
		l := <-lists
		assert.Equal(t, want.index, l.Index)
		assert.Equal(t, want.whole, l.Snapshot)
		assert.Equal(t, want.state, l.Endpoints[0].State)
	}
	assert.True(t, <-failed, "the end of a watch is reported")
	for _, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&after=41", "/v1/endpoints?watch=1&after=43"} {
		assert.Equal(t, want, <-asked)
	}
}

func TestSilenceEndsWatch(t *testing.T) {
	c, _ := service(t, func(w http.ResponseWriter, r *http.Request) {
		says(object(8, false, "up")+"\n")(w, r)
		<-r.Context().Done()
	})
	c.heartbeat = 20 * time.Millisecond
	assert.ErrorIs(t, c.Watch(context.Background(), func(List) {}), ErrSilent)
}

func TestRejectedCallAndTruncatedLineAreErrors(t *testing.T) {
	c, _ := service(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		says(`{"index":9,"endpoints":[]}`+"\n", `{"index":10`))
	_, err := c.FetchSnapshot(context.Background())
	assert.ErrorIs(t, err, ErrStatus)
	assert.ErrorContains(t, err, "503")
	var got []List
	assert.Error(t, c.Watch(context.Background(), func(l List) { got = append(got, l) }))
	require.Len(t, got, 1, "the truncated line is dropped")
	assert.Equal(t, int64(9), c.index.Load())
}

// Regression: the good line behind one that was lost moved the index past it, so that a drain in the lost line was never noticed.
func TestSnapshotFollowsLostChange(t *testing.T) {
	half := object(9, false, "draining")
	for name, lines := range map[string][]string{
		"nonsense":                {"{nonsense\n"},
		"no index":                {`{"endpoints":[]}` + "\n"},
		"an entry without sense":  {object(8, false, "asleep") + "\n"},
		"an index that goes back": {half + "\n", object(8, false, "up") + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c, asked := service(t, says(object(7, true, "up")), says(append(lines, object(10, false, "up")+"\n")...),
				says(object(10, true, "draining")), says(object(11, false, "removed")+"\n"))
			c.heartbeat = 200 * time.Millisecond
			lists, failed := follow(t, c)
			var last List
			for last.Index != 11 {
				last = <-lists
				if last.Index == 10 {
					assert.True(t, last.Snapshot, "nothing is taken after what was lost")
					assert.Equal(t, routing.Draining, last.Endpoints[0].State)
				}
			}
			assert.True(t, <-failed)
			for _, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&after=7", "/v1/endpoints", "/v1/endpoints?watch=1&after=10"} {
				assert.Equal(t, want, <-asked)
			}
		})
	}
}

// The snapshot of a service that was restarted with a lower index is taken.
func TestSnapshotMayHaveLowerIndex(t *testing.T) {
	c, _ := service(t, says(object(3, true, "up")))
	l, err := c.FetchSnapshot(context.Background())
	require.NoError(t, err)
	assert.Equal(t, int64(3), l.Index)
	assert.Equal(t, int64(3), c.Index())
}

// A snapshot that was in flight while a watch brought a drain would have taken the drain back.
func TestSnapshotOvertakenByWatchIsFetchedAgain(t *testing.T) {
	var c *Client
	c, asked := service(t, func(w http.ResponseWriter, r *http.Request) {
		c.AdvanceIndex(9) // as a watch beside it does
		says(object(8, true, "up"))(w, r)
	}, says(object(9, true, "draining")))
	l, err := c.FetchSnapshot(context.Background())
	require.NoError(t, err)
	assert.Equal(t, routing.Draining, l.Endpoints[0].State)
	assert.Len(t, asked, 2)
}

// What a silent watch misses counts as notified three heartbeats after it fell silent, and what a returning service has at once.
// Regression: the silence was noticed just then, and a call that hung as long followed.
func TestSilentWatchAndHungCallsEndInTime(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	c, asked := service(t, says(object(7, true, "up")), func(w http.ResponseWriter, r *http.Request) {
		says("\n")(w, r)
		hang(w, r)
	}, hang, hang, says(object(8, false, "draining")+"\n"))
	c.heartbeat = 800 * time.Millisecond
	lists, _ := follow(t, c)
	assert.Equal(t, int64(7), (<-lists).Index)
	from := time.Now()
	assert.Equal(t, int64(8), (<-lists).Index)
	took := time.Since(from)
	assert.Greater(t, took, 2*c.heartbeat, "a heartbeat may be late by as much")
	assert.Less(t, took, 5*c.heartbeat, "silence, and two attempts that hang")
	assert.Len(t, asked, 5, "and no storm of calls")
}

// A service that ends every watch at once is called with a backoff.
func TestWatchReopensWithBackoff(t *testing.T) {
	end := func(http.ResponseWriter, *http.Request) {}
	scripts := []func(http.ResponseWriter, *http.Request){says(object(7, true, "up"))}
	for range 50 {
		scripts = append(scripts, end)
	}
	c, asked := service(t, scripts...)
	c.heartbeat = 200 * time.Millisecond
	_, failed := follow(t, c)
	from := time.Now()
	for range 10 {
		<-failed
	}
	assert.Greater(t, time.Since(from), 8*c.heartbeat/8, "an eighth of a beat apart at least, but for the first two")
	assert.LessOrEqual(t, len(asked), 12)
}

func TestDecodeSkipsUnusableEndpoints(t *testing.T) {
	l, faults, err := Decode([]byte(`{"index":1,"snapshot":true,"endpoints":[` + fmt.Sprintf(entry, "up") + `,` +
		fmt.Sprintf(entry, "asleep") + `,{"name":"s-2","group":1,"status":"up"},{"name":"s-3","address":"a:1","status":"up"},
		{"address":"a:1","group":1,"status":"up"},{"name":"s-4","group":1,"status":"removed"}]}`))
	require.NoError(t, err)
	assert.Len(t, faults, 4)
	assert.Len(t, l.Endpoints, 2, "one that is removed needs no address")
	var unusable *EndpointError
	require.ErrorAs(t, faults[0], &unusable)
	assert.Equal(t, "s-1", unusable.Name)
	_, _, err = Decode([]byte(`{"endpoints":[]}`))
	assert.ErrorIs(t, err, ErrNoIndex)
	for _, bad := range []string{"", "[]", `{"endpoints":[]}`, `{"index":"x"}`} {
		_, _, err := Decode([]byte(bad))
		assert.Error(t, err, bad)
	}
}

// STANDING.md: "an answer over HTTP may have no length and be reset on the way [...]: a reset is no end". A complete one is taken.
func TestSnapshotWithoutLengthUnlessReset(t *testing.T) {
	answer := func(text string, reset bool) *Client {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text)
			if reset {
				time.Sleep(20 * time.Millisecond) // the client has read it by now
				c.(*net.TCPConn).SetLinger(0)
			}
		}()
		return NewClient(l.Addr().String(), 3)
	}
	l, err := answer(object(9, true, "up"), false).FetchSnapshot(context.Background())
	require.NoError(t, err)
	assert.Equal(t, int64(9), l.Index)
	for _, text := range []string{object(9, true, "up"), object(9, true, "up")[:20]} {
		c := answer(text, true)
		_, err = c.FetchSnapshot(context.Background())
		assert.Error(t, err, "%q", text)
		assert.Equal(t, int64(3), c.Index())
	}
}

// Each way in which a watch or a call ends has an error of its own.
func TestErrorsOfWatchAndSnapshot(t *testing.T) {
	for name, x := range map[string]struct {
		answer script
		want   error
	}{
		"index goes back":   {says(object(6, false, "up") + "\n"), ErrIndexBack},
		"unusable endpoint": {says(object(8, false, "asleep") + "\n"), ErrBadChange},
		"no index":          {says(`{"endpoints":[]}` + "\n"), ErrNoIndex},
		"no heartbeat":      {then("\n"), ErrSilent},
		"no answer":         {hang, ErrNoAnswer},
		"status":            {refuse, ErrStatus},
		"line too long":     {says(strings.Repeat(" ", maxObject+1<<16)), ErrLineLength},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, _ := service(t, x.answer) // at the usual heartbeat: a busy machine answers late
			assert.ErrorIs(t, c.Watch(t.Context(), func(List) {}), x.want)
		})
	}
	c, _ := service(t, hang)
	c.heartbeat = 200 * time.Millisecond
	_, err := c.FetchSnapshot(t.Context())
	assert.ErrorIs(t, err, ErrNoAnswer)
}
