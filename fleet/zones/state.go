package zones

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// Names in the fleet. They are part of its messages and stay as they are.
const (
	Lease = "zones" // the lease of the Controller
	Part  = "zones" // what digests of zones are addressed to
)

const (
	format   = 1       // the latest State.Format that this program reads
	stateKey = "zones" // the State's key among the replicated values
	maxZones = 32
)

// ZoneState is the state of a zone for the whole fleet.
type ZoneState uint8

// States of a zone.
const (
	Healthy    ZoneState = iota
	Suspected            // failing lately: nothing moves yet
	Evacuating           // fronts move their share away, as far as the plan says
	Evacuated            // they have; a small share stays, to detect recovery
	Recovering           // more and more traffic returns
)

var stateNames = [...]string{"healthy", "suspected", "evacuating", "evacuated", "recovering"}

// String returns the state's name.
func (s ZoneState) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// ZoneStatus is one zone's entry in the replicated state.
type ZoneStatus struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone              string
	State             ZoneState
	Epoch             uint64        // rises with each change: an older decision displaces no newer
	EvacuatedPermille uint16        // of the zone's movable traffic
	Deadline          time.Duration // for which a front follows the decision after it received its last renewal
	Renewals          uint64        // rises with each renewal within an epoch
	FlapCount         uint8         // evacuations lately: each recovery starts later
	Pinned            bool          // by an operator: observations move nothing
	PinDuration       time.Duration // from the epoch; 0 until it is unpinned
	Reason            string        // of the last change, for operators
}

// State is all zones' status, as one replicated value.
type State struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format uint32
	Zones  []ZoneStatus // by name
}

// ReadState returns the state of zones; ok is false where a newer program wrote it in a format that this one can't read.
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

// Encode encodes a state as its replicated value.
func (s State) Encode() []byte {
	s.Format = format
	return encode(&s)
}

// encode encodes one of this package's own types, which cannot fail.
func encode(x any) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic("zones: encode: " + err.Error())
	}
	return b
}

// Status is a zone's; one without an entry is healthy.
func (s *State) Status(zone string) ZoneStatus {
	for _, status := range s.Zones {
		if status.Zone == zone {
			return status
		}
	}
	return ZoneStatus{Zone: zone}
}

// setStatus replaces or adds a zone's entry.
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

// Pin returns a state in which an operator sets a zone's share, against any observation, for a duration, or until it is unpinned for 0.
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

// PinOptions are what an operator sets of a zone.
type PinOptions struct {
	EvacuatedPermille uint16
	Duration          time.Duration
	Reason            string
}

// Unpin returns a state in which observations move a zone again: one that was evacuated recovers by its ramp.
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
