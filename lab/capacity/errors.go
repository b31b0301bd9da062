package capacity

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNotConverged means that a fleet took too long to converge after its start. Its text is part of records, so it must stay the
	// same as in committed records.
	ErrNotConverged = errors.New("the fleet has not settled")
	// ErrNotInForce means that a published configuration took too long to be in force everywhere.
	ErrNotInForce = errors.New("configuration not in force")
	// ErrNoReply means that a worker process runs but does not answer a request.
	ErrNoReply = errors.New("no reply")
	// ErrUnknownWorker means that Work does not know a kind of worker.
	ErrUnknownWorker = errors.New("unknown kind of worker")
	// ErrUnknownOperation means that a worker does not know an operation.
	ErrUnknownOperation = errors.New("unknown operation")
	// ErrFieldMissing means that a file in /proc lacks a field.
	ErrFieldMissing = errors.New("field missing")
)

// SizeError reports a size with values that are out of range or that exceed the machine's resources. Each element is a line that names
// a flag and what would fit.
type SizeError []string

// Error returns the lines, separated by newlines.
func (e SizeError) Error() string { return strings.Join(e, "\n") }

// WorkerError reports a request that a worker process could not carry out.
type WorkerError struct {
	Worker  string // name of the worker's process
	Message string // the worker's error text, as received over the pipe
}

// Error returns the worker's name and its error text.
func (e *WorkerError) Error() string { return e.Worker + ": " + e.Message }

// ProcessExitError reports a process that exited before the end of the run.
type ProcessExitError struct {
	Process string // name of the process
	Exit    string // exit status, as in "signal: killed" or "exit status 1"
	LastLog string // the line of its log that explains the exit, usually the last one; "" for none
}

// Error returns the name of the process, its exit status and its last log line.
func (e *ProcessExitError) Error() string {
	text := fmt.Sprintf("%s ended during the run (%s); its measurements are not counted", e.Process, e.Exit)
	if e.LastLog != "" {
		text += "; last log line: " + e.LastLog
	}
	return text
}
