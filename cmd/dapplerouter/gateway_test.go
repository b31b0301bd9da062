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

// twoSites are two gateways with a fault proxy between them, each with a group of its own: 0 at kathmandu, 1 at pokhara.
type twoSites struct {
	t           testing.TB
	local       *instance
	remote      *instance
	localGroup  *fakeserver.Group
	remoteGroup *fakeserver.Group
	proxy       *faultproxy.Hop
	remoteFile  string
	settings    []setting // of both instances
}

const plainLink = `(gateway (here %s) (peer %s (%s "%s") (groups %d) (plain loopback)
 (heartbeat 50ms) (silence 250ms) (recover 600ms) (retain 3s)))`

func startSites(t testing.TB, keys [2]string) *twoSites {
	return startSitesWith(t, keys, func(*twoSites) {})
}

// startSitesWith lets the test change the fake servers before anything else starts.
func startSitesWith(t testing.TB, keys [2]string, change func(*twoSites)) *twoSites {
	s := &twoSites{t: t, localGroup: startGroup(t, 2), remoteGroup: startGroup(t, 2)}
	s.remoteGroup.ID, s.remoteGroup.Each = 1, 3*time.Millisecond
	change(s)
	address := reserveAddress(t) // so that the remote site can restart on it
	s.remoteFile = fmt.Sprintf(plainLink, "pokhara", "kathmandu", "listen", address, 0)
	nearFile := fmt.Sprintf(plainLink, "kathmandu", "pokhara", "address", "HOP", 1)
	if keys[0] != "" {
		nearFile = strings.Replace(nearFile, "(plain loopback)", keys[0], 1)
		s.remoteFile = strings.Replace(s.remoteFile, "(plain loopback)", keys[1], 1)
	}
	s.remote = startInstance(t, s.remoteGroup, s.remoteFile, s.settings...)
	var err error
	s.proxy, err = faultproxy.New(address, 7)
	require.NoError(t, err)
	s.local = startInstance(t, s.localGroup, strings.Replace(nearFile, "HOP", s.proxy.Address(), 1), s.settings...)
	t.Cleanup(func() {
		s.local.stopAndWait()
		s.remote.stopAndWait()
		s.proxy.Close()
	})
	s.awaitLink()
	return s
}

func (s *twoSites) awaitLink() {
	for g, at := range []*instance{s.remote, s.local} { // each serves what lives at the other
		c := dial(s.t, at.address)
		require.Eventually(s.t, func() bool {
			a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=up%d,c=browse,d=3000,cluster=%d */", time.Now().UnixNano(), g))
			return err == nil && a.Code == ""
		}, 10*time.Second, 5*time.Millisecond)
	}
}

// restartRemote restarts the remote instance, which has forgotten everything.
func (s *twoSites) restartRemote() {
	s.remote.stopAndWait()
	s.remote = startInstance(s.t, s.remoteGroup, s.remoteFile, s.settings...)
}

func keyedInsert(id string, group int) string {
	return fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id /* id=%s,c=book,k=m%s,d=3000,cluster=%d */",
		id, id, id, group)
}

func unkeyedInsert(id string, group int) string {
	return fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id /* id=%s,c=pay,d=3000,cluster=%d */",
		id, id, group)
}

