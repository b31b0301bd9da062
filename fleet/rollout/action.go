package rollout

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is what became of an Action.
type Outcome struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID             uint64
	RejectedReason string // "" where it was accepted
}

// Action is an operator's request, sent to the leaseholder repeatedly until its outcome is in the state.
type Action struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID              uint64
	Type            uint8
	Base            uint64 // the version that the operator saw in force; an outdated one is refused
	Text            []byte
	RulesHash       string
	Stages          []uint16 // in thousandths of the fleet, rising to 1000
	ObservationTime time.Duration
	Mandatory       bool
	MaxFenced       uint16
	Reason          string

	// Since a later program; an action that has none of them is encoded without.
	InForceWithin time.Duration // by which it has to be in force everywhere; 0 for the form's time, or none
	OnUndecided   uint8         // with a time: what a stage does whose trial did not decide
}

// What a stage does whose trial did not decide in its share of the time.
const (
	UndecidedContinue uint8 = iota // the next stage
	UndecidedPause                 // it waits for an operator, and the time is missed
	UndecidedRollBack              // the version is rolled back
)

// actionOfBefore is an Action as older programs encode and decode it.
type actionOfBefore struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID        uint64
	Type      uint8
	Base      uint64
	Text      []byte
	Meaning   string
	Stages    []uint16
	Watch     time.Duration
	Must      bool
	MaxFenced uint16
	Why       string
}

// DecodeMsgpack decodes an Action of this or another version of the program.
func (action *Action) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &action.ID, &action.Type, &action.Base, &action.Text, &action.RulesHash, &action.Stages, &action.ObservationTime,
		&action.Mandatory, &action.MaxFenced, &action.Reason, &action.InForceWithin, &action.OnUndecided)
}

// Types of an Action.
const (
	ActionPublish uint8 = iota
	ActionRollBack
	ActionPause  // stop at the open stage
	ActionResume // go on
)

// Encode encodes an action for a datagram.
func (action Action) Encode() []byte {
	if action.InForceWithin != 0 || action.OnUndecided != 0 {
		return encode(&action)
	}
	return encode(&actionOfBefore{
		ID:        action.ID,
		Type:      action.Type,
		Base:      action.Base,
		Text:      action.Text,
		Meaning:   action.RulesHash,
		Stages:    action.Stages,
		Watch:     action.ObservationTime,
		Must:      action.Mandatory,
		MaxFenced: action.MaxFenced,
		Why:       action.Reason,
	})
}

// DecodeAction decodes an action; ok is false where it makes no sense.
func DecodeAction(data []byte) (action Action, ok bool) {
	err := msgpack.Unmarshal(data, &action)
	return action, err == nil && action.ID != 0 && action.Type <= ActionResume && len(action.Text) <= MaxTextBytes && len(action.Stages) <= 64 &&
		action.InForceWithin >= 0 && action.OnUndecided <= UndecidedRollBack
}

// Outcome returns what became of an action; ok is false where it is not known.
func (s *State) Outcome(id uint64) (fault string, ok bool) {
	for _, o := range s.Outcomes {
		if o.ID == id {
			return o.RejectedReason, true
		}
	}
	return "", false
}
