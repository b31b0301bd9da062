package rollout

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// deadlineKey is the key of the deadline, beside the state. Programs that do not know it run a rollout without its time.
const deadlineKey = "roll/deadline"

// deadline is the stored time within which a version has to be in force everywhere.
type deadline struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version       uint64
	InForceWithin time.Duration // 0 for no deadline
	OnUndecided   uint8         // as in Action
}

// DecodeMsgpack decodes a deadline of this or another version of the program.
func (d *deadline) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeLenient(decoder, &d.Version, &d.InForceWithin, &d.OnUndecided)
}

// readDeadline returns the deadline of the version that is being rolled out, the zero value for none.
func readDeadline(r *fleet.ReplicatedState, s State) (d deadline) {
	e := r.Values[deadlineKey]
	if e == nil || s.Next == 0 || msgpack.Unmarshal(e.Value, &d) != nil || d.Version != s.Next {
		return deadline{}
	}
	return d
}

// InForceWithin returns the time by which the version on its way has to be in force everywhere, 0 for none.
func InForceWithin(r *fleet.ReplicatedState) time.Duration {
	s, _ := ReadState(r)
	return readDeadline(r, s).InForceWithin
}

// timeForStages is how much of a time is left for all stages, and for reachable fronts that lag, before those are fenced: the
// rest goes to the end of their configuration leases, and a lease duration to the fleet's own answers.
func timeForStages(timing fleet.Timing, configLease, within time.Duration) time.Duration {
	return within - timing.ExpiredAfter(configLease) - timing.LeaseDuration
}

// CheckInForceWithin checks whether a version can be in force everywhere within a time. The error is a DeadlineError.
func CheckInForceWithin(timing fleet.Timing, configLease, within time.Duration) error {
	left := timeForStages(timing, configLease, within)
	if left >= timing.LeaseDuration {
		return nil
	}
	least := timing.ExpiredAfter(configLease) + 2*timing.LeaseDuration
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

// schedule is the times of a rollout that has a deadline, from its beginning at this controller.
type schedule struct {
	stageTime time.Duration // of each stage
	stageEnd  time.Duration // when the open stage is over, whatever its analysis found
	fenceAt   time.Duration // when reachable fronts that lag are fenced
}

// scheduleFor gives each stage an equal share of the time for stages, and one more to fronts that lag in the last one.
func (c *Controller) scheduleFor(s State, d deadline) schedule {
	all := timeForStages(c.options.Timing, c.options.ConfigLease, d.InForceWithin)
	stageTime := all / time.Duration(len(s.Stages)+1)
	return schedule{stageTime: stageTime, stageEnd: stageTime * time.Duration(s.Stage+1), fenceAt: all}
}
