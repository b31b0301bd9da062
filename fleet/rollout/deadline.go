package rollout

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/config"
	"dapplerouter/fleet"
)

// Keys of values beside the state. Programs that do not know them run a rollout without its time.
const (
	deadlineKey = "roll/deadline"
	boundedKey  = "roll/bounded"
)

// deadline is the stored time within which a version has to be in force everywhere.
type deadline struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version    uint64
	Within     time.Duration
	NoEvidence uint8 // what a stage does whose trial did not decide in its time
}

// DecodeMsgpack decodes a deadline of this or another version of the program.
func (d *deadline) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeLenient(decoder, &d.Version, &d.Within, &d.NoEvidence)
}

// decodeLenient reads an array of fields, of which other programs may send more or fewer.
func decodeLenient(decoder *msgpack.Decoder, fields ...any) error {
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < len(fields) {
			err = decoder.Decode(fields[i])
		} else {
			err = decoder.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readDeadline returns the deadline of the version that is being rolled out; its Within is 0 for none.
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
	return readDeadline(r, s).Within
}

// timeForStages is how much of a time is left for all stages, and for fronts that are heard and lag, before those are fenced: the
// rest goes to the end of their configuration leases, and a lease duration to the fleet's own answers.
func timeForStages(timing fleet.Timing, configLease, within time.Duration) time.Duration {
	return within - timing.ExpiredAfter(configLease) - timing.LeaseDuration
}

// CheckInForceWithin says why a version can't be in force everywhere within a time, "" where it can; remedy is what to do.
func CheckInForceWithin(timing fleet.Timing, configLease, within time.Duration) (why, remedy string) {
	left := timeForStages(timing, configLease, within)
	if left >= timing.LeaseDuration {
		return "", ""
	}
	least := timing.ExpiredAfter(configLease) + 2*timing.LeaseDuration
	why = fmt.Sprintf("in force within %v does not fit a right of %v and a span of %v: fronts that are cut off are waited for until their rights are over",
		within, configLease, timing.LeaseDuration)
	longest := ((within - 2*timing.LeaseDuration) * 8 / 9).Truncate(100 * time.Millisecond)
	if longest >= 2*timing.LeaseDuration {
		return why, fmt.Sprintf("(right %v) or less, or a time of %v or more", longest, least)
	}
	return why, fmt.Sprintf("a time of %v or more", least)
}

// checkWithin is CheckWithin for the form; an isolated front that serves on can't be fenced at any time.
func (c *Config) checkWithin(leaseDuration, configLease time.Duration) error {
	if c.InForceWithin == 0 {
		return nil
	}
	if !c.StopWhenIsolated {
		return config.ErrorList{{Position: c.Place, Message: "in-force-within promises a time, and fronts that hear nobody may act on an old version for as long as that lasts",
			Remedy: "add (when-alone stop), or take in-force-within away"}}
	}
	if why, remedy := CheckInForceWithin(fleet.Timing{LeaseDuration: leaseDuration}, configLease, c.InForceWithin); why != "" {
		return config.ErrorList{{Position: c.Place, Message: why, Remedy: remedy}}
	}
	return nil
}

// schedule is the times of a rollout that has a deadline, from its beginning at this controller.
type schedule struct {
	share    time.Duration // of each stage
	stageEnd time.Duration // when the open stage is over, whatever its trial says
	fenceAt  time.Duration // when fronts that are heard and lag are fenced
}

// scheduleFor gives each stage an equal share of the time for stages, and one more to fronts that lag in the last one.
func (c *Controller) scheduleFor(s State, d deadline) schedule {
	all := timeForStages(c.options.Timing, c.options.ConfigLease, d.Within)
	share := all / time.Duration(len(s.Stages)+1)
	return schedule{share: share, stageEnd: share * time.Duration(s.Stage+1), fenceAt: all}
}

// boundedFronts is the stored set of fronts that are known to stop at the end of their configuration lease, as sorted hashes of name
// and incarnation. A leader that was elected since needs not hear them to know it.
type boundedFronts []uint64

func readBounded(r *fleet.ReplicatedState) (all boundedFronts) {
	if e := r.Values[boundedKey]; e != nil && msgpack.Unmarshal(e.Value, &all) != nil {
		return nil
	}
	return all
}

func boundedHash(name string, incarnation uint64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", name, incarnation)
	return h.Sum64()
}

func (all boundedFronts) has(name string, incarnation uint64) bool {
	_, ok := slices.BinarySearch(all, boundedHash(name, incarnation))
	return ok
}

// isBounded reports whether a front is known to stop at the end of its configuration lease.
func (c *Controller) isBounded(r *fleet.ReplicatedState, name string, stored boundedFronts) bool {
	front := r.Fronts[name]
	if t, ok := c.reports[name]; ok && t.Incarnation == front.Incarnation {
		if report, ok := DecodeReport(t.Data); ok {
			return t.WantsConfigLease && !report.ServesIsolated
		}
	}
	return stored.has(name, front.Incarnation)
}

// putBounded stores the fronts that are known to be bounded.
func (c *Controller) putBounded(r *fleet.ReplicatedState) put {
	stored := readBounded(r)
	all := boundedFronts{}
	for _, name := range c.fronts(r) {
		if c.isBounded(r, name, stored) {
			all = append(all, boundedHash(name, r.Fronts[name].Incarnation))
		}
	}
	slices.Sort(all)
	return put{boundedKey, encode(all)}
}

// unknownFronts returns the fronts that may act on another version than the one in force, as far as is known. All others stop at the
// end of their configuration lease, and can't: a rollout ends only once leases on other versions have provably expired, and no such
// lease was granted since.
func (c *Controller) unknownFronts(r *fleet.ReplicatedState, s State) (unknown []string) {
	stored := readBounded(r)
	for _, name := range c.fronts(r) {
		t, heard := c.reports[name]
		if !c.isBounded(r, name, stored) || c.allowedIndex == 0 && !(heard && t.ActiveVersion == s.Base) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// unfitForDeadline says why no version with a deadline can be published now, "" for nothing.
func (c *Controller) unfitForDeadline(r *fleet.ReplicatedState, s State) string {
	if why := c.unfitForGood(r); why != "" {
		return why
	}
	if unknown := c.unknownFronts(r, s); len(unknown) > 0 {
		return listNames(unknown) + fmt.Sprintf(" may act on another version than %d still: wait, or end it", s.Base)
	}
	return ""
}

// unfitForGood says which fronts are set up so that no version with a deadline can be published, "" for none.
func (c *Controller) unfitForGood(r *fleet.ReplicatedState) string {
	var out, serving []string
	for _, name := range c.fronts(r) {
		t, heard := c.reports[name]
		report, decoded := DecodeReport(t.Data)
		switch {
		case heard && !t.WantsConfigLease:
			out = append(out, name)
		case heard && decoded && report.ServesIsolated:
			serving = append(serving, name)
		}
	}
	if len(out) > 0 {
		return listNames(out) + takesNoPart
	}
	if len(serving) > 0 {
		return listNames(serving) + " would serve on while it hears nobody, and no time can be promised: give it (when-alone stop), or publish without a time"
	}
	return ""
}
