package server

import (
	"errors"

	"dapplerouter/pgwire"
)

// Why a client's connection ends. Whether a client is sent the error is decided by fatalMessage.
var (
	errDraining       = errors.New("connection ends between requests")
	errCancelRequest  = errors.New("cancel request, which is not supported")
	errIdle           = errors.New("nothing was asked in time") // the text is sent to clients
	errTooManyClients = errors.New("too many clients")          // the text is sent to clients
)

// fatalMessage returns the message with the error that ends a client's connection, nil where the client is sent none.
func fatalMessage(err error) []byte {
	code := ""
	switch {
	case pgwire.IsProtocolError(err):
		code = pgwire.CodeProtocolViolation
	case errors.Is(err, errIdle):
		code = pgwire.CodeIdleSessionTimeout
	case errors.Is(err, errTooManyClients) || errors.Is(err, pgwire.ErrBufferLimit):
		code = pgwire.CodeTooManyConnections
	default:
		return nil
	}
	return pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: code, Message: err.Error()})
}
