package disk

import (
	"errors"
	"fmt"
)

// Errors that an operator acts on, to be tested for with errors.Is.
var (
	ErrVoterFileInUse   = errors.New("in use by another process")
	ErrVoterFileDamaged = errors.New("damaged")
	ErrSegmentConflict  = errors.New("there is a file of this name with other content")
)

// replaceVoterRemedy is what an operator does about a damaged file: a voter that forgot a vote must not rejoin by its name.
const replaceVoterRemedy = "move it away and add a voter of a new name"

// OtherVoterError says that a file belongs to another voter, or to a voter of another fleet. Both are FLEET/VOTER.
type OtherVoterError struct{ Owner, Voter string }

// Error implements error.
func (e OtherVoterError) Error() string {
	return fmt.Sprintf("it belongs to %s, and this is %s: name another file", e.Owner, e.Voter)
}
