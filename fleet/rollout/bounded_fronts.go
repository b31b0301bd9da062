package rollout

import (
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// boundedKey is the key of the bounded fronts, beside the state. Programs that do not know it run a rollout without its time.
const boundedKey = "roll/bounded"

// boundedFronts is the stored set of fronts that are known to stop at the end of their configuration lease, as sorted hashes of name
// and incarnation. A leader that was elected since then knows it without a report of theirs.
type boundedFronts []uint64

func readBounded(r *fleet.ReplicatedState) (all boundedFronts) {
	if e := r.Values[boundedKey]; e != nil && msgpack.Unmarshal(e.Value, &all) != nil {
		return nil
	}
	return all
}

func boundedHash(name string, incarnation uint64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", name, incarnation) // a hash's Write returns no error
	return h.Sum64()
}

func (all boundedFronts) has(name string, incarnation uint64) bool {
	_, ok := slices.BinarySearch(all, boundedHash(name, incarnation))
	return ok
}

// isBounded reports whether a front is known to stop at the end of its configuration lease.
func (c *Controller) isBounded(r *fleet.ReplicatedState, name string, stored boundedFronts) bool {
	front := r.Fronts[name]
	if t, ok := c.reports.latest[name]; ok && t.Incarnation == front.Incarnation {
		if report, ok := DecodeReport(t.Data); ok {
			return t.WantsConfigLease && !report.ServesIsolated
		}
	}
	return stored.has(name, front.Incarnation)
}

// boundedWrite stores the fronts that are known to be bounded.
func (c *Controller) boundedWrite(r *fleet.ReplicatedState) valueWrite {
	stored := readBounded(r)
	all := boundedFronts{}
	for _, name := range sortedFronts(r) {
		if c.isBounded(r, name, stored) {
			all = append(all, boundedHash(name, r.Fronts[name].Incarnation))
		}
	}
	slices.Sort(all)
	return valueWrite{boundedKey, encode(all)}
}
