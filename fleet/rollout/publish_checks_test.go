package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/fleet"
)

// assertRejected asserts the cause of an error and a part of its text.
func assertRejected(t *testing.T, err, cause error, text string, messages ...any) {
	t.Helper()
	assert.ErrorIs(t, err, cause, messages...)
	assert.ErrorContains(t, err, text, messages...)
}

// A front without the form, or of an older program, does not report a version. While there is such a front nothing is published, because
// the front would not adopt it.
func TestPublicationIsRejectedWhileAFrontDoesNotTakePart(t *testing.T) {
	c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: time.Second}, ConfigLease: 4 * time.Second})
	r := &fleet.ReplicatedState{Fronts: map[string]*fleet.Front{"n1": {}, "n2": {}}}
	in := &stepInput{now: time.Minute, replicated: r}
	c.reports.latest = map[string]fleet.MemberReport{"n1": {Front: "n1", WantsConfigLease: true}, "n2": {Front: "n2"}}
	assertRejected(t, c.checkPublication(in), ErrFrontsNotEnrolled, "n2 takes no part in versions")
	c.reports.latest["n2"] = fleet.MemberReport{Front: "n2", WantsConfigLease: true, ActiveVersion: 3}
	assertRejected(t, c.checkPublication(in), ErrVersionsUnconfirmed, "n2 may act on another version than 0 still")
	c.reports.latest["n2"] = fleet.MemberReport{Front: "n2", WantsConfigLease: true}
	assert.NoError(t, c.checkPublication(in))
}

// A front that keeps serving while isolated can't be fenced within any time. A front of which the leader has no report is not waited for
// if it was known to stop when the last version was published.
func TestPublicationWithADeadlineNeedsFrontsThatStop(t *testing.T) {
	c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: 3 * time.Second}, ConfigLease: 12 * time.Second})
	c.allowed.index = 3
	r := &fleet.ReplicatedState{Fronts: map[string]*fleet.Front{"n1": {Incarnation: 1}, "n2": {Incarnation: 2}}, Values: map[string]*fleet.StoredValue{}}
	in := &stepInput{replicated: r}
	stops := Report{}.Encode()
	c.reports.latest = map[string]fleet.MemberReport{"n1": {Incarnation: 1, WantsConfigLease: true, Data: stops}, "n2": {Incarnation: 2, WantsConfigLease: true, Data: stops}}
	assert.NoError(t, c.checkTimedPublication(in))
	r.Values[fenceableKey] = &fleet.StoredValue{Value: c.fenceableWrite(r).value}
	delete(c.reports.latest, "n2")
	assert.NoError(t, c.checkTimedPublication(in), "the stored set says that n2 stops")
	r.Fronts["n2"].Incarnation = 9
	assertRejected(t, c.checkTimedPublication(in), ErrVersionsUnconfirmed, "n2 may act on another version than 0 still", "another process, perhaps with other settings")
	c.reports.latest["n2"] = fleet.MemberReport{Incarnation: 9, WantsConfigLease: true, Data: Report{ServesIsolated: true}.Encode()}
	assertRejected(t, c.checkTimedPublication(in), ErrFrontsNeverStop, "give it (when-alone stop)")
	c.reports.latest["n2"] = fleet.MemberReport{Incarnation: 9}
	assertRejected(t, c.checkTimedPublication(in), ErrFrontsNotEnrolled, "n2 takes no part in versions")
}
