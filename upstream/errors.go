package upstream

import (
	"errors"

	"dapplerouter/pgwire"
)

// Why a connection carried no attempt; ConnectionError.Err of an AttemptFinished event wraps them.
var (
	// ErrNoDescriptor says that no descriptor came free within the dial timeout.
	ErrNoDescriptor = errors.New("no free descriptor for a server connection")
	// ErrUnexpectedInput says that the server closed the connection, or sent more than its greeting, before the first request.
	ErrUnexpectedInput = errors.New("server closed the connection or sent data before the first request")

	errPanic = errors.New("panic in a server connection")
)

// RejectedError says that a server answered the startup message with an error.
type RejectedError struct {
	Answer pgwire.QueryResult // its Code is not empty
}

// Error implements error.
func (e *RejectedError) Error() string { return "server rejected the connection with " + e.Answer.Code }
