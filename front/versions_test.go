package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// fakeAuditor is an Auditor that counts accepted and finished requests and stores the last version and index.
type fakeAuditor struct {
	accepted, finished int
	statuses           [StatusCount]int
	version            uint64
	index              int64
}

func (a *fakeAuditor) RequestAccepted(time.Duration, []byte, int) uint32 {
	a.accepted++
	return uint32(a.version)
}
func (a *fakeAuditor) RequestFinished(_ time.Duration, interval uint32, _ int, status Status) {
	a.finished++
	a.statuses[status]++
}
func (a *fakeAuditor) EndpointsChanged(_ time.Duration, index int64) { a.index = index }
func (a *fakeAuditor) Tick(time.Duration)                            {}
func (a *fakeAuditor) Close(time.Duration)                           {}
func (a *fakeAuditor) LeaseChanged(_, _ time.Duration, _ bool)       {}
func (a *fakeAuditor) ConfigAdopted(_ time.Duration, version uint64) { a.version = version }

// newLeasedCore creates a core in a fleet whose lease of version 0 expires at 100 ms.
func newLeasedCore(t *testing.T) (c *Core, router *fakeRouter, network *fakeNetwork, auditor *fakeAuditor, now *time.Duration) {
	t.Helper()
	c, router, network = newTestCore(t)
	auditor, now = &fakeAuditor{}, new(time.Duration)
	c.JoinFleet(FleetOptions{Clock: func() time.Duration { return *now }, Auditor: auditor})
	c.Post(RenewLease{Expiry: 100 * ms})
	c.batch(0)
	return c, router, network, auditor, now
}

func TestRequestKeepsItsConfigVersion(t *testing.T) {
	c, router, network := newTestCore(t)
	c.catalog.types[0].Consistency, c.catalog.types[0].MaxStaleness = routing.BoundedStaleness, 3*time.Second
	c.versions.current = &configVersion{types: c.catalog.types}
	receive(t, c, network, browse)
	c.batch(10 * ms)
	at := time.Duration(-1)
	rules := &deployment.Rules{MaxStaleness: map[string]time.Duration{"browse": time.Second}, RejectedGroups: []int64{4}}
	c.Post(AdoptConfig{Version: 2, Rules: rules, OnAdopted: func(d time.Duration) { at = d }})
	c.batch(20 * ms)
	assert.Equal(t, 20*ms, at, "the time of the adoption")
	receive(t, c, network, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	c.batch(30 * ms)
	require.Len(t, router.requests, 2)
	assert.Equal(t, []time.Duration{3 * time.Second, time.Second},
		[]time.Duration{router.requests[0].MaxStaleness, router.requests[1].MaxStaleness})
	old := c.requests.table.MustGet(router.requests[0].Ref).Value
	assert.EqualValues(t, 0, old.version.number)
	assert.Equal(t, 3*time.Second, old.version.types[0].MaxStaleness, "the request keeps its version")

	olderFinished := 0
	c.Post(AdoptConfig{Version: 2, OnOlderFinished: func() { olderFinished++ }})
	c.batch(35 * ms)
	assert.Zero(t, olderFinished, "there are unfinished requests under older versions")
	router.onReconcile = func(router *fakeRouter) {
		router.Fail(router.requests[0].Ref)
		router.Reject(router.requests[1].Ref, 0)
	}
	c.batch(36 * ms)
	assert.Equal(t, 1, olderFinished)
	network.responses = nil

	c.Post(AdoptConfig{Version: 3, Rules: &deployment.Rules{RejectedGroups: []int64{9}}})
	c.batch(40 * ms)
	receive(t, c, network, "SELECT data FROM facts WHERE code = 'k' /* id=3,c=browse,t=acme,d=100,cluster=9 */")
	c.batch(50 * ms)
	assert.Len(t, router.requests, 2)
	require.Len(t, network.responses, 1)
	assert.Equal(t, StatusInvalid, network.responses[0].Status)
	assert.Contains(t, network.responses[0].Reason, "given up")
}

func TestStandbyAfterLeaseExpiry(t *testing.T) {
	c, router, network, auditor, now := newLeasedCore(t)
	standby := []bool{}
	c.fleet.OnStandby = func(on bool) { standby = append(standby, on) }
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	*now = 100 * ms
	c.batch(100 * ms)
	require.Len(t, network.responses, 1, "the response is sent as soon as the lease expires")
	assert.Equal(t, StatusRejected, network.responses[0].Status, "it is safe to send a read again")
	assert.Equal(t, 1, network.aborts)
	assert.Equal(t, routing.Cancelled, router.outcomes[0].Result)
	assert.True(t, router.outcomes[0].RequestFinished)
	assert.Zero(t, c.requests.table.Len())
	receive(t, c, network, browse)
	c.batch(110 * ms)
	assert.Len(t, router.requests, 1, "no new request is accepted")
	require.Len(t, network.responses, 2)
	assert.Equal(t, StatusRejected, network.responses[1].Status)
	c.Post(RenewLease{Expiry: 300 * ms})
	c.batch(120 * ms)
	receive(t, c, network, browse)
	c.batch(130 * ms)
	assert.Len(t, router.requests, 2)
	assert.Equal(t, []bool{true, false}, standby)
	assert.Equal(t, [2]int{2, 1}, [2]int{auditor.accepted, auditor.finished})
}

func TestWriteAtLeaseExpiry(t *testing.T) {
	for name, x := range map[string]struct {
		sent   bool
		status Status
		result routing.AttemptResult
	}{
		"a write that may have run fails":       {true, StatusFailed, routing.Cancelled},
		"a write that was not sent is rejected": {false, StatusRejected, routing.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			c, router, network, _, _ := newLeasedCore(t)
			c.catalog.types[1].Idempotency = routing.IdempotencyKey
			receive(t, c, network, "INSERT INTO facts (id) VALUES ('k') /* id=1,c=order,k=9,d=500,cluster=9 */")
			router.onReconcile = start(0)
			c.batch(10 * ms)
			if x.sent {
				network.begin(t, 0)
			}
			c.batch(150 * ms)
			require.Len(t, network.responses, 1)
			assert.Equal(t, x.status, network.responses[0].Status)
			assert.Equal(t, x.result, router.outcomes[0].Result)
			assert.False(t, !x.sent && network.sent[0].Begin(func() {}), "an attempt that was not sent cannot be sent afterwards")
		})
	}
}

