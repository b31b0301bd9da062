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
	Base            uint64 // the version that the operator saw in force; an outdated one is rejected
	Text            []byte
	RulesHash       string
	Stages          []uint16      // in thousandths of the fleet, rising to 1000
	ObservationTime time.Duration // as in State
	Mandatory       bool          // as in State
	MaxFenced       uint16        // as in State
	Reason          string        // the operator's, "" for none

	// Since a later program; an action that has none of them is encoded without.
	InForceWithin time.Duration // by which it has to be in force everywhere; 0 for the form's time, or none
	OnUndecided   uint8         // with a time: what a stage does whose analysis did not decide
}

// What a stage does whose canary analysis did not decide in its share of the time.
const (
	UndecidedContinue uint8 = iota // the next stage
	UndecidedPause                 // it waits for an operator, and the time is missed
	UndecidedRollBack              // the version is rolled back
)

// actionOfBefore is an Action as older programs encode and decode it.
type actionOfBefore struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID              uint64
	Type            uint8
	Base            uint64
	Text            []byte
	RulesHash       string
	Stages          []uint16
	ObservationTime time.Duration
	Mandatory       bool
	MaxFenced       uint16
	Reason          string
}

// DecodeMsgpack decodes an Action of this or another version of the program.
func (action *Action) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &action.ID, &action.Type, &action.Base, &action.Text, &action.RulesHash, &action.Stages, &action.ObservationTime,
		&action.Mandatory, &action.MaxFenced, &action.Reason, &action.InForceWithin, &action.OnUndecided)
}

// Types of an Action.
const (
	ActionPublish  uint8 = iota // roll a new version out
	ActionRollBack              // roll the version on its way back
	ActionPause                 // stop at the open stage
	ActionResume                // go on
)

// maxStages is the most stages of an action.
const maxStages = 64

// Encode encodes an action for a datagram.
func (action Action) Encode() []byte {
	if action.InForceWithin != 0 || action.OnUndecided != 0 {
		return encode(&action)
	}
	return encode(&actionOfBefore{
		ID:              action.ID,
		Type:            action.Type,
		Base:            action.Base,
		Text:            action.Text,
		RulesHash:       action.RulesHash,
		Stages:          action.Stages,
		ObservationTime: action.ObservationTime,
		Mandatory:       action.Mandatory,
		MaxFenced:       action.MaxFenced,
		Reason:          action.Reason,
	})
}

// DecodeAction decodes an action; ok is false where it is malformed or a value is out of range.
func DecodeAction(data []byte) (action Action, ok bool) {
	err := msgpack.Unmarshal(data, &action)
	return action, err == nil && action.ID != 0 && action.Type <= ActionResume && len(action.Text) <= MaxTextBytes && len(action.Stages) <= maxStages &&
		action.InForceWithin >= 0 && action.OnUndecided <= UndecidedRollBack
}

// Outcome returns why an action was rejected, "" where it was accepted; ok is false where its outcome is not known.
func (s *State) Outcome(id uint64) (rejectedReason string, ok bool) {
	for _, o := range s.Outcomes {
		if o.ID == id {
			return o.RejectedReason, true
		}
	}
	return "", false
}

// decodeLenient decodes an array of fields, of which other programs may send more or fewer.
func decodeLenient(decoder *msgpack.Decoder, fields ...any) error {
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < len(fields) {
			err = decoder.Decode(fields[i])
		} else {
			err = decoder.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
