package adminapi

import "errors"

// RejectedError is the reason for which a front rejected a request, as shown to the operator.
type RejectedError string

// Error implements error.
func (e RejectedError) Error() string { return string(e) }

// Errors of Listen and Call, for errors.Is.
var (
	ErrPathTooLong      = errors.New("path too long for a Unix socket")
	ErrSocketInUse      = errors.New("in use by another process")
	ErrNoFront          = errors.New("no front answers")
	ErrUnknownPath      = errors.New("unknown admin API path") // the version of the front may be too old
	ErrUnexpectedAnswer = errors.New("unexpected answer")
)
