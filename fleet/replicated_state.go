package fleet

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Format is the newest format of commands and snapshots that this program reads. A command names the format that its reader needs;
// a newer one is not guessed at: the state stops there, and a StateUnreadable event says so.
const Format = 1

// Lease is a lease's replicated state.
type Lease struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name        string
	Term        uint64 // rises with each grant; 0 before the first
	Leaseholder string // "" for nobody
	Incarnation uint64
	RequestSeq  uint64
	Bound       time.Duration // within which progress is due; 0 for no bound
	GrantIndex  uint64        // index of the grant
	Reason      string        // the reason of the last grant or release
	Losses      []Loss
}

// Loss is how often a front recently lost a lease, by deadline or without progress.
type Loss struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front string
	Count uint32
}

// isHolder reports whether a front holds the lease in a term.
func (lease *Lease) isHolder(front string, incarnation, term uint64) bool {
	return lease.Leaseholder == front && lease.Incarnation == incarnation && lease.Term == term
}

// losses is how often a front recently lost the lease.
func (lease *Lease) losses(front string) uint32 {
	for _, l := range lease.Losses {
		if l.Front == front {
			return l.Count
		}
	}
	return 0
}

// Front is a front's replicated membership.
type Front struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name             string
	Incarnation      uint64
	Zone             string
	Address          string
	Version          string
	PastIncarnations []uint64 // oldest first
}

// isPast reports whether an incarnation was replaced by a later one.
func (front *Front) isPast(incarnation uint64) bool {
	return slices.Contains(front.PastIncarnations, incarnation)
}

const maxPastIncarnations = 8

// StoredValue is a value that a leaseholder stored.
type StoredValue struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Lease string
	Term  uint64
	Index uint64
	Value []byte
}

// ReplicatedState is what all fronts of the fleet agree on, as a state machine: the same commands in the same order make the same state
// at each front. It belongs to its Node and must not be used while that changes it.
type ReplicatedState struct {
	Index        uint64 // of the last command
	Leases       map[string]*Lease
	Fronts       map[string]*Front
	Voters       map[string]string // name to address
	Values       map[string]*StoredValue
	NeededFormat uint32 // a format that is needed and not known here; 0 for none
}

func newReplicatedState() *ReplicatedState {
	return &ReplicatedState{
		Leases: map[string]*Lease{},
		Fronts: map[string]*Front{},
		Voters: map[string]string{},
		Values: map[string]*StoredValue{},
	}
}

// apply applies the command at an index. The error is why the command had no effect.
func (state *ReplicatedState) apply(index uint64, data []byte) (c Command, err error) {
	state.Index = index
	if len(data) == 0 {
		return Command{}, nil
	}
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("%w: %w", errUnreadableCommand, err)
	}
	if c.Format > Format || c.Op > opPutValue {
		state.NeededFormat = max(c.Format, Format+1)
		return c, &FormatError{What: "command", Needed: c.Format, Known: Format}
	}
	switch c.Op {
	case opDeclareLease:
		state.declareLease(&c)
	case opGrantLease, opVacateLease:
		err = state.applyLeaseChange(index, &c)
	case opJoin:
		err = state.applyJoin(&c)
	case opLeave:
		if front := state.Fronts[c.Target]; front != nil && front.Incarnation == c.Incarnation {
			delete(state.Fronts, c.Target)
		}
	case opAddVoter:
		state.Voters[c.Target] = c.Address
	case opRemoveVoter:
		delete(state.Voters, c.Target)
	case opPutValue:
		err = state.applyPut(index, &c)
	}
	return c, err
}

func (state *ReplicatedState) declareLease(c *Command) {
	if lease := state.Leases[c.Lease]; lease != nil {
		lease.Bound = c.Bound
		return
	}
	state.Leases[c.Lease] = &Lease{Name: c.Lease, Bound: c.Bound}
}

// declares reports whether a lease is declared with the same bound.
func (state *ReplicatedState) declares(d Declaration) bool {
	lease := state.Leases[d.Lease]
	return lease != nil && lease.Bound == d.Bound
}

// applyLeaseChange applies opGrantLease and opVacateLease.
func (state *ReplicatedState) applyLeaseChange(index uint64, c *Command) error {
	lease := state.Leases[c.Lease]
	if lease == nil || lease.Term != c.Term {
		return errOtherTerm
	}
	if c.LostBy != "" {
		lease.Losses = slices.DeleteFunc(slices.Clone(lease.Losses), func(l Loss) bool { return l.Front == c.LostBy })
		if c.LossCount > 0 {
			lease.Losses = append(lease.Losses, Loss{Front: c.LostBy, Count: c.LossCount})
		}
	}
	lease.Reason = c.Reason
	if c.Op == opVacateLease {
		lease.Leaseholder = ""
		return nil
	}
	lease.Term++
	lease.Leaseholder = c.Target
	lease.Incarnation = c.Incarnation
	lease.RequestSeq = c.RequestSeq
	lease.GrantIndex = index
	return nil
}

