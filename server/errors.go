package server

import (
	"errors"

	"dapplerouter/pgwire"
)

// The reasons why a client's connection ends. fatalMessage decides whether the client is sent the error.
var (
	errClosedBetweenRequests = errors.New("connection closed between requests")
	errCancelRequest         = errors.New("cancel requests are not supported")
	errRequestTimeout        = errors.New("nothing was asked in time") // the text is sent to clients
	errTooManyClients        = errors.New("too many clients")          // the text is sent to clients
)

// fatalMessage returns the ErrorResponse message for the error that ends a client's connection, or nil if the client is sent no error.
func fatalMessage(err error) []byte {
	code := ""
	switch {
	case pgwire.IsProtocolError(err):
		code = pgwire.CodeProtocolViolation
	case errors.Is(err, errRequestTimeout):
		code = pgwire.CodeIdleSessionTimeout
	case errors.Is(err, errTooManyClients) || errors.Is(err, pgwire.ErrBufferLimit):
		code = pgwire.CodeTooManyConnections
	default:
		return nil
	}
	return pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: code, Message: err.Error()})
}
