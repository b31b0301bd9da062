package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"dapplerouter/config"
	"dapplerouter/fleet"
)

// readForm reads the form roll of a text, and checks it against a lease duration of 3 s.
func readForm(t *testing.T, text string) (*Config, error) {
	f, err := config.Parse("operator.sexp", []byte(text))
	require.NoError(t, err)
	reading := f.NewDecoder()
	c := ReadConfig(reading.Forms(FormName)[FormName])
	require.NoError(t, reading.Err())
	_, err = c.ConfigLeaseFor(3 * time.Second)
	return c, err
}

func TestADeadlineThatCannotBeKeptIsRefusedWithItsRemedy(t *testing.T) {
	c, err := readForm(t, `(roll (right 12s) (when-alone stop) (in-force-within 20s) (dir "x"))`)
	require.NoError(t, err)
	assert.Equal(t, 20*time.Second, c.InForceWithin)
	_, err = readForm(t, `(roll (right 15s) (when-alone stop) (in-force-within 20s) (dir "x"))`)
	require.ErrorContains(t, err, "does not fit a right of 15s")
	require.ErrorContains(t, err, "(right 12.4s) or less, or a time of 22.875s or more")
	_, err = readForm(t, `(roll (in-force-within 20s) (dir "x"))`)
	require.ErrorContains(t, err, "(when-alone stop)")
	_, err = readForm(t, `(roll (dir "x"))`)
	require.NoError(t, err, "without a time all is as before")
}

// What the remedy names is accepted, and the parts of a time never exceed it.
func TestTheRemedyOfADeadlineIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := fleet.Timing{LeaseDuration: time.Duration(rapid.IntRange(1, 10).Draw(t, "span")) * time.Second}
		lease := timing.LeaseDuration * time.Duration(rapid.IntRange(2, 16).Draw(t, "leases"))
		within := time.Duration(rapid.IntRange(1, 300).Draw(t, "within")) * time.Second
		why, _ := CheckInForceWithin(timing, lease, within)
		if least := timing.ExpiredAfter(lease) + 2*timing.LeaseDuration; (why == "") != (within >= least) {
			t.Fatalf("%v with leases of %v: %q", within, lease, why)
		}
		if why == "" && timeForStages(timing, lease, within)+timing.ExpiredAfter(lease) >= within {
			t.Fatal("nothing is left for the fleet's answers")
		}
	})
}

func TestALeaseIsProvenExpiredOnlyByALeaderThatAMajorityConfirmed(t *testing.T) {
	const term = 7
	reports := map[string]fleet.MemberReport{"silent": {Age: 14 * time.Second}, "heard": {Age: time.Second}}
	answer := func(askedAt time.Duration) digests {
		return digests{term: term, askedAt: askedAt, receivedAt: askedAt + 10*time.Millisecond, reports: reports}
	}
	p := leaseProof{expiredAfter: 13500 * time.Millisecond}
	p.observeTerm(0, term)
	p.add(answer(10 * time.Second))
	assert.False(t, p.expired("silent", 0), "the leader may have been deposed")
	p.confirm(term, 10*time.Second)
	assert.False(t, p.expired("silent", 0), "it was confirmed before its answer only")
	p.confirm(term+1, 11*time.Second)
	assert.False(t, p.expired("silent", 0), "another was confirmed")
	p.confirm(term, 11*time.Second)
	assert.True(t, p.expired("silent", 9*time.Second))
	assert.False(t, p.expired("silent", 10500*time.Millisecond), "a lease may have been granted between the answer and this time")
	assert.False(t, p.expired("heard", 0))
	assert.False(t, p.expired("unknown", 0), "an earlier leader may have renewed its lease")
	p.add(answer(13600 * time.Millisecond))
	p.confirm(term, 14*time.Second)
	assert.True(t, p.expired("unknown", 0), "this leader has led for longer than a lease")
	p.observeTerm(15*time.Second, term+1)
	p.add(digests{term: term + 1, askedAt: 16 * time.Second, receivedAt: 16 * time.Second, reports: map[string]fleet.MemberReport{}})
	p.confirm(term+1, 17*time.Second)
	assert.False(t, p.expired("silent", 0), "the next leader knows nothing of it")
	p.add(digests{askedAt: 18 * time.Second, receivedAt: 18 * time.Second, reports: reports})
	assert.Empty(t, p.unconfirmed, "an older program does not tell its term")
}

// The encoded form of an action without a time is that of older programs, and either reads the other's.
func TestActionsOfOlderAndNewerPrograms(t *testing.T) {
	action := Action{ID: 5, Type: ActionPublish, Base: 2, Text: []byte("(rules)"), RulesHash: "m", Stages: []uint16{1000}, ObservationTime: time.Second, Mandatory: true, MaxFenced: 200, Reason: "w"}
	var old actionOfBefore
	require.NoError(t, msgpack.Unmarshal(action.Encode(), &old))
	assert.Equal(t, action.Stages, old.Stages)
	assert.Equal(t, action.Reason, old.Why)
	got, ok := DecodeAction(encode(&old))
	require.True(t, ok)
	assert.Equal(t, action, got)
	action.InForceWithin, action.OnUndecided = 20*time.Second, UndecidedPause
	got, ok = DecodeAction(action.Encode())
	require.True(t, ok)
	assert.Equal(t, action, got)
	_, ok = DecodeAction(Action{ID: 5, InForceWithin: -1}.Encode())
	assert.False(t, ok)
}

// A front that serves on while it hears nobody can't be fenced in any time; one that the leader does not know, but that was known to
// stop when the last version was published, needs not be waited for.
func TestADeadlineNeedsFrontsThatStop(t *testing.T) {
	c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: 3 * time.Second}, ConfigLease: 12 * time.Second})
	c.allowedIndex = 3
	r := &fleet.ReplicatedState{Fronts: map[string]*fleet.Front{"n1": {Incarnation: 1}, "n2": {Incarnation: 2}}, Values: map[string]*fleet.StoredValue{}}
	stops := Report{}.Encode()
	c.reports = map[string]fleet.MemberReport{"n1": {Incarnation: 1, WantsConfigLease: true, Data: stops}, "n2": {Incarnation: 2, WantsConfigLease: true, Data: stops}}
	assert.Empty(t, c.unfitForDeadline(r, State{}))
	r.Values[boundedKey] = &fleet.StoredValue{Value: c.putBounded(r).value}
	delete(c.reports, "n2")
	assert.Empty(t, c.unfitForDeadline(r, State{}), "it was known to stop")
	r.Fronts["n2"].Incarnation = 9
	assert.Contains(t, c.unfitForDeadline(r, State{}), "n2 may act on another version than 0 still", "another process, with other settings perhaps")
	c.reports["n2"] = fleet.MemberReport{Incarnation: 9, WantsConfigLease: true, Data: Report{ServesIsolated: true}.Encode()}
	assert.Contains(t, c.unfitForDeadline(r, State{}), "give it (when-alone stop)")
	c.reports["n2"] = fleet.MemberReport{Incarnation: 9}
	assert.Contains(t, c.unfitForDeadline(r, State{}), "n2 takes no part in versions")
}
