package capacity

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNotConverged is that a fleet took too long to come up. Its text is part of a record, so it stays as committed records
	// have it.
	ErrNotConverged = errors.New("the fleet has not settled")
	// ErrNotInForce is that a published configuration took too long to be in force everywhere.
	ErrNotInForce = errors.New("configuration not in force")
	// ErrNoReply is that a worker process runs and does not answer a request.
	ErrNoReply = errors.New("no reply")
	// ErrUnknownWorker is that Work has no worker of a kind.
	ErrUnknownWorker = errors.New("unknown kind of worker")
	// ErrUnknownOperation is that a worker has no such operation.
	ErrUnknownOperation = errors.New("unknown operation")
	// ErrFieldMissing is that a file of /proc lacks a line.
	ErrFieldMissing = errors.New("field missing")
)

// SizeError is a size that has a value out of range, or that the machine cannot bear. Each line names a flag, and what would fit.
type SizeError []string

// Error returns the lines.
func (e SizeError) Error() string { return strings.Join(e, "\n") }

// WorkerError is a request that a worker process could not carry out.
type WorkerError struct {
	Worker  string // the name of its process
	Message string // the worker's error, as it came over the pipe
}

// Error has the worker's name before its error.
func (e *WorkerError) Error() string { return e.Worker + ": " + e.Message }

// ProcessExitError is a process that ended before the run did.
type ProcessExitError struct {
	Process string
	Exit    string // "signal: killed", "exit status 1"
	LastLog string // the last line of its log, "" for none
}

// Error names the process, how it ended, and what it logged last.
func (e *ProcessExitError) Error() string {
	text := fmt.Sprintf("%s ended during the run (%s); its measurements are not counted", e.Process, e.Exit)
	if e.LastLog != "" {
		text += "; last log line: " + e.LastLog
	}
	return text
}
