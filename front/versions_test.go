package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// fakeAuditor is an Auditor that counts what it is told.
type fakeAuditor struct {
	accepted, finished int
	statuses           [StatusCount]int
	version            uint64
	index              int64
}

func (l *fakeAuditor) RequestAccepted(time.Duration, []byte, int) uint32 {
	l.accepted++
	return uint32(l.version)
}
func (l *fakeAuditor) RequestFinished(_ time.Duration, span uint32, _ int, w Status) {
	l.finished++
	l.statuses[w]++
}
func (l *fakeAuditor) EndpointsChanged(_ time.Duration, index int64) { l.index = index }
func (l *fakeAuditor) Tick(time.Duration)                            {}
func (l *fakeAuditor) Close(time.Duration)                           {}
func (l *fakeAuditor) LeaseChanged(_, _ time.Duration, _ bool)       {}
func (l *fakeAuditor) ConfigAdopted(_ time.Duration, version uint64) { l.version = version }

// newLeasedCore makes a core with a lease until 100 ms.
func newLeasedCore(t *testing.T) (c *Core, m *fakeRouter, w *fakeNetwork, l *fakeAuditor, now *time.Duration) {
	t.Helper()
	c, m, w = newTestCore(t)
	l, now = &fakeAuditor{}, new(time.Duration)
	c.JoinFleet(FleetOptions{Clock: func() time.Duration { return *now }, Auditor: l})
	c.Post(RenewLease{Expiry: 100 * ms})
	c.batch(0)
	return c, m, w, l, now
}

func TestRequestKeepsItsConfigVersion(t *testing.T) {
	c, m, w := newTestCore(t)
	c.catalog.types[0].Consistency, c.catalog.types[0].MaxStaleness = routing.BoundedStaleness, 3*time.Second
	c.versions.current = &configVersion{types: c.catalog.types}
	receive(t, c, w, browse)
	c.batch(10 * ms)
	at := time.Duration(-1)
	c.Post(AdoptConfig{Version: 2, Rules: &deployment.Rules{MaxStaleness: map[string]time.Duration{"browse": time.Second}, RejectedGroups: []int64{4}},
		OnAdopted: func(d time.Duration) { at = d }})
	c.batch(20 * ms)
	assert.Equal(t, 20*ms, at, "the moment of the adoption")
	receive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	c.batch(30 * ms)
	require.Len(t, m.requests, 2)
	assert.Equal(t, []time.Duration{3 * time.Second, time.Second}, []time.Duration{m.requests[0].MaxStaleness, m.requests[1].MaxStaleness})
	old := c.requests.table.MustGet(m.requests[0].Ref).Value
	assert.EqualValues(t, 0, old.version.number)
	assert.Equal(t, 3*time.Second, old.version.types[0].MaxStaleness, "the request keeps its version")

	olderFinished := 0
	c.Post(AdoptConfig{Version: 2, OnOlderFinished: func() { olderFinished++ }})
	c.batch(35 * ms)
	assert.Zero(t, olderFinished, "requests under older versions are not finished")
	m.onReconcile = func(m *fakeRouter) { m.Fail(m.requests[0].Ref); m.Reject(m.requests[1].Ref, 0) }
	c.batch(36 * ms)
	assert.Equal(t, 1, olderFinished)
	w.responses = nil

	c.Post(AdoptConfig{Version: 3, Rules: &deployment.Rules{RejectedGroups: []int64{9}}})
	c.batch(40 * ms)
	receive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=3,c=browse,t=acme,d=100,cluster=9 */")
	c.batch(50 * ms)
	assert.Len(t, m.requests, 2)
	require.Len(t, w.responses, 1)
	assert.Equal(t, StatusInvalid, w.responses[0].Status)
	assert.Contains(t, w.responses[0].Reason, "given up")
}

