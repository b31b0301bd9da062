package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/framing"
	"dapplerouter/testsupport/fakeserver"
	"dapplerouter/testsupport/faultproxy"
)

// twoSites is a pair of gateway instances with a fault proxy between them. Each has a group of its own: the local one, kathmandu, has
// group 0, and the remote one, pokhara, has group 1.
type twoSites struct {
	t           testing.TB
	local       *instance
	remote      *instance
	localGroup  *fakeserver.Group
	remoteGroup *fakeserver.Group
	proxy       *faultproxy.Proxy
	remoteFile  string
	settings    []setting // of both instances
}

// plainLink is the format of a gateway form without keys. Its arguments are the site, the peer's site, the setting address or listen, the
// value of this setting, and the peer's group.
const plainLink = `(gateway (here %s) (peer %s (%s "%s") (groups %d) (plain loopback)
 (heartbeat 50ms) (silence 250ms) (recover 600ms) (retain 3s)))`

// startSites starts both gateway instances and waits until requests are forwarded in both directions. keys holds the key settings of the
// local and the remote site; both are empty for a link without keys.
func startSites(t testing.TB, keys [2]string) *twoSites {
	return startSitesWith(t, keys, func(*twoSites) {})
}

// startSitesWith is startSites with a function that may change the fake servers and the settings before the gateways start.
func startSitesWith(t testing.TB, keys [2]string, prepare func(*twoSites)) *twoSites {
	s := &twoSites{t: t, localGroup: startGroup(t, 2), remoteGroup: startGroup(t, 2)}
	s.remoteGroup.ID, s.remoteGroup.MinDuration = 1, 3*time.Millisecond
	prepare(s)
	address := reserveAddress(t) // a fixed address, so that the remote site can restart on it
	s.remoteFile = fmt.Sprintf(plainLink, "pokhara", "kathmandu", "listen", address, 0)
	localFile := fmt.Sprintf(plainLink, "kathmandu", "pokhara", "address", "HOP", 1)
	if keys[0] != "" {
		localFile = strings.Replace(localFile, "(plain loopback)", keys[0], 1)
		s.remoteFile = strings.Replace(s.remoteFile, "(plain loopback)", keys[1], 1)
	}
	s.remote = startInstance(t, s.remoteGroup, s.remoteFile, s.settings...)
	var err error
	s.proxy, err = faultproxy.New(address, 7)
	require.NoError(t, err)
	s.local = startInstance(t, s.localGroup, strings.Replace(localFile, "HOP", s.proxy.Address(), 1), s.settings...)
	t.Cleanup(func() {
		s.local.stopAndWait()
		s.remote.stopAndWait()
		s.proxy.Close()
	})
	s.awaitLink()
	return s
}

// awaitLink waits until each site serves reads of the other's group.
func (s *twoSites) awaitLink() {
	for g, at := range []*instance{s.remote, s.local} { // g is the group of the other site
		c := dial(s.t, at.address)
		require.Eventually(s.t, func() bool {
			a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=up%d,c=browse,d=3000,cluster=%d */", time.Now().UnixNano(), g))
			return err == nil && a.Code == ""
		}, 10*time.Second, 5*time.Millisecond)
	}
}

// restartRemote restarts the remote instance, which loses its state.
func (s *twoSites) restartRemote() {
	s.remote.stopAndWait()
	s.remote = startInstance(s.t, s.remoteGroup, s.remoteFile, s.settings...)
}

// keyedInsert returns a write with an idempotency key.
func keyedInsert(id string, group int) string {
	return fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id /* id=%s,c=book,k=m%s,d=3000,cluster=%d */",
		id, id, id, group)
}

// unkeyedInsert returns a write of a type that is not idempotent.
func unkeyedInsert(id string, group int) string {
	return fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id /* id=%s,c=pay,d=3000,cluster=%d */",
		id, id, group)
}

