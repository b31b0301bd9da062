package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Peers of other versions, the history and the control interface receive these texts, so they must not change when names in the
// code change.
func TestErrorTextsThatOthersReceive(t *testing.T) {
	for err, text := range map[error]string{
		errDisplacedName:         "another front has its name",
		errDuplicateLink:         "there is a link already",
		errTooManyFollowers:      "it has as many followers as it takes",
		errNoHello:               "the first message is no hello",
		errOtherFleet:            "it is of another fleet",
		errOwnName:               "it has this front's own name",
		errSelfDisplaced:         "this front stays out: another has its name",
		errUnknownKind:           "a message of a kind that is not known",
		errMessageTooLarge:       "a message with too much in it",
		errInvalidRecord:         "a membership record without sense",
		errDigestTooLong:         "a digest that is too long",
		missingField(KindHello):  "a hello without its part",
		errUnreadableCommand:     "a command that can't be read",
		errOtherTerm:             "the duty is in another term",
		errFrontDisplaced:        "the front was displaced by another of its name",
		errValueChanged:          "the entry has changed meanwhile",
		errLeaderCommand:         "only the giver says that",
		errUnknownLease:          "there is no duty of that name",
		errNoLeaseholder:         "nobody holds it",
		errAlreadyVoter:          "is a keeper already",
		errNotAVoter:             "is no keeper",
		errNotEligible:           "can't take it: it is not there, goes, or takes no duties",
		errTooManyRequests:       "too many questions wait",
		errNoAnswer:              "no answer came",
		errUnreadableState:       "a record that can't be read",
		errInconsistentState:     "a record whose parts don't fit",
		ErrRecoveryWithoutReason: "a recovery needs a reason, for the log",
		ErrRecoveryUnderWay:      "a recovery is under way already",
		ErrNoVoter:               "this front is no voter: recover at a voter whose disk survived",
		ErrVoterHalted:           "this voter has stopped",
		ErrEmptyDisk:             "this voter's disk holds nothing of the fleet: recover at a voter whose disk survived",
		ErrLeaderPresent:         "the fleet has a leader",
		ErrMajorityPresent:       "a majority of voters that know the fleet is here: it elects a leader by itself",
	} {
		assert.EqualError(t, err, text)
	}
}

func TestCommandsWithoutEffectSayWhy(t *testing.T) {
	state := newReplicatedState()
	apply := func(c Command) error {
		_, err := state.apply(state.Index+1, c.Encode())
		return err
	}
	require.NoError(t, apply(Command{Op: opDeclareLease, Lease: "list"}))
	assert.ErrorIs(t, apply(Command{Op: opGrantLease, Lease: "list", Term: 3, Target: "n1"}), errOtherTerm)
	require.NoError(t, apply(Command{Op: opGrantLease, Lease: "list", Target: "n1", Incarnation: 1}))
	require.NoError(t, apply(Command{Op: opPutValue, Lease: "list", Term: 1, Key: "k", Value: []byte("v")}))
	assert.ErrorIs(t, apply(Command{Op: opPutValue, Lease: "list", Term: 1, Key: "k", Value: []byte("w")}), errValueChanged)
	assert.ErrorIs(t, apply(Command{Op: opPutValue, Lease: "list", Term: 2, Key: "k", Value: []byte("w")}), errOtherTerm)
	require.NoError(t, apply(Command{Op: opJoin, Front: &Front{Name: "n1", Incarnation: 1}}))
	require.NoError(t, apply(Command{Op: opJoin, Front: &Front{Name: "n1", Incarnation: 2}}))
	assert.ErrorIs(t, apply(Command{Op: opJoin, Front: &Front{Name: "n1", Incarnation: 1}}), errFrontDisplaced)
	_, err := state.apply(state.Index+1, []byte{0xc1})
	assert.ErrorIs(t, err, errUnreadableCommand)
	var format *FormatError
	require.ErrorAs(t, apply(Command{Format: 2}), &format)
	assert.Equal(t, "a command of format 2, and this program knows 1", format.Error())
}

