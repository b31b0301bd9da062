package zones

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// Names in the fleet's protocol. Programs of other versions depend on them, so they must not change.
const (
	Lease     = "zones" // the lease of the Controller
	Subsystem = "zones" // the subsystem that digests of zones are addressed to
)

const (
	format   = 1       // latest State.Format that this program reads
	stateKey = "zones" // key under which the State is stored among the replicated values
	maxZones = 32
)

// ZoneState says whether a zone, the servers and fronts with the same zone name, is failing and whether its traffic is moved to other
// zones: Healthy, Suspected, Evacuating, Evacuated or Recovering. It is the same for all fronts of the fleet.
type ZoneState uint8

// States of a zone.
const (
	Healthy    ZoneState = iota
	Suspected            // failing, but not for long enough to be evacuated
	Evacuating           // fronts move traffic to other zones, as far as the plan allows
	Evacuated            // fronts have moved the traffic; a small share stays to detect recovery
	Recovering           // traffic returns step by step
)

var stateNames = [...]string{"healthy", "suspected", "evacuating", "evacuated", "recovering"}

// String returns the state's name.
func (s ZoneState) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// ZoneStatus is the entry of a zone in the replicated state.
type ZoneStatus struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone              string
	State             ZoneState
	Epoch             uint64        // increases with each change: a decision of an older epoch does not replace a newer one
	EvacuatedPermille uint16        // evacuated share of the zone's movable traffic, in thousandths
	Deadline          time.Duration // for how long a front follows the decision after it received the latest renewal
	Renewals          uint64        // increases with each renewal within an epoch
	FlapCount         uint8         // number of recent evacuations; each one delays the next recovery
	Pinned            bool          // set by an operator: observations do not change the entry
	PinDuration       time.Duration // counted from the start of the epoch; 0 for until the zone is unpinned
	Reason            string        // of the last change, for operators
}

// State is the status of all zones. It is stored as one replicated value.
type State struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format uint32
	Zones  []ZoneStatus // sorted by name
}

// ReadState returns the state of zones, the zero State if none is stored. ok is false if the state can't be decoded, or a newer program
// wrote it in a format that this one can't read.
func ReadState(r *fleet.ReplicatedState) (s State, ok bool) {
	e := r.Values[stateKey]
	if e == nil {
		return s, true
	}
	if err := msgpack.Unmarshal(e.Value, &s); err != nil || s.Format > format || len(s.Zones) > maxZones {
		return State{}, false
	}
	return s, true
}

// Encode encodes the state as its replicated value.
func (s State) Encode() []byte {
	s.Format = format
	return encode(&s)
}

// encode encodes a value of one of this package's own types. It panics on an error, because these types can always be encoded.
func encode(x any) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic("zones: encode: " + err.Error())
	}
	return b
}

// Status returns the status of a zone. A zone without an entry is healthy.
func (s *State) Status(zone string) ZoneStatus {
	for _, status := range s.Zones {
		if status.Zone == zone {
			return status
		}
	}
	return ZoneStatus{Zone: zone}
}

// setStatus replaces or adds the entry of a zone.
func (s *State) setStatus(status ZoneStatus) {
	for i := range s.Zones {
		if s.Zones[i].Zone == status.Zone {
			s.Zones[i] = status
			return
		}
	}
	s.Zones = append(s.Zones, status)
	slices.SortFunc(s.Zones, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Pin returns a state in which a zone has the evacuated share that an operator chose, whatever is observed. It lasts for the given
// duration, or until the zone is unpinned if that is 0.
func Pin(s State, zone string, pin PinOptions) State {
	next := State{Zones: slices.Clone(s.Zones)}
	status := next.Status(zone)
	status.Epoch++
	status.Pinned, status.PinDuration, status.Renewals = true, pin.Duration, 0
	status.EvacuatedPermille, status.Reason = min(pin.EvacuatedPermille, 1000), "pinned: "+pin.Reason
	if status.State = Healthy; pin.EvacuatedPermille > 0 {
		status.State = Evacuated
	}
	next.setStatus(status)
	return next
}

// PinOptions are the settings that an operator chooses for a zone.
type PinOptions struct {
	EvacuatedPermille uint16
	Duration          time.Duration
	Reason            string
}

// Unpin returns a state in which observations change a zone's entry again. A zone that was evacuated recovers by its ramp.
func Unpin(s State, zone, reason string) State {
	next := State{Zones: slices.Clone(s.Zones)}
	status := next.Status(zone)
	if !status.Pinned {
		return next
	}
	status.Epoch++
	status.Pinned, status.PinDuration, status.Reason, status.Renewals = false, 0, "unpinned: "+reason, 0
	if status.EvacuatedPermille > 0 {
		status.State = Recovering
	}
	next.setStatus(status)
	return next
}