// Each site serves requests for both groups, and a request runs once, at the site of its group.
func TestRequestIsForwardedToSiteOfItsGroup(t *testing.T) {
	s := startSites(t, [2]string{})
	for from, c := range map[string]*fakeserver.Client{"here": dial(t, s.local.address), "there": dial(t, s.remote.address)} {
		for g, group := range []*fakeserver.Group{s.localGroup, s.remoteGroup} {
			id := fmt.Sprintf("%s%d", from, g)
			a, err := c.Query(keyedInsert(id, g))
			require.NoError(t, err)
			require.Equal(t, [][]string{{id}}, a.Rows, "%+v", a)
			assert.Equal(t, 1, group.ExecutionCount(id))
		}
	}
	c := dial(t, s.local.address)
	a, err := c.Query("SELECT 'x' /* id=r,c=browse,d=3000,cluster=1 */")
	require.NoError(t, err)
	assert.Len(t, a.Rows, 1, "%+v", a)
	a, err = c.Query("SELECT 'x' /* id=q,c=browse,d=3000,cluster=9 */")
	require.NoError(t, err)
	assert.Equal(t, "22023", a.Code)
}

// injectFaults injects random faults into the proxied connection until stop is closed. The seed determines them. It removes all faults
// before it returns.
func injectFaults(h *faultproxy.Proxy, seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 2))
	for {
		healthyTime := time.Duration(10+r.IntN(60)) * time.Millisecond
		switch r.IntN(7) {
		case 0:
			h.ResetConnections()
		case 1:
			h.SetConditions(faultproxy.ToTarget, faultproxy.Conditions{Stall: true})
		case 2:
			h.SetConditions(faultproxy.FromTarget, faultproxy.Conditions{Blackhole: true})
		case 3:
			h.SetConditions(faultproxy.Direction(r.IntN(2)), faultproxy.Conditions{BreakAfterBytes: 1 + r.Int64N(3000)})
		case 4:
			h.SetConditions(faultproxy.FromTarget, faultproxy.Conditions{Delay: 30 * time.Millisecond, Jitter: 60 * time.Millisecond})
		case 5:
			h.SetConditions(faultproxy.Direction(r.IntN(2)), faultproxy.Conditions{CorruptProbability: 0.02})
		case 6: // ten resets a second
			for range 5 {
				h.ResetConnections()
				time.Sleep(100 * time.Millisecond)
			}
		}
		faultTime := time.Duration(20+r.IntN(400)) * time.Millisecond
		for _, d := range []time.Duration{faultTime, healthyTime} {
			select {
			case <-stop:
				h.SetConditions(faultproxy.ToTarget, faultproxy.Conditions{})
				h.SetConditions(faultproxy.FromTarget, faultproxy.Conditions{})
				return
			case <-time.After(d):
			}
			h.SetConditions(faultproxy.ToTarget, faultproxy.Conditions{})
			h.SetConditions(faultproxy.FromTarget, faultproxy.Conditions{})
		}
	}
}

// outcomes counts the outcomes of requests as their clients see them. wrong counts requests without a response, or with that of another
// request.
type outcomes struct {
	served, rejected, failed, other, wrong atomic.Int64
}

