package adminapi

import "errors"

// RejectedError is the reason why a front rejected a request, as the operator reads it.
type RejectedError string

// Error implements error.
func (e RejectedError) Error() string { return string(e) }

// Errors of Listen and Call, to be tested for with errors.Is.
var (
	ErrPathTooLong      = errors.New("path too long for a Unix socket")
	ErrSocketInUse      = errors.New("in use by another process")
	ErrNoFront          = errors.New("no front answers")
	ErrUnknownPath      = errors.New("unknown admin API path") // the front's version does not have it
	ErrUnexpectedAnswer = errors.New("unexpected answer")
)
