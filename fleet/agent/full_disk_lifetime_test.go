package agent

import (
	"net/http"
	"net/url"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// startOnFullDisk starts an agent none of whose files and directories can be created until the calls are repaired.
func startOnFullDisk(t *testing.T) (a *Agent, paths diskPaths, failing *failingCalls) {
	t.Helper()
	paths, failing = newDiskPaths(t), failingCreateCalls(syscall.ENOSPC)
	a = newVoterAgent(t, paths.configure, func(c *Config) { c.Calls = failing.calls() })
	require.NoError(t, a.Start())
	return a, paths, failing
}

// An agent that stops while all its files fail stops as usual and tries none of them later. Each failure was logged once.
func TestAgentClosesWhileAllItsFilesFail(t *testing.T) {
	log := captureLog(t)
	a, paths, failing := startOnFullDisk(t)
	time.Sleep(failingTime)
	for _, message := range []string{"audit: log can't be opened", "audit: collection can't begin", "fleet: directory of configuration versions can't be created",
		"fleet: voter file can't be opened", "fleet: history not written"} {
		assert.Equal(t, 1, strings.Count(log.String(), message), message)
	}
	began := time.Now()
	a.Drain(time.Second)
	a.Close()
	assert.Less(t, time.Since(began), 2*time.Second)
	attempts := map[string]int{}
	for _, path := range []string{paths.voterDir, paths.audit, paths.collected, paths.versions, paths.history} {
		attempts[path] = failing.failures(path)
	}
	time.Sleep(3 * diskRetryInterval)
	for path, n := range attempts {
		assert.Equal(t, n, failing.failures(path), "attempts after Close for %s", path)
	}
}

// An agent that drains before its voter's file is open holds no lease afterwards either, and then stops as usual.
func TestDrainedAgentHoldsNoLeaseOnceItsVoterFileOpens(t *testing.T) {
	a, paths, failing := startOnFullDisk(t)
	began := time.Now()
	a.Drain(5 * time.Second)
	assert.Less(t, time.Since(began), time.Second)
	failing.repair()
	require.Eventually(t, func() (leads bool) {
		a.mesh.Do(func(n *fleet.Node, _ time.Duration) { leads = n.IsLeader() })
		return leads
	}, 20*time.Second, 5*time.Millisecond)
	assert.FileExists(t, paths.voter)
	assert.Never(t, func() bool { return holdsListLease(a) }, 3*a.config.LeaseDuration, 5*time.Millisecond)
	began = time.Now()
	a.Close()
	assert.Less(t, time.Since(began), 2*time.Second)
}

// The admin API answers while the voter's file is not open. What needs the fleet or the voter's file is rejected.
func TestAdminAPIAnswersBeforeVoterFileIsOpen(t *testing.T) {
	a, _, failing := startOnFullDisk(t)
	t.Cleanup(a.Close)
	for _, c := range []struct {
		method, path string
		q            url.Values
		status       int
	}{
		{http.MethodGet, "/v1/fleet", nil, http.StatusOK},
		{http.MethodGet, "/v1/fleet/counters", nil, http.StatusOK},
		{http.MethodGet, "/v1/fleet/voters/recovery", nil, http.StatusConflict},
		{http.MethodPost, "/v1/fleet/voters/recover", url.Values{"confirm": {"yes"}, "reason": {"test"}}, http.StatusConflict},
		{http.MethodPost, "/v1/fleet/voters/add", url.Values{"name": {"n2"}, "address": {"127.0.0.1:2"}}, http.StatusConflict},
	} {
		status, body := requestAdminAPI(t, a, c.method, c.path, c.q)
		assert.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, body)
	}
	failing.repair()
	require.Eventually(t, func() bool { return holdsListLease(a) }, 20*time.Second, 5*time.Millisecond)
	assert.NotContains(t, a.status().Voters, fleet.Voter{Name: "n2", Address: "127.0.0.1:2"}, "a request that was rejected before")
}

// The history is not opened again by an event that arrives after it was closed.
func TestHistoryStaysClosed(t *testing.T) {
	a, paths, failing := startOnFullDisk(t)
	recorded := make(chan struct{})
	go func() { // like the goroutine of a change to standby, which Close does not wait for
		defer close(recorded)
		for range 100 {
			a.history.recordVersion(a.mesh, standbyBegan, 0)
		}
	}()
	a.Close()
	<-recorded
	failing.repair()
	a.history.recordVersion(a.mesh, standbyEnded, 0)
	_, err := os.Lstat(paths.history)
	assert.ErrorIs(t, err, os.ErrNotExist)
}
