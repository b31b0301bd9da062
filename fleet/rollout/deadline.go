package rollout

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// deadlineKey is the key under which the deadline is stored, beside the state. Programs that do not know the key run a rollout without
// its deadline.
const deadlineKey = "roll/deadline"

// deadline is the stored time within which a version has to be in force at all fronts.
type deadline struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version       uint64
	InForceWithin time.Duration // 0 for no deadline
	OnUndecided   uint8         // see Action
}

// DecodeMsgpack decodes a deadline that was encoded by this or another version of the program.
func (d *deadline) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeLenient(decoder, &d.Version, &d.InForceWithin, &d.OnUndecided)
}

// readDeadline returns the deadline of the version that is being rolled out, or the zero value if it has none.
func readDeadline(r *fleet.ReplicatedState, s State) (d deadline) {
	e := r.Values[deadlineKey]
	if e == nil || s.Next == 0 || msgpack.Unmarshal(e.Value, &d) != nil || d.Version != s.Next {
		return deadline{}
	}
	return d
}

// InForceWithin returns the time within which the version that is being rolled out has to be in force at all fronts, or 0 for no limit.
func InForceWithin(r *fleet.ReplicatedState) time.Duration {
	s, _ := ReadState(r)
	return readDeadline(r, s).InForceWithin
}

// timeForStages returns how much of a deadline is available to the stages and to reachable fronts that lag, before the lagging fronts are
// fenced. The rest is reserved for the expiry of their configuration leases, plus one lease duration for the fleet's answers.
func timeForStages(timing fleet.Timing, configLease, within time.Duration) time.Duration {
	return within - timing.ConfigLeaseExpiredAfter(configLease) - timing.LeaseDuration
}

// CheckInForceWithin checks whether a version can be in force at all fronts within a time. It returns a DeadlineError if not.
func CheckInForceWithin(timing fleet.Timing, configLease, within time.Duration) error {
	left := timeForStages(timing, configLease, within)
	if left >= timing.LeaseDuration {
		return nil
	}
	least := timing.ConfigLeaseExpiredAfter(configLease) + 2*timing.LeaseDuration
	err := &DeadlineError{
		Reason: fmt.Sprintf("in force within %v does not fit a right of %v and a span of %v: fronts that are cut off are waited for until their rights are over",
			within, configLease, timing.LeaseDuration),
		Remedy: fmt.Sprintf("a time of %v or more", least),
	}
	longest := ((within - 2*timing.LeaseDuration) * 8 / 9).Truncate(100 * time.Millisecond)
	if longest >= minConfigLease*timing.LeaseDuration {
		err.Remedy = fmt.Sprintf("(right %v) or less, or a time of %v or more", longest, least)
	}
	return err
}

// schedule is the timetable of a rollout with a deadline, counted from when this controller first saw the version.
type schedule struct {
	stageTime time.Duration // length of each stage
	stageEnd  time.Duration // when the open stage ends, whatever its analysis found
	fenceAt   time.Duration // when reachable fronts that lag are fenced
}

// scheduleFor gives each stage an equal share of the time for stages, and one more share to fronts that lag in the last stage.
func (c *Controller) scheduleFor(s State, d deadline) schedule {
	all := timeForStages(c.options.Timing, c.options.ConfigLease, d.InForceWithin)
	stageTime := all / time.Duration(len(s.Stages)+1)
	return schedule{stageTime: stageTime, stageEnd: stageTime * time.Duration(s.Stage+1), fenceAt: all}
}
