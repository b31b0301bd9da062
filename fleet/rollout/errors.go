package rollout

import (
	"errors"
	"fmt"
)

// Why a Controller rejects an operator's action. It returns RejectedErrors and DeadlineErrors, which wrap one of these, or what
// RuleSet.Split returned.
var (
	ErrNoRollout           = errors.New("no rollout is in progress")
	ErrRolloutInProgress   = errors.New("a rollout is in progress")
	ErrRolloutFinishing    = errors.New("the rollout can no longer be rolled back")
	ErrOutdatedBase        = errors.New("the publication was made on an outdated version")
	ErrConflict            = errors.New("the publication conflicts with the version that is being rolled out")
	ErrRulesUnchanged      = errors.New("the rules are those in force")
	ErrInvalidStages       = errors.New("the stages do not rise to the whole fleet")
	ErrQueueFull           = errors.New("too many publications are queued")
	ErrRulesTooLong        = errors.New("the merged rules are too long")
	ErrDeadlineTooShort    = errors.New("the time is too short for the configuration leases")
	ErrFrontsNotEnrolled   = errors.New("fronts take no part in rollouts")
	ErrFrontsNeverStop     = errors.New("fronts serve on while isolated")
	ErrVersionsUnconfirmed = errors.New("fronts may still use another version")
)

// Why a Participant has no outcome for an action.
var (
	ErrNewerState = errors.New("the record's rolls are of a newer program: bring this one up to date")
	ErrNoAnswer   = errors.New("no answer of the fleet: nobody holds the duty roll, or no majority of keepers is there")
)

// A RejectedError is an action's rejection. Its text is stored with the action's outcome and shown to the operator as it is, so that
// programs of two versions show the same.
type RejectedError struct {
	Reason string
	cause  error // nil for an outcome that was read from the replicated state
}

func (e *RejectedError) Error() string { return e.Reason }

// Unwrap returns one of the errors of this package, nil where only the text is known.
func (e *RejectedError) Unwrap() error { return e.cause }

func rejectf(cause error, format string, args ...any) error {
	return &RejectedError{Reason: fmt.Sprintf(format, args...), cause: cause}
}

// A DeadlineError says why a version can't be in force everywhere within a time, and what to do.
type DeadlineError struct {
	Reason, Remedy string
}

func (e *DeadlineError) Error() string { return e.Reason + ": " + e.Remedy }

// Unwrap returns ErrDeadlineTooShort.
func (e *DeadlineError) Unwrap() error { return ErrDeadlineTooShort }

// outcomeOf is an action's outcome for the replicated state; a nil error is acceptance.
func outcomeOf(id uint64, err error) Outcome {
	if err == nil {
		return Outcome{ID: id}
	}
	return Outcome{ID: id, RejectedReason: err.Error()}
}
