package rollout

import (
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// Names in the fleet's protocol. Programs of other versions depend on them, so they must not change.
const (
	Lease     = "roll" // the lease of the Controller
	Subsystem = "roll" // the subsystem that datagrams and digests of rollouts are addressed to
)

// stateKey is the key under which the State is stored among the replicated values.
const stateKey = "roll"

// textKey returns the key under which a version's text is stored.
func textKey(version uint64) string { return fmt.Sprintf("roll/file/%d", version) }

// Phase is the phase of a rollout.
type Phase uint8

// Phases of a rollout.
const (
	PhaseSteady      Phase = iota // no rollout: all fronts on Base
	PhaseRolling                  // fronts with a rank up to CutoffRank on Next, the others on Base
	PhaseFinishing                // all fronts on Next; leases on Base are left to expire
	PhaseRollingBack              // all fronts on Base again; leases on Next are left to expire
)

var phaseNames = [...]string{"steady", "rolling", "finishing", "going back"}

// String returns the phase's name, as the admin API and the history show it.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// State is the stored state of rollouts. It is encoded as an array, so the order of its fields is part of the stored format.
type State struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format            uint32
	LastVersion       uint64 // highest version that was published
	Base              uint64 // version in force; 0 if each front uses the rules in its own file
	Next              uint64 // version that is being rolled out, 0 for none
	Mandatory         bool   // no front may use Base once Next is in force
	Phase             Phase
	Paused            bool          // until an operator resumes it
	Stages            []uint16      // share of the fleet on Next at each stage, in thousandths
	Stage             int           // index of the open stage
	CutoffRank        uint32        // fronts with a rank up to this one use Next
	ObservationTime   time.Duration // for how long a complete stage is observed before the next one opens
	MaxFenced         uint16        // largest share of the fleet, and of each zone, that may be fenced at once, in thousandths
	Reason            string        // of the last change, for operators
	RulesHashes       [2]string     // of Base and Next
	Outcomes          []Outcome     // of the latest actions of operators, oldest first
	UnconfirmedFronts []string      // fronts that may continue to use the old version, because they serve while isolated
}

const (
	format      = 1  // latest State.Format that this program reads
	maxOutcomes = 32 // in State.Outcomes
	// MaxTextBytes is the maximum length of a published version's text, in bytes.
	MaxTextBytes = 64 << 10
)

// encode encodes a value of one of this package's own types. It panics on an error, because these types can always be encoded.
func encode(x any) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("rollout: encode %T: %v", x, err))
	}
	return b
}

// ReadState returns the state of rollouts, the zero State if none is stored. ok is false if the state can't be decoded, or a newer
// program wrote it in a format that this one can't read.
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

// VersionText returns the text of a published version. It returns nil for version 0 and for a version that is not stored.
func VersionText(r *fleet.ReplicatedState, version uint64) []byte {
	if e := r.Values[textKey(version)]; e != nil && version > 0 {
		return e.Value
	}
	return nil
}

// withOutcomes returns the state with outcomes added. The oldest are dropped beyond maxOutcomes.
func (s State) withOutcomes(outcomes ...Outcome) State {
	s.Outcomes = append(slices.Clone(s.Outcomes), outcomes...)
	s.Outcomes = s.Outcomes[max(0, len(s.Outcomes)-maxOutcomes):]
	return s
}

// rank returns a front's place in the order in which fronts adopt a version. The order differs from version to version.
func rank(name string, version uint64) uint32 {
	return crc32.ChecksumIEEE(fmt.Appendf(nil, "%s/%d", name, version))
}

// VersionFor returns the version that a front should use.
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

// cutoffRank returns the rank up to which fronts use a version at a stage. At least one front does.
func cutoffRank(fronts []string, version uint64, permille uint16) uint32 {
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
