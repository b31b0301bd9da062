package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
)

// startVoter starts the agent of a fleet's only voter n1, with an admin API, and waits until it holds the endpoint list's lease.
func startVoter(t *testing.T) *Agent {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent") // short: a Unix socket's path has its limit
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	post := func(front.Event) {}
	directory := discovery.NewWatcher(t.Context(), discovery.NewClient("127.0.0.1:1", 0), func(u discovery.Update) { post(front.EndpointsChanged{Kind: u.Kind, List: u.List}) }, discovery.NewJitter(1))
	start := &deployment.Instance{Name: "n1", Discovery: "127.0.0.1:1", Settings: &deployment.Settings{}}
	config := &fleet.Config{ID: "f", Listen: "127.0.0.1:0", Address: "127.0.0.1:1", InitialVoters: []fleet.Voter{{Name: "n1", Address: "127.0.0.1:1"}},
		VoterPath: filepath.Join(dir, "fleet.db"), LeaseDuration: 600 * time.Millisecond, AcceptsLeases: true, Control: filepath.Join(dir, "s")}
	a, err := New(Config{Fleet: config}, start, directory, "0.3.0")
	require.NoError(t, err)
	began := time.Now()
	a.Clock, a.StartedAt, a.Post = func() time.Duration { return time.Since(began) }, began, post
	a.Prober.Post = post
	require.NoError(t, a.Start())
	t.Cleanup(a.Close)
	require.Eventually(t, func() (held bool) {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) { _, held = n.HoldsLease(now, fleet.EndpointListLease) })
		return held
	}, 20*time.Second, 5*time.Millisecond)
	return a
}

// answerOf is the status and the body of a request as they are on the socket.
func answerOf(t *testing.T, a *Agent, method, path string, q url.Values) (status int, body string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", a.config.Control)
	}}}
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://front"+path+"?"+q.Encode(), nil)
	require.NoError(t, err)
	res, err := client.Do(r)
	require.NoError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(b)
}

// The paths, the statuses and the shapes of answers are those of version 0.3.0; a fault's text is for people.
func TestAdminAPIPathsAnswerAsInVersion030(t *testing.T) {
	a := startVoter(t)
	const done, fault = `^{"done":true}\n$`, `^{"fault":"[^"]+"}\n$`
	for _, c := range []struct {
		method, path string
		q            url.Values
		status       int
		body         string
	}{
		{"POST", "/v1/fleet/hand", url.Values{"duty": {"other"}}, 409, fault},
		{"POST", "/v1/fleet/hand", url.Values{"duty": {"list"}, "to": {"n9"}}, 409, fault},
		{"POST", "/v1/fleet/hand", url.Values{"duty": {"list"}}, 200, done},
		{"POST", "/v1/fleet/keepers/add", url.Values{"name": {"n1"}, "address": {"127.0.0.1:1"}}, 409, fault},
		{"POST", "/v1/fleet/keepers/remove", url.Values{"name": {"n9"}}, 409, fault},
		{"POST", "/v1/fleet/keepers/add", url.Values{"name": {"n2"}, "address": {"127.0.0.1:2"}}, 200, done},
		{"POST", "/v1/fleet/voters/recover", nil, 409, fault},
		{"GET", "/v1/fleet/voters/recovery", nil, 409, fault},
		{"GET", "/v1/fleet/hand", nil, 405, "^Method Not Allowed\n$"},
		{"GET", "/v1/fleet/roll", nil, 404, "^404 page not found\n$"},
	} {
		status, body := answerOf(t, a, c.method, c.path, c.q)
		assert.Equal(t, c.status, status, "%s %s %v", c.method, c.path, c.q)
		assert.Regexp(t, c.body, body, "%s %s %v", c.method, c.path, c.q)
	}
	for _, path := range []string{"/v1/fleet", "/v1/fleet/counters"} {
		_, body := answerOf(t, a, "GET", path, nil)
		assert.True(t, json.Valid([]byte(body)), path)
	}
}
