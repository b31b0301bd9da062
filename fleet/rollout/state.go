// Package rollout publishes configuration versions over a fleet: in stages, each compared with the fronts still on the old version,
// with at most two adjacent versions in force, and rolled back where it serves worse. It is a core: no I/O, clock or goroutine.
//
// Every front has an Adopter, which follows the replicated state: it says which version the front should use, and until when it
// may. The holder of the lease roll has a Controller, which takes operators' actions, opens stages, evaluates the fronts' reports,
// and stores the rollout's state. The next leaseholder's Controller goes on from the stored state alone.
//
// Invariants, asserted at each step of the tests in virtual time:
//
//  1. The versions that fronts use, each under a configuration lease, are at most two, and adjacent: Base and Next.
//  2. A rollout ends (Base, and Next 0) or is rolled back only when no front uses the other version, or each that may is named.
//  3. A front uses no version that is not allowed beyond the end of its lease on it.
//  4. A rollout with a deadline fences fronts by the end of their configuration leases alone: a front counts as fenced once those have
//     provably expired (leaseProof), and is published to only where it is known to stop then.
//  5. Each publication has exactly one outcome, which never changes: in a version, or refused with its reason.
//  6. A version of several publications equals their changes applied in order to the version before.
//  7. Of one fleet or zone no more than a given share is fenced at once; none is where the majority was lost.
package rollout

import (
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// Lease is the lease of the Controller; Part is the part of a front that its datagrams and digests are for.
const (
	Lease = "roll"
	Part  = "roll"
)

const stateKey = "roll"

func textKey(version uint64) string { return fmt.Sprintf("roll/file/%d", version) }

// Phase is where a rollout stands.
type Phase uint8

const (
	PhaseSteady      Phase = iota // all on Base
	PhaseRolling                  // fronts up to Cut on Next, the others on Base
	PhaseFinishing                // all on Next; other fronts' leases expire
	PhaseRollingBack              // all on Base again; other fronts' leases expire
)

var phaseNames = [...]string{"steady", "rolling", "finishing", "going back"}

// String returns the phase's name, for people and the history.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// State is the stored state of rollouts.
type State struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format            uint32
	LastVersion       uint64 // the last version that was numbered
	Base              uint64 // 0: each front's own file
	Next              uint64 // 0 for none
	Mandatory         bool   // mandatory: no front may use Base once Next is done
	Phase             Phase
	Paused            bool // until an operator resumes it
	Stages            []uint16
	Stage             int    // index of the open stage
	CutoffRank        uint32 // fronts whose rank is at most this use Next
	ObservationTime   time.Duration
	MaxFenced         uint16 // most fronts of the fleet, and of a zone, that may be fenced at once, in thousandths
	Reason            string // of the last change
	RulesHashes       [2]string
	Outcomes          []Outcome // of operators' latest actions
	UnconfirmedFronts []string  // fronts that may go on with the old version, since they serve while isolated
}

const (
	format      = 1
	maxOutcomes = 32
	// MaxTextBytes is the length of the longest file that may be published, in bytes.
	MaxTextBytes = 64 << 10
)

func encode(x any) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic(fmt.Sprint("roll: what can't be written: ", err)) // cannot fail for our own types
	}
	return b
}

// ReadState returns the state of rollouts; ok is false where a newer program wrote it in a format that this one can't read.
func ReadState(r *fleet.ReplicatedState) (s State, ok bool) {
	e := r.Values[stateKey]
	if e == nil {
		return s, true
	}
	if err := msgpack.Unmarshal(e.Value, &s); err != nil || s.Format > format {
		return State{}, false
	}
	return s, true
}

// VersionText returns a published version's file, nil for 0 and for a version that is not stored.
func VersionText(r *fleet.ReplicatedState, version uint64) []byte {
	if e := r.Values[textKey(version)]; e != nil && version > 0 {
		return e.Value
	}
	return nil
}

// withOutcomes returns the state with outcomes added; the oldest are dropped.
func (s State) withOutcomes(outcomes ...Outcome) State {
	s.Outcomes = append(slices.Clone(s.Outcomes), outcomes...)
	s.Outcomes = s.Outcomes[max(0, len(s.Outcomes)-maxOutcomes):]
	return s
}

// rank is a front's place in the order in which fronts adopt a version; another order with each version.
func rank(name string, version uint64) uint32 {
	return crc32.ChecksumIEEE(fmt.Appendf(nil, "%s/%d", name, version))
}

// VersionFor is the version that a front should use.
func (s *State) VersionFor(name string) uint64 {
	switch s.Phase {
	case PhaseRolling:
		if rank(name, s.Next) <= s.CutoffRank {
			return s.Next
		}
	case PhaseFinishing:
		return s.Next
	}
	return s.Base
}

// stageCut is the rank up to which fronts use a version at a stage: one front at least.
func stageCut(fronts []string, version uint64, permille uint16) uint32 {
	if permille >= 1000 || len(fronts) == 0 {
		return ^uint32(0)
	}
	var all []uint32
	for _, f := range fronts {
		all = append(all, rank(f, version))
	}
	slices.Sort(all)
	n := (len(all)*int(permille) + 999) / 1000
	return all[min(max(n, 1), len(all))-1]
}
