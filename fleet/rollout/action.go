package rollout

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is the stored result of an Action.
type Outcome struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID             uint64
	RejectedReason string // "" if the action was accepted
}

// Action is an operator's request. The front at which it was made sends it to the leaseholder repeatedly until the State has its Outcome.
type Action struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID              uint64
	Type            uint8
	Base            uint64 // version in force that the operator saw; the action is rejected if it is outdated
	Text            []byte
	RulesHash       string
	Stages          []uint16      // share of the fleet at each stage, in thousandths, increasing to 1000
	ObservationTime time.Duration // see State
	Mandatory       bool          // see State
	MaxFenced       uint16        // see State
	Reason          string        // given by the operator, "" for none

	// Fields that older programs do not have. An action in which all of them are zero is encoded without them.
	InForceWithin time.Duration // time within which the version has to be in force at all fronts; 0 for the form's time, or none
	OnUndecided   uint8         // with a deadline: what follows a stage whose canary analysis did not decide
}

// What follows a stage whose canary analysis did not decide within the stage's share of the time.
const (
	UndecidedContinue uint8 = iota // the next stage opens
	UndecidedPause                 // the rollout pauses until an operator resumes it, and its deadline is missed
	UndecidedRollBack              // the version is rolled back
)

// legacyAction is an Action as older programs encode and decode it, without InForceWithin and OnUndecided.
type legacyAction struct {
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

// DecodeMsgpack decodes an Action that was encoded by this or another version of the program.
func (action *Action) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &action.ID, &action.Type, &action.Base, &action.Text, &action.RulesHash, &action.Stages, &action.ObservationTime,
		&action.Mandatory, &action.MaxFenced, &action.Reason, &action.InForceWithin, &action.OnUndecided)
}

// Types of an Action.
const (
	ActionPublish  uint8 = iota // start the rollout of a new version
	ActionRollBack              // roll back the version that is being rolled out
	ActionPause                 // pause the rollout at the open stage
	ActionResume                // continue a paused rollout
)

// maxStages is the maximum number of stages of an action.
const maxStages = 64

// Encode encodes the action for a datagram. An action without a deadline is encoded as in older programs.
func (action Action) Encode() []byte {
	if action.InForceWithin != 0 || action.OnUndecided != 0 {
		return encode(&action)
	}
	return encode(&legacyAction{
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

// DecodeAction decodes an action. ok is false if it is malformed or a value is out of range.
func DecodeAction(data []byte) (action Action, ok bool) {
	err := msgpack.Unmarshal(data, &action)
	return action, err == nil && action.ID != 0 && action.Type <= ActionResume && len(action.Text) <= MaxTextBytes && len(action.Stages) <= maxStages &&
		action.InForceWithin >= 0 && action.OnUndecided <= UndecidedRollBack
}

// Outcome returns why an action was rejected, or "" if it was accepted. ok is false if the state has no outcome of the action.
func (s *State) Outcome(id uint64) (rejectedReason string, ok bool) {
	for _, o := range s.Outcomes {
		if o.ID == id {
			return o.RejectedReason, true
		}
	}
	return "", false
}

// decodeLenient decodes an array into fields. Programs of other versions may send more or fewer elements: surplus elements are skipped,
// and fields without an element keep their values.
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