func TestRequestIsForwardedToSiteOfItsGroup(t *testing.T) {
	s := startSites(t, [2]string{})
	for from, c := range map[string]*fakeserver.Client{"here": dial(t, s.local.address), "there": dial(t, s.remote.address)} {
		for g, group := range []*fakeserver.Group{s.localGroup, s.remoteGroup} {
			id := fmt.Sprintf("%s%d", from, g)
			a, err := c.Query(keyedInsert(id, g))
			require.NoError(t, err)
			require.Equal(t, [][]string{{id}}, a.Rows, "%+v", a)
			assert.Equal(t, 1, group.Succeeded(id))
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

// injectFaults disturbs the connection in ways drawn by a seed until stop; it leaves none behind.
func injectFaults(h *faultproxy.Hop, seed uint64, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 2))
	for {
		fair := time.Duration(10+r.IntN(60)) * time.Millisecond
		switch r.IntN(7) {
		case 0:
			h.Break()
		case 1:
			h.Set(faultproxy.Out, faultproxy.Weather{Stall: true})
		case 2:
			h.Set(faultproxy.Back, faultproxy.Weather{Swallow: true})
		case 3:
			h.Set(faultproxy.Way(r.IntN(2)), faultproxy.Weather{BreakAfter: 1 + r.Int64N(3000)})
		case 4:
			h.Set(faultproxy.Back, faultproxy.Weather{Delay: 30 * time.Millisecond, Jitter: 60 * time.Millisecond})
		case 5:
			h.Set(faultproxy.Way(r.IntN(2)), faultproxy.Weather{Spoil: 0.02})
		case 6: // ten breaks a second
			for range 5 {
				h.Break()
				time.Sleep(100 * time.Millisecond)
			}
		}
		bad := time.Duration(20+r.IntN(400)) * time.Millisecond
		for _, d := range []time.Duration{bad, fair} {
			select {
			case <-stop:
				h.Set(faultproxy.Out, faultproxy.Weather{})
				h.Set(faultproxy.Back, faultproxy.Weather{})
				return
			case <-time.After(d):
			}
			h.Set(faultproxy.Out, faultproxy.Weather{})
			h.Set(faultproxy.Back, faultproxy.Weather{})
		}
	}
}

// outcomes counts the answers of clients.
type outcomes struct {
	served, rejected, failed, other, wrong atomic.Int64
}

// clients send n requests in all to the local site for a group of the remote one; each waits for its answer.
func (s *twoSites) clients(count int, n int64, statement func(id string, group int) string, name string) (*outcomes, *sync.Map) {
	var (
		next atomic.Int64
		out  outcomes
		said sync.Map
		all  sync.WaitGroup
	)
	for range count {
		all.Go(func() {
			c, err := fakeserver.Dial(s.local.address)
			for k := next.Add(1); k <= n; k = next.Add(1) {
				for c == nil || err != nil {
					c, err = fakeserver.Dial(s.local.address)
				}
				id := fmt.Sprintf("%s%d", name, k)
				a, failed := c.Query(statement(id, 1))
				switch {
				case failed != nil:
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
				said.Store(id, a.Code)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	all.Wait()
	return &out, &said
}

func TestLinkFaultsNeitherDuplicateWritesNorLoseAnswers(t *testing.T) {
	s := startSites(t, [2]string{})
	stop, over := make(chan struct{}), make(chan struct{})
	go func() { injectFaults(s.proxy, 11, stop); close(over) }()
	n := int64(2500)
	var two sync.WaitGroup
	check := func(out *outcomes, said *sync.Map, name string) {
		heard := 0
		said.Range(func(k, code any) bool {
			heard++
			id, did := k.(string), s.remoteGroup.Succeeded(k.(string))
			assert.LessOrEqual(t, did, 1, "%s took effect %d times", id, did)
			if code == "" {
				assert.Equal(t, 1, did, "%s was served", id)
			}
			if code == "53300" && name == "pay" {
				assert.Zero(t, did, "%s was declined: trying again must be harmless", id)
			}
			return true
		})
		assert.EqualValues(t, n, heard, "each has its answer")
		assert.Zero(t, out.wrong.Load(), "no answer is another's, none is missing")
		assert.Zero(t, out.other.Load())
		t.Logf("%s: %d served, %d declined, %d rolled back", name, out.served.Load(), out.rejected.Load(), out.failed.Load())
		assert.Greater(t, out.served.Load(), n/10)
	}
	for name, statement := range map[string]func(string, int) string{"book": keyedInsert, "pay": unkeyedInsert} {
		two.Go(func() {
			out, said := s.clients(8, n, statement, name)
			check(out, said, name)
		})
	}
	two.Wait()
	close(stop)
	<-over
	counts, _, _, _ := s.local.link.link.Counters()
	t.Logf("%+v", counts)
	assert.Positive(t, counts.OutcomeUnknown)
	assert.Positive(t, counts.Recovered)
	assert.Positive(t, counts.ProvenNotExecuted)
}

func TestRestartOfRemoteInstanceDuplicatesNoWrite(t *testing.T) {
	s := startSites(t, [2]string{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		out, said := s.clients(8, 1500, unkeyedInsert, "p")
		assert.Zero(t, out.wrong.Load())
		said.Range(func(k, code any) bool {
			did := s.remoteGroup.Succeeded(k.(string))
			assert.LessOrEqual(t, did, 1)
			if code == "53300" {
				assert.Zero(t, did, "%s was declined", k)
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

// Whatever the link does, a forwarded read is never answered from data older than its staleness bound, a second here.
func TestForwardedReadsStayWithinStalenessBound(t *testing.T) {
	s := startSites(t, [2]string{})
	s.remoteGroup.Lag.Store(int64(400 * time.Millisecond))
	s.proxy.Set(faultproxy.Back, faultproxy.Weather{Delay: 500 * time.Millisecond, Jitter: 200 * time.Millisecond})
	time.Sleep(300 * time.Millisecond) // the first gap ends the link, which comes up again behind it
	s.awaitLink()
	served, late := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range 8 {
		all.Go(func() {
			c := dial(t, s.local.address)
			for i := range 12 {
				a, err := c.Query(fmt.Sprintf("SELECT 'age_of_data' /* id=a%d.%d,c=slots,d=3000,cluster=1 */", k, i))
				heard := time.Now()
				if !assert.NoError(t, err) {
					return
				}
				mu.Lock()
				if a.Code == "" {
					served++
					at, err := strconv.ParseInt(a.Rows[0][0], 10, 64)
					assert.NoError(t, err)
					assert.LessOrEqual(t, heard.Sub(time.UnixMilli(at)), time.Second+50*time.Millisecond)
				} else {
					late++
				}
				mu.Unlock()
				if a.Code != "" {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d served within the bound, %d ended", served, late)
	assert.Positive(t, served)
}

func TestForwardedRequestsAreRejectedAtOnceWhileLinkIsDown(t *testing.T) {
	s := startSites(t, [2]string{})
	s.proxy.Refuse(true)
	s.proxy.Break()
	require.Eventually(t, func() bool { return !s.local.link.link.Up() }, 5*time.Second, time.Millisecond)
	c := dial(t, s.local.address)
	for i := range 5 {
		began := time.Now()
		a, err := c.Query(unkeyedInsert(fmt.Sprintf("d%d", i), 1))
		require.NoError(t, err)
		assert.Equal(t, "53300", a.Code)
		assert.NotEmpty(t, a.Detail, "it is told when to come back")
		assert.Less(t, time.Since(began), 500*time.Millisecond)
		a, err = c.Query(keyedInsert(fmt.Sprintf("own%d", i), 0))
		require.NoError(t, err)
		assert.Empty(t, a.Code, "what lives here goes on")
	}
	s.proxy.Refuse(false)
	s.awaitLink()
	require.Eventually(t, func() bool {
		a, err := c.Query(keyedInsert(fmt.Sprintf("back%d", time.Now().UnixNano()), 1))
		return err == nil && a.Code == ""
	}, 5*time.Second, 10*time.Millisecond)
}

func TestOnlyThePeersKeyIsAccepted(t *testing.T) {
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

	// Another key of the same name comes in place of the peer's, and the link breaks: it is refused.
	old, err := os.ReadFile(filepath.Join(dir, "kathmandu.crt"))
	require.NoError(t, err)
	key, cert, err := framing.NewKeyPair("kathmandu", false, 30)
	require.NoError(t, err)
	write("kathmandu.key", key)
	write("kathmandu.crt", cert)
	write("trusted", old)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "kathmandu.crt"), old, 0o600))
	s.proxy.Break()
	time.Sleep(300 * time.Millisecond) // the key does not fit its certificate: the link stays down
	assert.False(t, s.remote.link.link.Up())
	// Keys are changed: the new certificate is trusted beside the old, then shown.
	require.NoError(t, os.WriteFile(filepath.Join(dir, "kathmandu.crt"), append(cert, old...), 0o600))
	s.awaitLink()
	a, err = c.Query(keyedInsert("rotated", 1))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
}

// The remote instance restarts and has forgotten who wrote what, its servers check nothing and its replica lags: a session must see its
// own write all the same, since its position is forwarded with the read.
func TestReadYourWritesAcrossRestartOfRemoteInstance(t *testing.T) {
	s := startSitesWith(t, [2]string{}, func(s *twoSites) { s.settings = []setting{{"Checks", "silent"}} }) // its servers do not check
	s.remoteGroup.Lag.Store(int64(time.Hour))
	c := dial(t, s.local.address)
	for i := range 3 {
		id := fmt.Sprintf("diner%d", i)
		var wrote int64
		require.Eventually(t, func() bool {
			a, err := c.Query(fmt.Sprintf("INSERT INTO bookings (id, house) VALUES ('%s', '1') RETURNING id /* id=w%d.%d,c=book,k=%d,d=3000,cluster=1 */",
				id, i, time.Now().UnixNano(), time.Now().UnixNano()))
			wrote = time.Now().UnixMilli()
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
			assert.GreaterOrEqual(t, at, wrote, "the read saw the data of %d, the write was answered at %d", at, wrote)
		}
	}
}

// A client that disconnects cancels its forwarded request at the remote site too: nothing of it stays in flight at either site.
func TestClientDisconnectCancelsForwardedRequest(t *testing.T) {
	s := startSites(t, [2]string{})
	arrived := make(chan struct{}, 1)
	for _, m := range s.remoteGroup.Members {
		m.Break(func(_ int, sql string) fakeserver.Fault {
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
			_, _, ours, theirs := at.link.link.Counters()
			return ours+theirs == 0
		}, 400*time.Millisecond, time.Millisecond, name)
	}
	a, err := dial(t, s.local.address).Query(unkeyedInsert("stays", 1))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
}

// Both sites restart under load, one after the other: accepted requests are answered, and none runs twice.
func TestBothSitesRestartUnderLoad(t *testing.T) {
	s := startSites(t, [2]string{})
	var heard, wrong atomic.Int64
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
				if err != nil { // the connection was closed before the request was accepted: the client retries, under a new id here
					continue
				}
				heard.Add(1)
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
		assert.LessOrEqual(t, s.remoteGroup.Succeeded(id), 1, id)
	}
	assert.Zero(t, wrong.Load())
	assert.Greater(t, heard.Load(), int64(50))
}

// A replica of the remote group is at the local site. While the link is down it answers the reads that it may; the rest is rejected at
// once, and no server here is taken for a primary.
func TestLocalReplicaServesRemoteGroupWhileLinkIsDown(t *testing.T) {
	s := startSitesWith(t, [2]string{}, func(s *twoSites) { s.localGroup.Guests = s.remoteGroup.Members[1:] })
	s.proxy.Refuse(true)
	s.proxy.Break()
	require.Eventually(t, func() bool { return !s.local.link.link.Up() }, 5*time.Second, time.Millisecond)
	c := dial(t, s.local.address)
	before := len(s.remoteGroup.Members[0].Seen())
	for i := range 5 {
		a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=l%d,c=browse,d=3000,cluster=1 */", i))
		require.NoError(t, err)
		assert.Empty(t, a.Code)
		began := time.Now()
		a, err = c.Query(keyedInsert(fmt.Sprintf("lw%d", i), 1))
		require.NoError(t, err)
		assert.Equal(t, "53300", a.Code)
		assert.Less(t, time.Since(began), 500*time.Millisecond)
		assert.Zero(t, s.remoteGroup.Succeeded(fmt.Sprintf("lw%d", i)))
	}
	assert.Equal(t, before, len(s.remoteGroup.Members[0].Seen()), "the primary at the other site")
	for _, seen := range s.remoteGroup.Members[1].Seen() {
		assert.NotContains(t, seen.SQL, "INSERT", "a replica here was sent a write")
	}
}
