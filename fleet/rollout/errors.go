package rollout

import (
	"errors"
	"fmt"
)

// Reasons for which a Controller rejects an operator's action. Its checks return a RejectedError or a DeadlineError that wraps one of
// these errors, or the error that RuleSet.Split returned.
var (
	ErrNoRollout           = errors.New("no rollout is in progress")
	ErrRolloutInProgress   = errors.New("a rollout is in progress")
	ErrRolloutFinishing    = errors.New("the rollout can no longer be rolled back")
	ErrOutdatedBase        = errors.New("the publication was made on an outdated version")
	ErrConflict            = errors.New("the publication conflicts with the version that is being rolled out")
	ErrRulesUnchanged      = errors.New("the rules equal those in force")
	ErrInvalidStages       = errors.New("the stages do not increase to the whole fleet")
	ErrQueueFull           = errors.New("too many publications are queued")
	ErrRulesTooLong        = errors.New("the merged rules are too long")
	ErrDeadlineTooShort    = errors.New("the deadline is too short for the configuration leases")
	ErrFrontsNotEnrolled   = errors.New("some fronts do not take part in rollouts")
	ErrFrontsNeverStop     = errors.New("some fronts keep serving while isolated")
	ErrVersionsUnconfirmed = errors.New("some fronts may still use another version")
)

// Reasons for which a Participant can't tell the outcome of an action.
var (
	ErrNewerState = errors.New("the record's rolls are of a newer program: bring this one up to date")
	ErrNoAnswer   = errors.New("no answer of the fleet: nobody holds the duty roll, or no majority of keepers is there")
)

// A RejectedError is the rejection of an operator's action. Its text is stored with the action's outcome and shown to the operator
// unchanged, so that programs of different versions show the same text.
type RejectedError struct {
	Reason string
	cause  error // nil if the outcome was read from the replicated state
}

// Error returns the reason of the rejection.
func (e *RejectedError) Error() string { return e.Reason }

// Unwrap returns one of the errors of this package, or nil if only the text is known.
func (e *RejectedError) Unwrap() error { return e.cause }

// rejectf returns a RejectedError with a formatted reason that wraps cause.
func rejectf(cause error, format string, args ...any) error {
	return &RejectedError{Reason: fmt.Sprintf(format, args...), cause: cause}
}

// A DeadlineError says why a version can't be in force at all fronts within a time, and what the operator can do about it.
type DeadlineError struct {
	Reason, Remedy string
}

// Error returns the reason and the remedy.
func (e *DeadlineError) Error() string { return e.Reason + ": " + e.Remedy }

// Unwrap returns ErrDeadlineTooShort.
func (e *DeadlineError) Unwrap() error { return ErrDeadlineTooShort }

// outcomeOf returns the Outcome that is stored for an action. A nil error means that the action was accepted.
func outcomeOf(id uint64, err error) Outcome {
	if err == nil {
		return Outcome{ID: id}
	}
	return Outcome{ID: id, RejectedReason: err.Error()}
}