func TestStandbyAfterLeaseExpiry(t *testing.T) {
	c, m, w, l, now := newLeasedCore(t)
	standby := []bool{}
	c.fleet.OnStandby = func(on bool) { standby = append(standby, on) }
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	*now = 100 * ms
	c.batch(100 * ms)
	require.Len(t, w.responses, 1, "at once")
	assert.Equal(t, StatusRejected, w.responses[0].Status, "a read may be sent again")
	assert.Equal(t, 1, w.aborts)
	assert.Equal(t, routing.Cancelled, m.outcomes[0].Result)
	assert.True(t, m.outcomes[0].RequestFinished)
	assert.Zero(t, c.requests.table.Len())
	receive(t, c, w, browse)
	c.batch(110 * ms)
	assert.Len(t, m.requests, 1, "no new request is accepted")
	require.Len(t, w.responses, 2)
	assert.Equal(t, StatusRejected, w.responses[1].Status)
	c.Post(RenewLease{Expiry: 300 * ms})
	c.batch(120 * ms)
	receive(t, c, w, browse)
	c.batch(130 * ms)
	assert.Len(t, m.requests, 2)
	assert.Equal(t, []bool{true, false}, standby)
	assert.Equal(t, [2]int{2, 1}, [2]int{l.accepted, l.finished})
}

func TestWriteAtLeaseExpiry(t *testing.T) {
	for name, x := range map[string]struct {
		sent   bool
		status Status
		result routing.AttemptResult
	}{
		"that may have run fails":       {true, StatusFailed, routing.Cancelled},
		"that was not sent is rejected": {false, StatusRejected, routing.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			c, m, w, _, _ := newLeasedCore(t)
			c.catalog.types[1].Idempotency = routing.IdempotencyKey
			receive(t, c, w, "INSERT INTO facts (id) VALUES ('k') /* id=1,c=order,k=9,d=500,cluster=9 */")
			m.onReconcile = start(0)
			c.batch(10 * ms)
			if x.sent {
				w.begin(t, 0)
			}
			c.batch(150 * ms)
			require.Len(t, w.responses, 1)
			assert.Equal(t, x.status, w.responses[0].Status)
			assert.Equal(t, x.result, m.outcomes[0].Result)
			assert.False(t, !x.sent && w.sent[0].Begin(func() {}), "nothing is sent afterwards")
		})
	}
}

// The machine may stand still between the core's look and the write: the sender looks by itself, and the expiry that it finds counts
// also where the lease is renewed before the core looks again.
func TestNothingSentUnderExpiredLease(t *testing.T) {
	c, m, w, _, now := newLeasedCore(t)
	receiveAndStart(t, c, m, w)
	*now = 60 * time.Second
	assert.False(t, w.sent[0].Begin(func() {}))
	c.Post(RenewLease{Expiry: 70 * time.Second})
	c.batch(60 * time.Second)
	require.Len(t, w.responses, 1)
	assert.Equal(t, StatusRejected, w.responses[0].Status)
	assert.Equal(t, routing.NotSent, m.outcomes[0].Result)
	assert.False(t, w.sent[0].Begin(func() {}), "not under the renewed lease either")
	receive(t, c, w, browse)
	c.batch(60*time.Second + ms)
	assert.Len(t, m.requests, 2)
}

func TestAuditedRequestsFinishOnce(t *testing.T) {
	c, m, w, l, _ := newLeasedCore(t)
	r := receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	c.Post(ClientGone{r})
	c.batch(20 * ms)
	receive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	m.onReconcile = func(m *fakeRouter) { m.Fail(m.requests[1].Ref) }
	c.batch(30 * ms)
	c.batch(200 * ms)
	assert.Equal(t, 2, l.accepted)
	assert.Equal(t, 2, l.finished)
	assert.Equal(t, 1, l.statuses[StatusAbandoned])
	assert.Equal(t, 1, l.statuses[StatusFailed])
}

// Requests under an older version go on under that version's lease, and end with it, though the front serves on.
func TestRequestsEndWithTheLeaseOfTheirVersion(t *testing.T) {
	c, m, w, _, _ := newLeasedCore(t)
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	c.Post(AdoptConfig{Version: 2, LeaseExpiry: 400 * ms})
	c.batch(50 * ms)
	assert.Equal(t, []uint64{0, 2}, c.ActiveVersions())
	receive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=300,cluster=9 */")
	m.onReconcile = start(1)
	c.batch(60 * ms)
	w.begin(t, 1)
	c.Post(RenewLease{Version: 2, Expiry: 500 * ms})
	c.batch(90 * ms)
	assert.Empty(t, w.responses)
	c.batch(100 * ms)
	require.Len(t, w.responses, 1, "the lease of version 0 has expired")
	assert.False(t, c.Standby())
	assert.Equal(t, 1, c.requests.table.Len(), "the other request goes on")
}
