package rollout

import (
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// fenceableKey is the key under which the set of fenceable fronts is stored, beside the state. Programs that do not know the key run a
// rollout without its deadline.
const fenceableKey = "roll/bounded"

// fenceableFronts is the stored set of fenceable fronts, as sorted hashes of name and incarnation. A front is fenceable if it is known to
// stop serving when its configuration lease expires. The set tells a newly elected leader about fronts whose reports it has not received.
type fenceableFronts []uint64

// readFenceableFronts returns the stored set. It is empty if none is stored or the stored one can't be decoded.
func readFenceableFronts(r *fleet.ReplicatedState) (all fenceableFronts) {
	if e := r.Values[fenceableKey]; e != nil && msgpack.Unmarshal(e.Value, &all) != nil {
		return nil
	}
	return all
}

// frontHash returns the hash of one process of a front, as stored in fenceableFronts.
func frontHash(name string, incarnation uint64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", name, incarnation) // a hash's Write returns no error
	return h.Sum64()
}

// has reports whether the set contains a front with this incarnation.
func (all fenceableFronts) has(name string, incarnation uint64) bool {
	_, ok := slices.BinarySearch(all, frontHash(name, incarnation))
	return ok
}

// isFenceable reports whether a front is known to stop serving when its configuration lease expires: by its latest report, or by the
// stored set if there is no report of its present process.
func (c *Controller) isFenceable(r *fleet.ReplicatedState, name string, stored fenceableFronts) bool {
	front := r.Fronts[name]
	if t, ok := c.reports.latest[name]; ok && t.Incarnation == front.Incarnation {
		if report, ok := DecodeReport(t.Data); ok {
			return t.WantsConfigLease && !report.ServesIsolated
		}
	}
	return stored.has(name, front.Incarnation)
}

// fenceableWrite returns the write that stores the set of fenceable fronts.
func (c *Controller) fenceableWrite(r *fleet.ReplicatedState) valueWrite {
	stored := readFenceableFronts(r)
	all := fenceableFronts{}
	for _, name := range sortedFronts(r) {
		if c.isFenceable(r, name, stored) {
			all = append(all, frontHash(name, r.Fronts[name].Incarnation))
		}
	}
	slices.Sort(all)
	return valueWrite{fenceableKey, encode(all)}
}