func TestSnapshotsThatCannotBeReadSayWhy(t *testing.T) {
	_, err := decodeReplicatedState([]byte{0x93, 1, 2, 3})
	assert.ErrorIs(t, err, errUnreadableState)
	_, err = decodeReplicatedState([]byte{0x98, 1, 1, 0xc0, 0xc0, 0x91, 0xa1, 'a', 0xc0, 0xc0, 0})
	assert.ErrorIs(t, err, errInconsistentState)
	_, err = decodeReplicatedState([]byte{0x98, 2, 1, 0xc0, 0xc0, 0xc0, 0xc0, 0xc0, 0})
	var format *FormatError
	require.ErrorAs(t, err, &format)
	assert.Equal(t, "a record of format 2, and this program knows 1: bring the program up to date", format.Error())
}

func TestRecoveryIsRefusedWithItsReason(t *testing.T) {
	follower := newTestFollower(t, "n1")
	assert.ErrorIs(t, follower.RecoverVoters(0, " "), ErrRecoveryWithoutReason)
	assert.ErrorIs(t, follower.RecoverVoters(0, "lost"), ErrNoVoter)

	voter := newTestVoter(t, "k1")
	require.NoError(t, voter.RecoverVoters(0, "lost"))
	assert.ErrorIs(t, voter.RecoverVoters(0, "lost"), ErrRecoveryUnderWay)
	other := newTestVoter(t, "k2")
	voter.LinkUp(0, other.Hello("k1", true))
	assert.ErrorIs(t, voter.RecoverVoters(0, "lost"), ErrMajorityPresent)
	voter.isolated, voter.heartbeatFrom = false, "k2"
	err := voter.RecoverVoters(0, "lost")
	assert.ErrorIs(t, err, ErrLeaderPresent)
	assert.EqualError(t, err, "the fleet has a leader, k2: nothing is to be recovered")
	voter.voter.floor = Floor{}
	assert.ErrorIs(t, voter.RecoverVoters(0, "lost"), ErrEmptyDisk)
	voter.voter.halt("its disk is an old copy")
	err = voter.RecoverVoters(0, "lost")
	assert.ErrorIs(t, err, ErrVoterHalted)
	assert.EqualError(t, err, "this voter has stopped (its disk is an old copy): recover at the voter that knows more")
}

func TestRecoveryEndsWithTheHaltOfItsVoter(t *testing.T) {
	n := newTestVoter(t, "k1")
	require.NoError(t, n.RecoverVoters(0, "lost"))
	n.voter.halt("its disk is an old copy")
	require.Equal(t, RecoveryRefused, n.Recovery().State)
	var halted *VoterHaltError
	require.ErrorAs(t, n.Recovery().Err, &halted)
	assert.Equal(t, "its disk is an old copy", halted.Error())
}

func TestLinkRejectionsSayWhy(t *testing.T) {
	n, err := New(Options{Fleet: "x", Name: "n1", Incarnation: 1, Timing: Timing{LeaseDuration: 3 * time.Second}}, nil)
	require.NoError(t, err)
	hello := func(change func(h *Handshake)) *Message {
		h := Handshake{Fleet: "x", Name: "n2", Incarnation: 1, Dialled: true}
		change(&h)
		return &Message{Kind: KindHello, Hello: &h}
	}
	assert.NoError(t, n.CheckHello(0, hello(func(*Handshake) {})))
	assert.ErrorIs(t, n.CheckHello(0, &Message{Kind: KindPing}), errNoHello)
	assert.ErrorIs(t, n.CheckHello(0, hello(func(h *Handshake) { h.Fleet = "y" })), errOtherFleet)
	assert.ErrorIs(t, n.CheckHello(0, hello(func(h *Handshake) { h.Name = "n1" })), errOwnName)
	assert.ErrorIs(t, n.CheckHello(0, hello(func(h *Handshake) { h.Name = "" })), missingField(KindHello))
	n.state.Fronts["n2"] = &Front{Name: "n2", Incarnation: 3, PastIncarnations: []uint64{1}}
	assert.ErrorIs(t, n.CheckHello(0, hello(func(*Handshake) {})), errDisplacedName)
	n.options.MaxFollowers = 0
	assert.ErrorIs(t, n.CheckHello(0, hello(func(h *Handshake) { h.Name = "n3" })), errTooManyFollowers)
	n.markDisplaced("another process has its name")
	assert.ErrorIs(t, n.CheckHello(0, hello(func(h *Handshake) { h.Name = "n3" })), errSelfDisplaced)
}
