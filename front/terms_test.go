package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// ledger is an Auditor that writes down what it hears.
type ledger struct {
	taken, ended int
	words        [StatusCount]int
	version      uint64
	index        int64
}

func (l *ledger) RequestAccepted(time.Duration, []byte, int) uint32 {
	l.taken++
	return uint32(l.version)
}
func (l *ledger) RequestFinished(_ time.Duration, span uint32, _ int, w Status) {
	l.ended++
	l.words[w]++
}
func (l *ledger) EndpointsChanged(_ time.Duration, index int64) { l.index = index }
func (l *ledger) Tick(time.Duration)                            {}
func (l *ledger) Close(time.Duration)                           {}
func (l *ledger) LeaseChanged(_, _ time.Duration, _ bool)       {}
func (l *ledger) ConfigAdopted(_ time.Duration, version uint64) { l.version = version }

// righted is a front with a right until 100 ms.
func righted(t *testing.T) (c *Core, m *module, w *wires, l *ledger, now *time.Duration) {
	c, m, w = newFront(t)
	l, now = &ledger{}, new(time.Duration)
	c.JoinFleet(FleetOptions{Clock: func() time.Duration { return *now }, Auditor: l})
	c.Post(RenewLease{Expiry: 100 * ms})
	c.batch(0)
	return c, m, w, l, now
}

func TestATxnKeepsTheTermsItWasTakenOn(t *testing.T) {
	c, m, w := newFront(t)
	c.catalog.types[0].Consistency, c.catalog.types[0].MaxStaleness = routing.BoundedStaleness, 3*time.Second
	c.versions.current = &configVersion{types: c.catalog.types}
	arrive(t, c, w, browse)
	c.batch(10 * ms)
	at := time.Duration(-1)
	c.Post(AdoptConfig{Version: 2, Rules: &deployment.Rules{MaxStaleness: map[string]time.Duration{"browse": time.Second}, RejectedGroups: []int64{4}},
		OnAdopted: func(d time.Duration) { at = d }})
	c.batch(20 * ms)
	assert.Equal(t, 20*ms, at, "the moment of adoption")
	arrive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	c.batch(30 * ms)
	require.Len(t, m.begun, 2)
	assert.Equal(t, []time.Duration{3 * time.Second, time.Second}, []time.Duration{m.begun[0].MaxStaleness, m.begun[1].MaxStaleness})
	old := c.requests.table.MustGet(m.begun[0].Ref).Value
	assert.EqualValues(t, 0, old.version.number)
	assert.Equal(t, 3*time.Second, old.version.types[0].MaxStaleness, "those in hand keep theirs")

	alone := 0
	c.Post(AdoptConfig{Version: 2, OnOlderFinished: func() { alone++ }})
	c.batch(35 * ms)
	assert.Zero(t, alone, "requests of before are in hand")
	m.wish = func(m *module) { m.Fail(m.begun[0].Ref); m.Reject(m.begun[1].Ref, 0) }
	c.batch(36 * ms)
	assert.Equal(t, 1, alone)
	w.final = nil

	c.Post(AdoptConfig{Version: 3, Rules: &deployment.Rules{RejectedGroups: []int64{9}}})
	c.batch(40 * ms)
	arrive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=3,c=browse,t=acme,d=100,cluster=9 */")
	c.batch(50 * ms)
	assert.Len(t, m.begun, 2)
	require.Len(t, w.final, 1)
	assert.Equal(t, StatusInvalid, w.final[0].Status)
	assert.Contains(t, w.final[0].Reason, "given up")
}

func TestBehindTheEndOfItsRightAFrontTakesNothingAndOwesNothing(t *testing.T) {
	c, m, w, l, now := righted(t)
	stood := []bool{}
	c.fleet.OnStandby = func(on bool) { stood = append(stood, on) }
	out(t, c, m, w)
	w.begin(t, 0)
	*now = 100 * ms
	c.batch(100 * ms)
	require.Len(t, w.final, 1, "at once")
	assert.Equal(t, StatusRejected, w.final[0].Status, "a read may be asked again")
	assert.Equal(t, 1, w.cuts)
	assert.Equal(t, routing.Cancelled, m.ended[0].Result)
	assert.True(t, m.ended[0].RequestFinished)
	assert.Zero(t, c.requests.table.Len())
	arrive(t, c, w, browse)
	c.batch(110 * ms)
	assert.Len(t, m.begun, 1, "no new request is taken")
	require.Len(t, w.final, 2)
	assert.Equal(t, StatusRejected, w.final[1].Status)
	c.Post(RenewLease{Expiry: 300 * ms})
	c.batch(120 * ms)
	arrive(t, c, w, browse)
	c.batch(130 * ms)
	assert.Len(t, m.begun, 2)
	assert.Equal(t, []bool{true, false}, stood)
	assert.Equal(t, [2]int{2, 1}, [2]int{l.taken, l.ended})
}

