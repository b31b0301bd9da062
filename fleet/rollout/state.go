package rollout

import (
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// Names in the fleet. They are part of its messages and stay as they are.
const (
	Lease = "roll" // the lease of the Controller
	Part  = "roll" // what datagrams and digests of rollouts are addressed to
)

// stateKey is the State's key among the replicated values.
const stateKey = "roll"

// textKey is the key of a version's rules.
func textKey(version uint64) string { return fmt.Sprintf("roll/file/%d", version) }

// Phase is where a rollout stands.
type Phase uint8

// Phases of a rollout.
const (
	PhaseSteady      Phase = iota // all on Base
	PhaseRolling                  // fronts up to CutoffRank on Next, the others on Base
	PhaseFinishing                // all on Next; other fronts' leases expire
	PhaseRollingBack              // all on Base again; other fronts' leases expire
)

var phaseNames = [...]string{"steady", "rolling", "finishing", "going back"}

// String returns the phase's name, as the admin API and the history show it.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// State is the stored state of rollouts. It is encoded as an array, so that its fields can't be grouped: their order is the format.
type State struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format            uint32
	LastVersion       uint64 // the highest version that was published
	Base              uint64 // the version in force; 0: each front's own file
	Next              uint64 // the version that is being rolled out, 0 for none
	Mandatory         bool   // no front may use Base once Next is in force
	Phase             Phase
	Paused            bool          // until an operator resumes it
	Stages            []uint16      // share of the fleet on Next at each stage, in thousandths
	Stage             int           // index of the open stage
	CutoffRank        uint32        // fronts whose rank is at most this use Next
	ObservationTime   time.Duration // for which a complete stage is observed before the next
	MaxFenced         uint16        // most fronts of the fleet, and of a zone, that may be fenced at once, in thousandths
	Reason            string        // of the last change, for operators
	RulesHashes       [2]string     // of Base and Next
	Outcomes          []Outcome     // of operators' latest actions
	UnconfirmedFronts []string      // fronts that may go on using the old version, since they serve while isolated
}

const (
	format      = 1  // the latest State.Format that this program reads
	maxOutcomes = 32 // that State.Outcomes has
	// MaxTextBytes is the length of the longest file that may be published, in bytes.
	MaxTextBytes = 64 << 10
)

// encode encodes one of this package's own types, which cannot fail.
func encode(x any) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("rollout: encode %T: %v", x, err))
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

// VersionText returns a published version's rules, nil for 0 and for a version that is not stored.
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

// rank is a front's place in the order in which fronts adopt a version; the order differs from version to version.
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
