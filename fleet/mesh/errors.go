package mesh

import (
	"errors"
	"fmt"

	"dapplerouter/fleet"
)

// Causes for which a link is not opened, or ends. The first two are sent to the peer as the reason of the rejection: their text is
// part of the protocol.
var (
	errCertificateName = errors.New("its key is for another name")
	errSuperseded      = errors.New("superseded by a newer link to the same peer")
	errPanic           = errors.New("panic")
)

// peerNameError says that another front answered than the one that was dialled.
type peerNameError struct{ claimed, dialled string }

// Error implements error.
func (e peerNameError) Error() string {
	return fmt.Sprintf("it calls itself %.40q, and %q was dialled", e.claimed, e.dialled)
}

// rejectedError says that the peer rejected a link.
type rejectedError struct {
	reason       string
	alternatives []fleet.MembershipRecord // fronts that it suggests instead
}

// Error implements error.
func (e rejectedError) Error() string { return "link rejected by the peer: " + e.reason }