// The process may be suspended after the core has checked the lease and before the sender writes. The sender therefore checks the lease
// itself. If it finds the lease expired, the request ends even if the lease is renewed before the core checks it again.
func TestNothingSentUnderExpiredLease(t *testing.T) {
	c, router, network, _, now := newLeasedCore(t)
	receiveAndStart(t, c, router, network)
	*now = 60 * time.Second
	assert.False(t, network.sent[0].Begin(func() {}))
	c.Post(RenewLease{Expiry: 70 * time.Second})
	c.batch(60 * time.Second)
	require.Len(t, network.responses, 1)
	assert.Equal(t, StatusRejected, network.responses[0].Status)
	assert.Equal(t, routing.NotSent, router.outcomes[0].Result)
	assert.False(t, network.sent[0].Begin(func() {}), "the renewed lease does not apply to the attempt")
	receive(t, c, network, browse)
	c.batch(60*time.Second + ms)
	assert.Len(t, router.requests, 2)
}

func TestAuditedRequestsFinishOnce(t *testing.T) {
	c, router, network, auditor, _ := newLeasedCore(t)
	r := receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	c.Post(ClientGone{r})
	c.batch(20 * ms)
	receive(t, c, network, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	router.onReconcile = func(router *fakeRouter) { router.Fail(router.requests[1].Ref) }
	c.batch(30 * ms)
	c.batch(200 * ms)
	assert.Equal(t, 2, auditor.accepted)
	assert.Equal(t, 2, auditor.finished)
	assert.Equal(t, 1, auditor.statuses[StatusAbandoned])
	assert.Equal(t, 1, auditor.statuses[StatusFailed])
}

// Requests under an older version continue under that version's lease and end when it expires, while the front continues to serve under
// the current version.
func TestRequestsEndWithTheLeaseOfTheirVersion(t *testing.T) {
	c, router, network, _, _ := newLeasedCore(t)
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	c.Post(AdoptConfig{Version: 2, LeaseExpiry: 400 * ms})
	c.batch(50 * ms)
	assert.Equal(t, []uint64{0, 2}, c.ActiveVersions())
	receive(t, c, network, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=300,cluster=9 */")
	router.onReconcile = start(1)
	c.batch(60 * ms)
	network.begin(t, 1)
	c.Post(RenewLease{Version: 2, Expiry: 500 * ms})
	c.batch(90 * ms)
	assert.Empty(t, network.responses)
	c.batch(100 * ms)
	require.Len(t, network.responses, 1, "the lease of version 0 has expired")
	assert.False(t, c.Standby())
	assert.Equal(t, 1, c.requests.table.Len(), "the request under version 2 continues")
}
