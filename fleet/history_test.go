package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Operators' tools read the names in the history, so these must not change when the event types are renamed.
func TestHistoryKeepsItsNames(t *testing.T) {
	for _, c := range []struct {
		event Event
		want  EventFields
	}{
		{LeaseAcquired{Lease: "l", Term: 2, Until: 4, Since: 3}, EventFields{Kind: "held", Lease: "l", Term: 2, Until: 4, Since: 3}},
		{LeaseRenewed{Lease: "l", Term: 2, Until: 4, Since: 3}, EventFields{Kind: "kept", Lease: "l", Term: 2, Until: 4, Since: 3}},
		{LeaseEnded{Lease: "l", Term: 2, Until: 4, Broadcasts: 5, Reason: "y"}, EventFields{Kind: "ended", Lease: "l", Term: 2, Until: 4, Number: 5, Reason: "y"}},
		{LeaseGranted{Lease: "l", Term: 2, Leaseholder: "n", Index: 6, Reason: "y"}, EventFields{Kind: "granted", Lease: "l", Term: 2, Name: "n", Index: 6, Reason: "y"}},
		{BroadcastReceived{Lease: "l", Term: 2, From: "n", Number: 5, Data: []byte("x")}, EventFields{Kind: "came", Lease: "l", Term: 2, Name: "n", Number: 5}},
		{BroadcastRejected{Lease: "l", Term: 2, From: "n", Reason: "y"}, EventFields{Kind: "refused", Lease: "l", Term: 2, Name: "n", Reason: "y"}},
		{FrontJoined{Name: "n", Incarnation: 5, Index: 6}, EventFields{Kind: "joined", Name: "n", Number: 5, Index: 6}},
		{FrontLeft{Name: "n", Index: 6}, EventFields{Kind: "parted", Name: "n", Index: 6}},
		{FleetReached{Term: 2}, EventFields{Kind: "heard", Term: 2}},
		{FleetLost{Reason: "y"}, EventFields{Kind: "alone", Reason: "y"}},
		{BecameLeader{Term: 2}, EventFields{Kind: "gives", Term: 2}},
		{LostLeadership{}, EventFields{Kind: "gives no more"}},
		{VoterHalted{Reason: "y"}, EventFields{Kind: "keeper halted", Reason: "y"}},
		{VotersRecovered{Lost: []string{"n", "m"}, Index: 6, Term: 2, Reason: "y"}, EventFields{Kind: "voters recovered", Name: "n m", Term: 2, Index: 6, Reason: "y"}},
		{VotersRecovered{Reason: "x", Err: &VoterHaltError{Reason: "y"}}, EventFields{Kind: "recovery refused", Reason: "y"}},
		{FrontDisplaced{Name: "n", Reason: "y"}, EventFields{Kind: "displaced", Name: "n", Reason: "y"}},
		{RequestDone{ID: 5, Error: "y"}, EventFields{Kind: "answered", Number: 5, Reason: "y"}},
		{LinkClosed{Peer: "n", Reason: "y"}, EventFields{Kind: "shed", Name: "n", Reason: "y"}},
		{StateUnreadable{Index: 6, Reason: "y"}, EventFields{Kind: "stuck", Index: 6, Reason: "y"}},
		{DatagramReceived{From: "n", Subsystem: "p", Data: []byte("x")}, EventFields{Kind: "posted", Lease: "p", Name: "n"}},
		{ConfigLeaseRenewed{Version: 5, Until: 4 * time.Second, Since: 3}, EventFields{Kind: "righted", Number: 5, Until: 4 * time.Second, Since: 3}},
	} {
		assert.Equal(t, c.want, c.event.Fields())
	}
}

func TestHistoryKeepsItsReasons(t *testing.T) {
	for reason, text := range map[string]string{
		reasonVacant:            "nobody held it",
		reasonExpired:           "it ran out",
		reasonTransferred:       "handed on",
		reasonReleased:          "let go",
		reasonNoProgress:        "it got nothing done",
		reasonVotersRecovered:   "the voters were recovered",
		reasonLaterTerm:         "a later term acts",
		reasonGrantedTo:         "it passed to ",
		reasonTransferRequested: "it was asked to hand it on",
		reasonAcceptsNoLeases:   "this front takes no duty",
		reasonShutdown:          "this front ends",
		reasonNoConfigLease:     "this front has no right to act",
		reasonLeaderOffloads:    "its holder gives as well",
		reasonFrontDisplaced:    "another front has this one's name",
		reasonNameTaken:         "another front of the fleet has this name",
		reasonVoterNameTaken:    "another front has this keeper's name",
		reasonStaleBroadcast:    "an act of an older term",
		reasonNoHeartbeat:       "no pulse of the fleet",
		reasonSilentLink:        "it was silent",
	} {
		assert.Equal(t, text, reason)
	}
}
