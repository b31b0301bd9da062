package disk

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors that an operator has to act on. Test for them with errors.Is.
var (
	ErrVoterFileInUse   = errors.New("in use by another process")
	ErrVoterFileDamaged = errors.New("damaged")
	ErrSegmentConflict  = errors.New("a file of this name with different content already exists")
)

// replaceVoterRemedy tells an operator what to do about a damaged file. The voter must not rejoin under its old name, since it may have
// forgotten a vote.
const replaceVoterRemedy = "move it away and add a voter with a new name"

// OtherVoterError reports that a file belongs to another voter, or to a voter of another fleet. Owner and Voter have the form
// FLEET/VOTER.
type OtherVoterError struct{ Owner, Voter string }

// Error implements error.
func (e OtherVoterError) Error() string {
	return fmt.Sprintf("it belongs to %s, but this voter is %s: configure another file", e.Owner, e.Voter)
}

// IsTransient reports whether a read, write or sync that failed with err may succeed later: the disk is full or failing, or the system
// lacks memory.
func IsTransient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM:
		return true
	}
	return false
}