// runClients sends n requests through concurrent clients of the local site, for the group of the remote site. Each client has one request
// in flight. It returns the counted outcomes, and the error code of each request by id, "" for success.
func (s *twoSites) runClients(count int, n int64, statement func(id string, group int) string, name string) (*outcomes, *sync.Map) {
	var (
		next  atomic.Int64
		out   outcomes
		codes sync.Map
		all   sync.WaitGroup
	)
	for range count {
		all.Go(func() {
			c, err := fakeserver.Dial(s.local.address)
			for k := next.Add(1); k <= n; k = next.Add(1) {
				for c == nil || err != nil {
					c, err = fakeserver.Dial(s.local.address)
				}
				id := fmt.Sprintf("%s%d", name, k)
				a, queryErr := c.Query(statement(id, 1))
				switch {
				case queryErr != nil:
					out.wrong.Add(1)
					c.Close()
					c = nil
					continue
				case a.Code == "53300":
					out.rejected.Add(1)
					time.Sleep(2 * time.Millisecond)
				case a.Code == "40000":
					out.failed.Add(1)
				case a.Code != "":
					out.other.Add(1)
				case len(a.Rows) != 1 || a.Rows[0][0] != id:
					out.wrong.Add(1)
				default:
					out.served.Add(1)
				}
				codes.Store(id, a.Code)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	all.Wait()
	return &out, &codes
}

// While the link suffers faults, no write runs twice, each request gets its own response, and a rejected write has not run.
func TestLinkFaultsNeitherDuplicateWritesNorLoseAnswers(t *testing.T) {
	s := startSites(t, [2]string{})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { injectFaults(s.proxy, 11, stop); close(stopped) }()
	n := int64(2500)
	var both sync.WaitGroup
	check := func(out *outcomes, codes *sync.Map, name string) {
		responses := 0
		codes.Range(func(k, code any) bool {
			responses++
			id, executions := k.(string), s.remoteGroup.ExecutionCount(k.(string))
			assert.LessOrEqual(t, executions, 1, "%s was executed %d times", id, executions)
			if code == "" {
				assert.Equal(t, 1, executions, "%s succeeded", id)
			}
			if code == "53300" && name == "pay" {
				assert.Zero(t, executions, "%s was rejected but executed: a client's retry would duplicate it", id)
			}
			return true
		})
		assert.EqualValues(t, n, responses, "some requests have no response")
		assert.Zero(t, out.wrong.Load(), "responses are missing or belong to other requests")
		assert.Zero(t, out.other.Load())
		t.Logf("%s: %d served, %d rejected, %d rolled back", name, out.served.Load(), out.rejected.Load(), out.failed.Load())
		assert.Greater(t, out.served.Load(), n/10)
	}
	for name, statement := range map[string]func(string, int) string{"book": keyedInsert, "pay": unkeyedInsert} {
		both.Go(func() {
			out, codes := s.runClients(8, n, statement, name)
			check(out, codes, name)
		})
	}
	both.Wait()
	close(stop)
	<-stopped
	counts, _, _, _ := s.local.link.link.Counters()
	t.Logf("%+v", counts)
	assert.Positive(t, counts.OutcomeUnknown)
	assert.Positive(t, counts.Recovered)
	assert.Positive(t, counts.ProvenNotExecuted)
}

// The remote instance restarts under load: no write that is not idempotent runs twice, and a rejected one has not run.
func TestRestartOfRemoteInstanceDuplicatesNoWrite(t *testing.T) {
	s := startSites(t, [2]string{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		out, codes := s.runClients(8, 1500, unkeyedInsert, "p")
		assert.Zero(t, out.wrong.Load())
		codes.Range(func(k, code any) bool {
			executions := s.remoteGroup.ExecutionCount(k.(string))
			assert.LessOrEqual(t, executions, 1)
			if code == "53300" {
				assert.Zero(t, executions, "%s was rejected but executed", k)
			}
			return true
		})
		assert.Greater(t, out.served.Load(), int64(100))
	}()
	for range 2 {
		time.Sleep(150 * time.Millisecond)
		s.restartRemote()
	}
	<-done
}

// A forwarded read never returns data older than its staleness bound, here one second, however slow the link is.
func TestForwardedReadsStayWithinStalenessBound(t *testing.T) {
	s := startSites(t, [2]string{})
	s.remoteGroup.ReplicaLag.Store(int64(400 * time.Millisecond))
	s.proxy.SetConditions(faultproxy.FromTarget, faultproxy.Conditions{Delay: 500 * time.Millisecond, Jitter: 200 * time.Millisecond})
	time.Sleep(300 * time.Millisecond) // the first gap closes the link, which then reconnects
	s.awaitLink()
	served, failed := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range 8 {
		all.Go(func() {
			c := dial(t, s.local.address)
			for i := range 12 {
				a, err := c.Query(fmt.Sprintf("SELECT 'age_of_data' /* id=a%d.%d,c=slots,d=3000,cluster=1 */", k, i))
				received := time.Now()
				if !assert.NoError(t, err) {
					return
				}
				mu.Lock()
				if a.Code == "" {
					served++
					at, err := strconv.ParseInt(a.Rows[0][0], 10, 64)
					assert.NoError(t, err)
					assert.LessOrEqual(t, received.Sub(time.UnixMilli(at)), time.Second+50*time.Millisecond)
				} else {
					failed++
				}
				mu.Unlock()
				if a.Code != "" {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d served within the bound, %d failed", served, failed)
	assert.Positive(t, served)
}

// While the link is down, requests for the remote group are rejected immediately with a retry hint, and the local group is served.
func TestForwardedRequestsAreRejectedAtOnceWhileLinkIsDown(t *testing.T) {
	s := startSites(t, [2]string{})
	s.proxy.RejectConnections(true)
	s.proxy.ResetConnections()
	require.Eventually(t, func() bool { return !s.local.link.link.Up() }, 5*time.Second, time.Millisecond)
	c := dial(t, s.local.address)
	for i := range 5 {
		start := time.Now()
		a, err := c.Query(unkeyedInsert(fmt.Sprintf("d%d", i), 1))
		require.NoError(t, err)
		assert.Equal(t, "53300", a.Code)
		assert.NotEmpty(t, a.Detail, "the rejection has no retry hint")
		assert.Less(t, time.Since(start), 500*time.Millisecond)
		a, err = c.Query(keyedInsert(fmt.Sprintf("own%d", i), 0))
		require.NoError(t, err)
		assert.Empty(t, a.Code, "the local group is not served")
	}
	s.proxy.RejectConnections(false)
	s.awaitLink()
	require.Eventually(t, func() bool {
		a, err := c.Query(keyedInsert(fmt.Sprintf("back%d", time.Now().UnixNano()), 1))
		return err == nil && a.Code == ""
	}, 5*time.Second, 10*time.Millisecond)
}

// A link with keys accepts only the peer's trusted key. A new key is accepted once its certificate is trusted beside the old one.
func TestLinkAcceptsOnlyThePeersKey(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	form := func(site, trusts string) string {
		key, cert, err := framing.NewKeyPair(site, false, 30)
		require.NoError(t, err)
		write(site+".key", key)
		write(site+".crt", cert)
		return fmt.Sprintf(`(key %q) (certificate %q) (trust %q)`, filepath.Join(dir, site+".key"), filepath.Join(dir, site+".crt"),
			filepath.Join(dir, trusts+".crt"))
	}
	write("kathmandu.crt", nil)
	k, p := form("kathmandu", "pokhara"), form("pokhara", "kathmandu")
	s := startSites(t, [2]string{k, p})
	c := dial(t, s.local.address)
	a, err := c.Query(keyedInsert("tls", 1))
	require.NoError(t, err)
	require.Empty(t, a.Code)

	// The local site gets a new key under the same name, which the peer does not trust, and the link is reset.
	old, err := os.ReadFile(filepath.Join(dir, "kathmandu.crt"))
	require.NoError(t, err)
	key, cert, err := framing.NewKeyPair("kathmandu", false, 30)
	require.NoError(t, err)
	write("kathmandu.key", key)
	write("kathmandu.crt", cert)
	write("trusted", old)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "kathmandu.crt"), old, 0o600))
	s.proxy.ResetConnections()
	time.Sleep(300 * time.Millisecond) // the key does not match its certificate: the link stays down
	assert.False(t, s.remote.link.link.Up())
	// Key rotation: the new certificate is trusted beside the old one, and the link comes up with the new key.
	require.NoError(t, os.WriteFile(filepath.Join(dir, "kathmandu.crt"), append(cert, old...), 0o600))
	s.awaitLink()
	a, err = c.Query(keyedInsert("rotated", 1))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
}

// A session sees its own write after a restart of the remote instance, which has lost the positions of sessions, though the servers don't
// check positions and the replica lags. The local instance forwards the session's position with the read.
func TestReadYourWritesAcrossRestartOfRemoteInstance(t *testing.T) {
	s := startSitesWith(t, [2]string{}, func(s *twoSites) { s.settings = []setting{{"Checks", "silent"}} }) // the servers don't check positions
	s.remoteGroup.ReplicaLag.Store(int64(time.Hour))
	c := dial(t, s.local.address)
	for i := range 3 {
		id := fmt.Sprintf("diner%d", i)
		var writeAnswered int64 // Unix milliseconds
		require.Eventually(t, func() bool {
			a, err := c.Query(fmt.Sprintf("INSERT INTO bookings (id, house) VALUES ('%s', '1') RETURNING id /* id=w%d.%d,c=book,k=%d,d=3000,cluster=1 */",
				id, i, time.Now().UnixNano(), time.Now().UnixNano()))
			writeAnswered = time.Now().UnixMilli()
			return err == nil && a.Code == ""
		}, 10*time.Second, 10*time.Millisecond)
		s.restartRemote()
		s.awaitLink()
		for k := range 4 {
			a, err := c.Query(fmt.Sprintf("SELECT '%s', 'age_of_data' /* id=r%d.%d,c=mine,d=3000,cluster=1 */", id, i, k))
			require.NoError(t, err)
			require.Empty(t, a.Code)
			at, err := strconv.ParseInt(a.Rows[0][0], 10, 64)
			require.NoError(t, err)
			assert.GreaterOrEqual(t, at, writeAnswered, "the read returned data of %d, the write was answered at %d", at, writeAnswered)
		}
	}
}

// When a client disconnects, its forwarded request is cancelled at both sites: none stays in flight.
func TestClientDisconnectCancelsForwardedRequest(t *testing.T) {
	s := startSites(t, [2]string{})
	arrived := make(chan struct{}, 1)
	for _, m := range s.remoteGroup.Servers {
		m.SetFault(func(_ int, sql string) fakeserver.Fault {
			if strings.Contains(sql, "id=leaves") {
				arrived <- struct{}{}
				return fakeserver.Fault{Delay: 500 * time.Millisecond}
			}
			return fakeserver.Fault{}
		})
	}
	c, err := fakeserver.Dial(s.local.address)
	require.NoError(t, err)
	go c.Query(unkeyedInsert("leaves", 1))
	<-arrived
	c.Close()
	for name, at := range map[string]*instance{"here": s.local, "there": s.remote} {
		require.Eventually(t, func() bool {
			_, _, sent, received := at.link.link.Counters()
			return sent+received == 0
		}, 400*time.Millisecond, time.Millisecond, name)
	}
	a, err := dial(t, s.local.address).Query(unkeyedInsert("stays", 1))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
}

// Both sites restart under load, one after the other. Accepted requests get their own responses, and no write runs twice.
func TestBothSitesRestartUnderLoad(t *testing.T) {
	s := startSites(t, [2]string{})
	var responses, wrong atomic.Int64
	var all sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	var ids []string
	for k := range 6 {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				address := s.local.address
				mu.Unlock()
				c, err := fakeserver.Dial(address)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("b%d.%d", k, i)
				a, err := c.Query(unkeyedInsert(id, 1))
				c.Close()
				if err != nil { // closed before the request was accepted: the client may retry, which it does here under a new id
					continue
				}
				responses.Add(1)
				if a.Code == "" && (len(a.Rows) != 1 || a.Rows[0][0] != id) {
					wrong.Add(1)
				}
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	s.restartRemote()
	old := s.local
	next := startInstance(t, s.localGroup, strings.Replace(fmt.Sprintf(plainLink, "kathmandu", "pokhara", "address", "HOP", 1), "HOP", s.proxy.Address(), 1))
	mu.Lock()
	s.local = next
	mu.Unlock()
	old.stopAndWait()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	all.Wait()
	s.awaitLink()
	for _, id := range ids {
		assert.LessOrEqual(t, s.remoteGroup.ExecutionCount(id), 1, id)
	}
	assert.Zero(t, wrong.Load())
	assert.Greater(t, responses.Load(), int64(50))
}

// The local site has a replica of the remote group. While the link is down, the replica serves reads that allow any data. Writes are
// rejected immediately and are not sent to the replica.
func TestLocalReplicaServesRemoteGroupWhileLinkIsDown(t *testing.T) {
	s := startSitesWith(t, [2]string{}, func(s *twoSites) { s.localGroup.ForeignServers = s.remoteGroup.Servers[1:] })
	s.proxy.RejectConnections(true)
	s.proxy.ResetConnections()
	require.Eventually(t, func() bool { return !s.local.link.link.Up() }, 5*time.Second, time.Millisecond)
	c := dial(t, s.local.address)
	before := len(s.remoteGroup.Servers[0].Statements())
	for i := range 5 {
		a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=l%d,c=browse,d=3000,cluster=1 */", i))
		require.NoError(t, err)
		assert.Empty(t, a.Code)
		start := time.Now()
		a, err = c.Query(keyedInsert(fmt.Sprintf("lw%d", i), 1))
		require.NoError(t, err)
		assert.Equal(t, "53300", a.Code)
		assert.Less(t, time.Since(start), 500*time.Millisecond)
		assert.Zero(t, s.remoteGroup.ExecutionCount(fmt.Sprintf("lw%d", i)))
	}
	assert.Equal(t, before, len(s.remoteGroup.Servers[0].Statements()), "the remote primary received a statement")
	for _, seen := range s.remoteGroup.Servers[1].Statements() {
		assert.NotContains(t, seen.SQL, "INSERT", "a write was sent to the local replica")
	}
}