func TestAWriteThatMayHaveRunIsRolledBackAndOneThatDidNotIsDeclined(t *testing.T) {
	for _, begun := range []bool{true, false} {
		c, m, w, _, _ := righted(t)
		c.catalog.types[1].Idempotency = routing.IdempotencyKey
		arrive(t, c, w, "INSERT INTO facts (id) VALUES ('k') /* id=1,c=order,k=9,d=500,cluster=9 */")
		m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
		c.batch(10 * ms)
		if begun {
			w.begin(t, 0)
		}
		c.batch(150 * ms)
		require.Len(t, w.final, 1)
		assert.Equal(t, map[bool]Status{true: StatusFailed, false: StatusRejected}[begun], w.final[0].Status)
		assert.Equal(t, map[bool]routing.AttemptResult{true: routing.Cancelled, false: routing.NotSent}[begun], m.ended[0].Result)
		assert.False(t, !begun && w.sent[0].Begin(func() {}), "nothing goes out afterwards")
	}
}

// A machine that stood still between the core's look and the write: the link looks by itself, and what it found counts even
// where a new right comes before the core looks again.
func TestNothingBeginsBehindTheEndThoughTheCoreHasNotLooked(t *testing.T) {
	c, m, w, _, now := righted(t)
	out(t, c, m, w)
	*now = 60 * time.Second
	assert.False(t, w.sent[0].Begin(func() {}))
	c.Post(RenewLease{Expiry: 70 * time.Second})
	c.batch(60 * time.Second)
	require.Len(t, w.final, 1)
	assert.Equal(t, StatusRejected, w.final[0].Status)
	assert.Equal(t, routing.NotSent, m.ended[0].Result)
	assert.False(t, w.sent[0].Begin(func() {}), "not under the new right either")
	arrive(t, c, w, browse)
	c.batch(60*time.Second + ms)
	assert.Len(t, m.begun, 2)
}

func TestEveryTxnThatTheAuditHeardOfEndsThereOnce(t *testing.T) {
	c, m, w, l, _ := righted(t)
	a := out(t, c, m, w)
	w.begin(t, 0)
	c.Post(ClientGone{a})
	c.batch(20 * ms)
	arrive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	m.wish = func(m *module) { m.Fail(m.begun[1].Ref) }
	c.batch(30 * ms)
	c.batch(200 * ms)
	assert.Equal(t, 2, l.taken)
	assert.Equal(t, 2, l.ended)
	assert.Equal(t, 1, l.words[StatusAbandoned])
	assert.Equal(t, 1, l.words[StatusFailed])
}

// What was taken on the version before goes on under that version's right, and ends with it, though the front serves on.
func TestEachVersionsTxnsEndWithItsOwnRight(t *testing.T) {
	c, m, w, _, _ := righted(t)
	out(t, c, m, w)
	w.begin(t, 0)
	c.Post(AdoptConfig{Version: 2, LeaseExpiry: 400 * ms})
	c.batch(50 * ms)
	assert.Equal(t, []uint64{0, 2}, c.ActiveVersions())
	arrive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=300,cluster=9 */")
	m.wish = func(m *module) { m.StartAttempt(m.begun[1].Ref, 0, 0) }
	c.batch(60 * ms)
	w.begin(t, 1)
	c.Post(RenewLease{Version: 2, Expiry: 500 * ms})
	c.batch(90 * ms)
	assert.Empty(t, w.final)
	c.batch(100 * ms)
	require.Len(t, w.final, 1, "the right to version 0 is over")
	assert.False(t, c.Standby())
	assert.Equal(t, 1, c.requests.table.Len(), "the other goes on")
}
