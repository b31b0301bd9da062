package fleet

import (
	"errors"
	"fmt"
)

// ProtocolError is a violation of the protocol by a peer, or the reason to reject its link. The link must be closed.
type ProtocolError string

// Error implements error.
func (e ProtocolError) Error() string { return string(e) }

// Reasons to reject a link. The rejected front receives the text, and handles the first three in special ways. So the texts are part of
// the protocol.
const (
	errDisplacedName    ProtocolError = "another front has its name"
	errDuplicateLink    ProtocolError = "there is a link already"
	errTooManyFollowers ProtocolError = "it has as many followers as it takes"
	errNoHello          ProtocolError = "the first message is no hello"
	errOtherFleet       ProtocolError = "it is of another fleet"
	errOwnName          ProtocolError = "it has this front's own name"
	errSelfDisplaced    ProtocolError = "this front stays out: another has its name"
)

// Violations of the protocol by a message. A violation by the first message of a link is a reason to reject the link, so these texts
// are part of the protocol too.
const (
	errUnknownKind      ProtocolError = "a message of a kind that is not known"
	errMessageTooLarge  ProtocolError = "a message with too much in it"
	errInvalidRecord    ProtocolError = "a membership record without sense"
	errDigestTooLong    ProtocolError = "a digest that is too long"
	errSecondHello      ProtocolError = "second handshake on a link"
	errInvalidChunk     ProtocolError = "snapshot chunk out of bounds"
	errInvalidConsensus ProtocolError = "consensus message that cannot be decoded"
	errForeignConsensus ProtocolError = "consensus message in the name of another voter"
)

// missingField returns the error for a message of the given kind that lacks a field which this kind requires.
func missingField(kind Kind) ProtocolError {
	return ProtocolError("a " + kind.String() + " without its part")
}

// Errors of Node.RecoverVoters, which say why the voters must not or need not be recovered from a front's disk. The control interface
// shows their texts.
var (
	ErrRecoveryWithoutReason = errors.New("a recovery needs a reason, for the log")
	ErrRecoveryUnderWay      = errors.New("a recovery is under way already")
	ErrNoVoter               = errors.New("this front is no voter: recover at a voter whose disk survived")
	ErrVoterHalted           = errors.New("this voter has stopped")
	ErrEmptyDisk             = errors.New("this voter's disk holds nothing of the fleet: recover at a voter whose disk survived")
	ErrLeaderPresent         = errors.New("the fleet has a leader")
	ErrMajorityPresent       = errors.New("a majority of voters that know the fleet is here: it elects a leader by itself")
)

// VoterHaltError says that a recovery ended because its voter halted. Its text is the halt reason alone.
type VoterHaltError struct {
	Reason string // see Node.VoterHaltReason
}

// Error implements error.
func (e *VoterHaltError) Error() string { return e.Reason }

// Errors of commands that have no effect, and of requests that the leader refuses. They are sent to the requester as text, and must be
// the same at each front. So the texts change only with the format.
var (
	errUnreadableCommand = errors.New("a command that can't be read")
	errOtherTerm         = errors.New("the duty is in another term")
	errFrontDisplaced    = errors.New("the front was displaced by another of its name")
	errValueChanged      = errors.New("the entry has changed meanwhile")
	errLeaderCommand     = errors.New("only the giver says that")
	errUnknownLease      = errors.New("there is no duty of that name")
	errNoLeaseholder     = errors.New("nobody holds it")
	errAlreadyVoter      = errors.New("is a keeper already")
	errNotAVoter         = errors.New("is no keeper")
	errNotEligible       = errors.New("can't take it: it is not there, goes, or takes no duties")
	errTooManyRequests   = errors.New("too many questions wait")
	errNoAnswer          = errors.New("no answer came")
)

// errorText returns the text by which an error is sent to another front, "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Errors of decoding a replicated state.
var (
	errUnreadableState   = errors.New("a record that can't be read")
	errInconsistentState = errors.New("a record whose parts don't fit")
)

// FormatError says that a snapshot or a command needs a newer program.
type FormatError struct {
	What          string // "record" or "command"
	Needed, Known uint32 // the format that is needed, and the newest one that this program knows
	Remedy        string // a suffix of the text that says what to do, "" for none
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("a %s of format %d, and this program knows %d%s", e.What, e.Needed, e.Known, e.Remedy)
}

// OlderListError says that the discovery service returned an endpoint list that is older than the known list.
type OlderListError struct {
	Received, Known int64 // the indices of the lists
}

// Error implements error.
func (e *OlderListError) Error() string {
	return fmt.Sprintf("endpoint list %d is older than list %d", e.Received, e.Known)
}