// applyJoin applies opJoin: a front is new, has started anew, or has moved.
func (state *ReplicatedState) applyJoin(c *Command) error {
	front := *c.Front
	if old := state.Fronts[front.Name]; old != nil {
		if old.isPast(front.Incarnation) {
			return errFrontDisplaced
		}
		front.PastIncarnations = old.PastIncarnations
		if old.Incarnation != front.Incarnation {
			past := append(slices.Clone(old.PastIncarnations), old.Incarnation)
			front.PastIncarnations = past[max(0, len(past)-maxPastIncarnations):]
		}
	}
	state.Fronts[front.Name] = &front
	return nil
}

// applyPut applies opPutValue; an empty value deletes the key.
func (state *ReplicatedState) applyPut(index uint64, c *Command) error {
	lease, stored := state.Leases[c.Lease], state.Values[c.Key]
	storedIndex := uint64(0)
	if stored != nil {
		storedIndex = stored.Index
	}
	switch {
	case lease == nil || lease.Term != c.Term:
		return errOtherTerm
	case storedIndex != c.PrevIndex:
		if stored != nil && stored.Term == c.Term && bytes.Equal(stored.Value, c.Value) {
			return nil // a repeated request
		}
		return errValueChanged
	case len(c.Value) == 0:
		delete(state.Values, c.Key)
	default:
		state.Values[c.Key] = &StoredValue{Lease: c.Lease, Term: c.Term, Index: index, Value: c.Value}
	}
	return nil
}

// AllowedVersionsKey is the key of the value that says which configuration versions may be used; where it is absent, all may.
const AllowedVersionsKey = "right"

// AllowedVersions is that value: the versions Least and Most, or one where they are equal. Versions between them were rolled back
// and must not be used again.
type AllowedVersions struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Min, Max uint64
}

// Encode encodes it as a stored value.
func (r AllowedVersions) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic("encode the allowed versions: " + err.Error()) // our own types always encode
	}
	return b
}

// Allows reports whether a version may be used.
func (r AllowedVersions) Allows(version uint64) bool { return version == r.Min || version == r.Max }

// AllowedVersions returns the versions in force and the index of their value; the index is 0 where there is none, and all versions
// may be used.
func (state *ReplicatedState) AllowedVersions() (allowed AllowedVersions, index uint64) {
	stored := state.Values[AllowedVersionsKey]
	if stored == nil || msgpack.Unmarshal(stored.Value, &allowed) != nil {
		return AllowedVersions{}, 0
	}
	return allowed, stored.Index
}

func (state *ReplicatedState) allowsVersion(version uint64) bool {
	allowed, index := state.AllowedVersions()
	return index == 0 || allowed.Allows(version)
}

// encodedState is the encoded form of a ReplicatedState, sorted: equal states have equal bytes.
type encodedState struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format       uint32
	Index        uint64
	Leases       []*Lease
	Fronts       []*Front
	Voters       []string
	Keys         []string
	Values       []*StoredValue
	NeededFormat uint32
}

// Encoded returns the state's encoded form: equal states have equal bytes.
func (state *ReplicatedState) Encoded() []byte { return state.encode() }

func (state *ReplicatedState) encode() []byte {
	encoded := encodedState{Format: Format, Index: state.Index, Keys: slices.Sorted(maps.Keys(state.Values)), NeededFormat: state.NeededFormat}
	for _, k := range slices.Sorted(maps.Keys(state.Leases)) {
		encoded.Leases = append(encoded.Leases, state.Leases[k])
	}
	for _, k := range slices.Sorted(maps.Keys(state.Fronts)) {
		encoded.Fronts = append(encoded.Fronts, state.Fronts[k])
	}
	for _, k := range slices.Sorted(maps.Keys(state.Voters)) {
		encoded.Voters = append(encoded.Voters, k, state.Voters[k])
	}
	for _, k := range encoded.Keys {
		encoded.Values = append(encoded.Values, state.Values[k])
	}
	var out bytes.Buffer
	enc := msgpack.NewEncoder(&out)
	enc.SetSortMapKeys(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(&encoded); err != nil {
		panic(fmt.Sprint("encode the replicated state: ", err)) // our own types always encode
	}
	return out.Bytes()
}

func decodeReplicatedState(data []byte) (*ReplicatedState, error) {
	var encoded encodedState
	if err := msgpack.Unmarshal(data, &encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadableState, err)
	}
	if encoded.Format > Format {
		return nil, &FormatError{What: "record", Needed: encoded.Format, Known: Format, Remedy: ": bring the program up to date"}
	}
	if len(encoded.Keys) != len(encoded.Values) || len(encoded.Voters)%2 != 0 {
		return nil, errInconsistentState
	}
	state := newReplicatedState()
	state.Index, state.NeededFormat = encoded.Index, encoded.NeededFormat
	for _, lease := range encoded.Leases {
		state.Leases[lease.Name] = lease
	}
	for _, front := range encoded.Fronts {
		state.Fronts[front.Name] = front
	}
	for i := 0; i < len(encoded.Voters); i += 2 {
		state.Voters[encoded.Voters[i]] = encoded.Voters[i+1]
	}
	for i, k := range encoded.Keys {
		state.Values[k] = encoded.Values[i]
	}
	return state, nil
}
