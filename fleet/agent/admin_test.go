package agent

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
)

// newAgent creates the agent of n1, the only voter of its fleet, with an admin API. forms adjust the configuration.
func newAgent(t *testing.T, forms ...func(*Config)) (*Agent, error) {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent") // not t.TempDir(): the path of a Unix socket has a length limit
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	post := func(e front.Event) {
		if e, ok := e.(front.CloseAudit); ok {
			e.OnClosed()
		}
	}
	directory := discovery.NewWatcher(t.Context(), discovery.NewClient("127.0.0.1:1", 0), func(u discovery.Update) { post(front.EndpointsChanged{Kind: u.Kind, List: u.List}) }, discovery.NewJitter(1))
	start := &deployment.Instance{Name: "n1", Discovery: "127.0.0.1:1", Settings: &deployment.Settings{}}
	config := &fleet.Config{ID: "f", Listen: "127.0.0.1:0", Address: "127.0.0.1:1", InitialVoters: []fleet.Voter{{Name: "n1", Address: "127.0.0.1:1"}},
		VoterPath: filepath.Join(dir, "fleet.db"), LeaseDuration: 600 * time.Millisecond, AcceptsLeases: true, Control: filepath.Join(dir, "s")}
	all := Config{Fleet: config}
	for _, form := range forms {
		form(&all)
	}
	a, err := New(all, start, directory, "0.3.0")
	if err != nil {
		return nil, err
	}
	began := time.Now()
	a.Clock, a.StartedAt, a.Post = func() time.Duration { return time.Since(began) }, began, post
	a.Prober.post = post
	return a, nil
}

// newVoterAgent is newAgent for a test in which the agent must be created.
func newVoterAgent(t *testing.T, forms ...func(*Config)) *Agent {
	t.Helper()
	a, err := newAgent(t, forms...)
	require.NoError(t, err)
	return a
}

// startVoter starts the agent of newAgent and waits until it holds the lease of the endpoint list.
func startVoter(t *testing.T, forms ...func(*Config)) *Agent {
	t.Helper()
	a := newVoterAgent(t, forms...)
	require.NoError(t, a.Start())
	t.Cleanup(a.Close)
	require.Eventually(t, func() (held bool) {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) { _, held = n.HoldsLease(now, fleet.EndpointListLease) })
		return held
	}, 20*time.Second, 5*time.Millisecond)
	return a
}

// requestAdminAPI sends a request to the admin API of an agent, and returns the status and the body of the response.
func requestAdminAPI(t *testing.T, a *Agent, method, path string, q url.Values) (status int, body string) {
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

// Patterns of response bodies, which are those of version 0.3.0. The text of an error is free.
const (
	donePattern  = `^{"done":true}\n$`
	faultPattern = `^{"fault":"[^"]+"}\n$`
)

// captureLog collects the log output until the test ends.
func captureLog(t *testing.T) *lockedBuffer {
	t.Helper()
	log, before := &lockedBuffer{}, slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return log
}

// lockedBuffer is a text buffer for concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// The old paths of the admin API respond as in version 0.3.0, in the same way as the paths that replaced them. The first use of an old
// path is logged.
func TestReplacedAdminAPIPathsAnswerAsInVersion030(t *testing.T) {
	for _, paths := range []struct{ transfer, leaseParameter, add, remove string }{
		{"/v1/fleet/hand", "duty", "/v1/fleet/keepers/add", "/v1/fleet/keepers/remove"},
		{"/v1/fleet/transfer", "lease", "/v1/fleet/voters/add", "/v1/fleet/voters/remove"},
	} {
		t.Run(paths.transfer, func(t *testing.T) {
			log := captureLog(t)
			a := startVoter(t)
			for _, c := range []struct {
				method, path string
				q            url.Values
				status       int
				body         string
			}{
				{"POST", paths.transfer, url.Values{paths.leaseParameter: {"other"}}, 409, faultPattern},
				{"POST", paths.transfer, url.Values{paths.leaseParameter: {"list"}, "to": {"n9"}}, 409, faultPattern},
				{"POST", paths.transfer, url.Values{paths.leaseParameter: {"list"}}, 200, donePattern},
				{"POST", paths.add, url.Values{"name": {"n1"}, "address": {"127.0.0.1:1"}}, 409, faultPattern},
				{"POST", paths.remove, url.Values{"name": {"n9"}}, 409, faultPattern},
				{"POST", paths.add, url.Values{"name": {"n2"}, "address": {"127.0.0.1:2"}}, 200, donePattern},
				{"GET", paths.transfer, nil, 405, "^Method Not Allowed\n$"},
			} {
				status, body := requestAdminAPI(t, a, c.method, c.path, c.q)
				assert.Equal(t, c.status, status, "%s %s %v", c.method, c.path, c.q)
				assert.Regexp(t, c.body, body, "%s %s %v", c.method, c.path, c.q)
			}
			warnings := 0
			if paths.transfer == "/v1/fleet/hand" {
				warnings = 1
			}
			for _, warning := range []string{"path=/v1/fleet/hand replacement=/v1/fleet/transfer", "path=/v1/fleet/keepers/add replacement=/v1/fleet/voters/add",
				"path=/v1/fleet/keepers/remove replacement=/v1/fleet/voters/remove"} {
				assert.Equal(t, warnings, strings.Count(log.String(), "deprecated admin API path requested\" "+warning), warning)
			}
		})
	}
}

func TestOtherAdminAPIPathsAnswerAsInVersion030(t *testing.T) {
	a := startVoter(t)
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"POST", "/v1/fleet/voters/recover", 409, faultPattern},
		{"GET", "/v1/fleet/voters/recovery", 409, faultPattern},
		{"GET", "/v1/fleet/roll", 404, "^404 page not found\n$"}, // the form rollout is missing
	} {
		status, body := requestAdminAPI(t, a, c.method, c.path, nil)
		assert.Equal(t, c.status, status, "%s %s", c.method, c.path)
		assert.Regexp(t, c.body, body, "%s %s", c.method, c.path)
	}
	for _, path := range []string{"/v1/fleet", "/v1/fleet/counters"} {
		_, body := requestAdminAPI(t, a, "GET", path, nil)
		assert.True(t, json.Valid([]byte(body)), path)
	}
}

// A request to the leader that is never answered times out. An answer that arrives later is ignored.
func TestRequestWithoutAnswerIsRejected(t *testing.T) {
	a := startVoter(t)
	err := a.requestLeader(func(*fleet.Node, time.Duration) uint64 { return 1 << 40 })
	assert.ErrorIs(t, err, errNoAnswer)
	a.requests.finish(fleet.RequestDone{ID: 1 << 40})
	assert.Empty(t, a.requests.byID)
}
