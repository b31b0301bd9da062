package pgwire

// SQLSTATE codes of the errors that fronts and servers return, named as in appendix A of the PostgreSQL manual.
const (
	CodeTooManyConnections    = "53300" // the request was rejected and nothing was executed
	CodeReadOnlyTransaction   = "25006" // a write was sent to a server that is not the primary
	CodeSnapshotTooOld        = "72000" // the server's data is too old for the read
	CodeProtocolViolation     = "08P01"
	CodeFeatureNotSupported   = "0A000"
	CodeSyntaxError           = "42601"
	CodeInvalidParameterValue = "22023"
	CodeTransactionRollback   = "40000"
	CodeProgramLimitExceeded  = "54000"
	CodeInternalError         = "XX000"
	CodeIdleSessionTimeout    = "57P05"
	CodeCannotConnectNow      = "57P03"
)
