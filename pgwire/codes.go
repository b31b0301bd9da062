package pgwire

// SQLSTATEs of the errors that fronts and servers answer with, named as in appendix A of PostgreSQL's manual.
const (
	CodeTooManyConnections    = "53300" // rejected, nothing was executed
	CodeReadOnlyTransaction   = "25006" // a write at a server that is not the primary
	CodeSnapshotTooOld        = "72000" // the server lags too far behind for the read
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
