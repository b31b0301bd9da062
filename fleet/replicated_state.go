package fleet

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Format is the newest format of commands and snapshots that this program can read. A command names the format that its reader must
// know. At a command of a newer format this program stops applying commands, and a StateUnreadable event reports it.
const Format = 1

// Lease is the replicated state of a lease.
type Lease struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name        string
	Term        uint64        // rises with each grant; 0 before the first grant
	Leaseholder string        // the front that holds the lease, "" for none
	Incarnation uint64        // the incarnation of Leaseholder
	RequestSeq  uint64        // the Seq of the holder's report from which the lease counts
	Bound       time.Duration // the time within which the holder must make progress; 0 for no bound
	GrantIndex  uint64        // the index of the last grant
	Reason      string        // the reason of the last grant or release
	Losses      []Loss
}

// Loss says how often a front recently lost a lease, because the lease expired or the front made no progress.
type Loss struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front string
	Count uint32
}

// isHolder reports whether an incarnation of a front holds the lease in a term.
func (lease *Lease) isHolder(front string, incarnation, term uint64) bool {
	return lease.Leaseholder == front && lease.Incarnation == incarnation && lease.Term == term
}

// losses returns how often a front recently lost the lease.
func (lease *Lease) losses(front string) uint32 {
	for _, l := range lease.Losses {
		if l.Front == front {
			return l.Count
		}
	}
	return 0
}

// Front is the replicated membership of a front.
type Front struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name             string
	Incarnation      uint64
	Zone             string
	Address          string
	Version          string
	PastIncarnations []uint64 // the incarnations that Incarnation replaced, oldest first
}

// isPast reports whether an incarnation of the front was replaced by a later one.
func (front *Front) isPast(incarnation uint64) bool {
	return slices.Contains(front.PastIncarnations, incarnation)
}

// maxPastIncarnations is how many replaced incarnations of a front are stored.
const maxPastIncarnations = 8

// StoredValue is a value that the holder of Lease in Term stored, by the command at Index.
type StoredValue struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Lease string
	Term  uint64
	Index uint64
	Value []byte
}

// ReplicatedState is the state that all fronts of the fleet agree on. It is a replicated state machine: the same commands in the same
// order produce the same state at each front. It belongs to its Node and must not be read while the Node changes it.
type ReplicatedState struct {
	Index        uint64                  // the index of the last command
	Leases       map[string]*Lease       // by name
	Fronts       map[string]*Front       // by name
	Voters       map[string]string       // the addresses of the voters, by name
	Values       map[string]*StoredValue // by key
	NeededFormat uint32                  // the format of the first command that this program can't read; 0 for none
}

func newReplicatedState() *ReplicatedState {
	return &ReplicatedState{
		Leases: map[string]*Lease{},
		Fronts: map[string]*Front{},
		Voters: map[string]string{},
		Values: map[string]*StoredValue{},
	}
}

// apply decodes and applies the command at an index. The error says why the command had no effect.
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

// declareLease applies opDeclareLease. It sets the bound of a lease that exists.
func (state *ReplicatedState) declareLease(c *Command) {
	if lease := state.Leases[c.Lease]; lease != nil {
		lease.Bound = c.Bound
		return
	}
	state.Leases[c.Lease] = &Lease{Name: c.Lease, Bound: c.Bound}
}

// declares reports whether the state has a lease with the name and the bound of a declaration.
func (state *ReplicatedState) declares(d Declaration) bool {
	lease := state.Leases[d.Lease]
	return lease != nil && lease.Bound == d.Bound
}

// applyLeaseChange applies opGrantLease or opVacateLease.
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

// applyJoin applies opJoin: it adds a new front, or updates a front that restarted or that has another address, zone or version.
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

// applyPut applies opPutValue. An empty value deletes the key.
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
			return nil // the command repeats one that was applied
		}
		return errValueChanged
	case len(c.Value) == 0:
		delete(state.Values, c.Key)
	default:
		state.Values[c.Key] = &StoredValue{Lease: c.Lease, Term: c.Term, Index: index, Value: c.Value}
	}
	return nil
}

// AllowedVersionsKey is the key of the stored AllowedVersions. All configuration versions may be used where there is none.
const AllowedVersionsKey = "right"

// AllowedVersions names the configuration versions that may be used: Min and Max, which may be equal. Versions between them were
// rolled back and must not be used again.
type AllowedVersions struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Min, Max uint64
}

// Encode encodes the versions as a stored value.
func (r AllowedVersions) Encode() []byte {
	b, err := msgpack.Marshal(&r)
	if err != nil {
		panic("encode the allowed versions: " + err.Error()) // the type is always encodable
	}
	return b
}

// Allows reports whether a version may be used.
func (r AllowedVersions) Allows(version uint64) bool { return version == r.Min || version == r.Max }

// AllowedVersions returns the stored AllowedVersions and its index. The index is 0 where there is none, so that all versions may be
// used.
func (state *ReplicatedState) AllowedVersions() (allowed AllowedVersions, index uint64) {
	stored := state.Values[AllowedVersionsKey]
	if stored == nil || msgpack.Unmarshal(stored.Value, &allowed) != nil {
		return AllowedVersions{}, 0
	}
	return allowed, stored.Index
}

// allowsVersion reports whether a configuration version may be used.
func (state *ReplicatedState) allowsVersion(version uint64) bool {
	allowed, index := state.AllowedVersions()
	return index == 0 || allowed.Allows(version)
}

// encodedState is the encoded form of a ReplicatedState. Its slices are sorted, so that equal states have equal bytes.
type encodedState struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format       uint32
	Index        uint64
	Leases       []*Lease
	Fronts       []*Front
	Voters       []string       // the name and the address of each voter in turn
	Keys         []string       // the keys of Values
	Values       []*StoredValue // in the order of Keys
	NeededFormat uint32
}

// Encoded returns the state's encoded form. Equal states have equal bytes.
func (state *ReplicatedState) Encoded() []byte { return state.encode() }

// encode encodes the state for a snapshot. Equal states have equal bytes.
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
		panic(fmt.Sprint("encode the replicated state: ", err)) // the type is always encodable
	}
	return out.Bytes()
}

// decodeReplicatedState decodes an encoded state. The error is a FormatError, errInconsistentState, or wraps errUnreadableState.
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
