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

// entryFormat is an endpoint of the list in JSON; its parameter is the status.
const entryFormat = `{"name":"s-1","address":"127.0.0.1:1","zone":"a","type":"m","group":3,"status":"%s","weight":1.0,"since_ms":0}`

// encodeList returns a list of one endpoint as the service encodes it.
func encodeList(index int, snapshot bool, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[`+entryFormat+`]}`, index, snapshot, status)
}

// newScriptedService starts a fake discovery service and returns a client of it. Each request is answered by the next script;
// once the scripts are used up, requests get no response. The returned channel gets the URL of each request.
func newScriptedService(t *testing.T, scripts ...func(w http.ResponseWriter, r *http.Request)) (*Client, <-chan string) {
	received := make(chan string, 100)
	next := make(chan func(w http.ResponseWriter, r *http.Request), len(scripts))
	for _, s := range scripts {
		next <- s
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.URL.String()
		select {
		case s := <-next:
			s(w, r)
		default:
			<-r.Context().Done() // send nothing until the client gives up
		}
	}))
	t.Cleanup(srv.Close)
	client := NewClient(strings.TrimPrefix(srv.URL, "http://"), 7)
	return client, received
}

// respondWith returns a script that writes the parts of a response body one by one, and ends the response.
func respondWith(parts ...string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, p := range parts {
			w.Write([]byte(p))
			w.(http.Flusher).Flush()
		}
	}
}

// follow runs Client.Follow without jitter until the test ends. It passes on the lists received and the failures of watches.
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
	split := encodeList(42, false, "draining") + "\n"
	c, requests := newScriptedService(t, respondWith(encodeList(41, true, "up")),
		respondWith(split[:30], split[30:], "\n", encodeList(43, false, "removed")+"\n"),
		respondWith(encodeList(44, true, "up")+"\n"))
	c.heartbeat = 300 * time.Millisecond
	lists, failed := follow(t, c)
	for _, want := range []struct {
		index    int64
		snapshot bool
		state    routing.ServerState
	}{{41, true, routing.Serving}, {42, false, routing.Draining}, {43, false, routing.Removed}, {44, true, routing.Serving}} {
		l := <-lists
		assert.Equal(t, want.index, l.Index)
		assert.Equal(t, want.snapshot, l.Snapshot)
		assert.Equal(t, want.state, l.Endpoints[0].State)
	}
	assert.True(t, <-failed, "the end of a watch is reported")
	for _, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&after=41", "/v1/endpoints?watch=1&after=43"} {
		assert.Equal(t, want, <-requests)
	}
}

func TestSilenceEndsWatch(t *testing.T) {
	c, _ := newScriptedService(t, func(w http.ResponseWriter, r *http.Request) {
		respondWith(encodeList(8, false, "up")+"\n")(w, r)
		<-r.Context().Done()
	})
	c.heartbeat = 20 * time.Millisecond
	assert.ErrorIs(t, c.Watch(context.Background(), func(List) {}), ErrHeartbeatTimeout)
}

func TestRejectedCallAndTruncatedLineAreErrors(t *testing.T) {
	c, _ := newScriptedService(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		respondWith(`{"index":9,"endpoints":[]}`+"\n", `{"index":10`))
	_, err := c.FetchSnapshot(context.Background())
	assert.ErrorIs(t, err, ErrStatus)
	assert.ErrorContains(t, err, "503")
	var got []List
	assert.Error(t, c.Watch(context.Background(), func(l List) { got = append(got, l) }))
	require.Len(t, got, 1, "the truncated line is dropped")
	assert.Equal(t, int64(9), c.index.Load())
}

// Regression: a change was lost because its line could not be used, and the next valid line advanced the index past it. A drain
// in the lost line was never noticed. A lost change must be followed by a snapshot.
func TestSnapshotFollowsLostChange(t *testing.T) {
	newer := encodeList(9, false, "draining")
	for name, lines := range map[string][]string{
		"malformed JSON":          {"{nonsense\n"},
		"no index":                {`{"endpoints":[]}` + "\n"},
		"an unusable endpoint":    {encodeList(8, false, "asleep") + "\n"},
		"an index that decreases": {newer + "\n", encodeList(8, false, "up") + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c, requests := newScriptedService(t, respondWith(encodeList(7, true, "up")),
				respondWith(append(lines, encodeList(10, false, "up")+"\n")...),
				respondWith(encodeList(10, true, "draining")), respondWith(encodeList(11, false, "removed")+"\n"))
			c.heartbeat = 200 * time.Millisecond
			lists, failed := follow(t, c)
			var last List
			for last.Index != 11 {
				last = <-lists
				if last.Index == 10 {
					assert.True(t, last.Snapshot, "no change is delivered after a lost one")
					assert.Equal(t, routing.Draining, last.Endpoints[0].State)
				}
			}
			assert.True(t, <-failed)
			for _, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&after=7", "/v1/endpoints", "/v1/endpoints?watch=1&after=10"} {
				assert.Equal(t, want, <-requests)
			}
		})
	}
}

// A service that was restarted may send a snapshot with a lower index, which is accepted.
func TestSnapshotMayHaveLowerIndex(t *testing.T) {
	c, _ := newScriptedService(t, respondWith(encodeList(3, true, "up")))
	l, err := c.FetchSnapshot(context.Background())
	require.NoError(t, err)
	assert.Equal(t, int64(3), l.Index)
	assert.Equal(t, int64(3), c.Index())
}

// A snapshot that was in flight while a concurrent watch delivered a drain would undo the drain.
func TestSnapshotOvertakenByWatchIsFetchedAgain(t *testing.T) {
	var c *Client
	c, requests := newScriptedService(t, func(w http.ResponseWriter, r *http.Request) {
		c.AdvanceIndex(9) // as a concurrent watch does
		respondWith(encodeList(8, true, "up"))(w, r)
	}, respondWith(encodeList(9, true, "draining")))
	l, err := c.FetchSnapshot(context.Background())
	require.NoError(t, err)
	assert.Equal(t, routing.Draining, l.Endpoints[0].State)
	assert.Len(t, requests, 2)
}

// A change that a silent watch misses counts as notified three heartbeats after the watch fell silent; a service that returns
// has the change at once. Regression: the silence itself was only noticed at that time, and a call that hung for as long
// followed.
func TestSilentWatchAndHungCallsEndInTime(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	c, requests := newScriptedService(t, respondWith(encodeList(7, true, "up")), func(w http.ResponseWriter, r *http.Request) {
		respondWith("\n")(w, r)
		hang(w, r)
	}, hang, hang, respondWith(encodeList(8, false, "draining")+"\n"))
	c.heartbeat = 800 * time.Millisecond
	lists, _ := follow(t, c)
	assert.Equal(t, int64(7), (<-lists).Index)
	from := time.Now()
	assert.Equal(t, int64(8), (<-lists).Index)
	took := time.Since(from)
	assert.Greater(t, took, 2*c.heartbeat, "the watch must tolerate a late heartbeat")
	assert.Less(t, took, 5*c.heartbeat, "the silence and two calls that hang")
	assert.Len(t, requests, 5, "the failures cause no further calls")
}

// A service that ends every watch at once is called with a backoff.
func TestWatchReopensWithBackoff(t *testing.T) {
	end := func(http.ResponseWriter, *http.Request) {}
	scripts := []func(http.ResponseWriter, *http.Request){respondWith(encodeList(7, true, "up"))}
	for range 50 {
		scripts = append(scripts, end)
	}
	c, requests := newScriptedService(t, scripts...)
	c.heartbeat = 200 * time.Millisecond
	_, failed := follow(t, c)
	from := time.Now()
	for range 10 {
		<-failed
	}
	assert.Greater(t, time.Since(from), 8*c.heartbeat/8, "all but the first two are at least an eighth of a heartbeat apart")
	assert.LessOrEqual(t, len(requests), 12)
}

func TestDecodeSkipsUnusableEndpoints(t *testing.T) {
	l, skipped, err := Decode([]byte(`{"index":1,"snapshot":true,"endpoints":[` + fmt.Sprintf(entryFormat, "up") + `,` +
		fmt.Sprintf(entryFormat, "asleep") + `,{"name":"s-2","group":1,"status":"up"},{"name":"s-3","address":"a:1","status":"up"},
		{"address":"a:1","group":1,"status":"up"},{"name":"s-4","group":1,"status":"removed"}]}`))
	require.NoError(t, err)
	assert.Len(t, skipped, 4)
	assert.Len(t, l.Endpoints, 2, "a removed endpoint needs no address")
	var unusable *EndpointError
	require.ErrorAs(t, skipped[0], &unusable)
	assert.Equal(t, "s-1", unusable.Name)
	_, _, err = Decode([]byte(`{"endpoints":[]}`))
	assert.ErrorIs(t, err, ErrNoIndex)
	for _, bad := range []string{"", "[]", `{"endpoints":[]}`, `{"index":"x"}`} {
		_, _, err := Decode([]byte(bad))
		assert.Error(t, err, bad)
	}
}

// A response over HTTP may have no length and may be cut off by a reset. A reset is not the end of the response, so that
// snapshot is rejected; one that ends normally is accepted.
func TestSnapshotWithoutLengthUnlessReset(t *testing.T) {
	serveOnce := func(text string, reset bool) *Client {
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
	l, err := serveOnce(encodeList(9, true, "up"), false).FetchSnapshot(context.Background())
	require.NoError(t, err)
	assert.Equal(t, int64(9), l.Index)
	for _, text := range []string{encodeList(9, true, "up"), encodeList(9, true, "up")[:20]} {
		c := serveOnce(text, true)
		_, err = c.FetchSnapshot(context.Background())
		assert.Error(t, err, "%q", text)
		assert.Equal(t, int64(3), c.Index())
	}
}

// Each way in which a watch or a call can end has its own error.
func TestErrorsOfWatchAndSnapshot(t *testing.T) {
	for name, x := range map[string]struct {
		response script
		want     error
	}{
		"index goes back":   {respondWith(encodeList(6, false, "up") + "\n"), ErrIndexDecreased},
		"unusable endpoint": {respondWith(encodeList(8, false, "asleep") + "\n"), ErrUnusableEndpoints},
		"no index":          {respondWith(`{"endpoints":[]}` + "\n"), ErrNoIndex},
		"no heartbeat":      {respondThenHang("\n"), ErrHeartbeatTimeout},
		"no answer":         {hang, ErrResponseTimeout},
		"status":            {respond503, ErrStatus},
		"line too long":     {respondWith(strings.Repeat(" ", maxObjectBytes+1<<16)), ErrLineTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, _ := newScriptedService(t, x.response) // with the default heartbeat, because a busy machine responds late
			assert.ErrorIs(t, c.Watch(t.Context(), func(List) {}), x.want)
		})
	}
	c, _ := newScriptedService(t, hang)
	c.heartbeat = 200 * time.Millisecond
	_, err := c.FetchSnapshot(t.Context())
	assert.ErrorIs(t, err, ErrResponseTimeout)
}

// A snapshot whose response begins and then stops, or takes too long in all, has errors of its own, with the bytes that were read: the
// service did respond, and no heartbeat is sent with a snapshot.
func TestIncompleteSnapshotSaysHowManyBytesCame(t *testing.T) {
	half := encodeList(9, true, "up")[:40]
	trickle := func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			respondWith(" ")(w, r)
			time.Sleep(20 * time.Millisecond)
		}
	}
	for name, x := range map[string]struct {
		response script
		want     error
		bytes    string
	}{
		"stops in the middle":    {respondThenHang(half), ErrSnapshotStalled, "after 40 bytes"},
		"stops after the header": {respondThenHang(), ErrSnapshotStalled, "after 0 bytes"},
		"takes too long":         {trickle, ErrSnapshotTooSlow, " bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, _ := newScriptedService(t, x.response)
			c.heartbeat = 400 * time.Millisecond
			_, err := c.FetchSnapshot(t.Context())
			assert.ErrorIs(t, err, x.want)
			assert.ErrorContains(t, err, x.bytes)
			assert.NotErrorIs(t, err, ErrHeartbeatTimeout)
			assert.NotErrorIs(t, err, ErrResponseTimeout)
			assert.Equal(t, int64(7), c.Index())
		})
	}
}
