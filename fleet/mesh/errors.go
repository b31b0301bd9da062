package mesh

import (
	"errors"
	"fmt"

	"dapplerouter/fleet"
)

// Reasons why a link is not opened or ends. errCertificateName is sent to the peer as the reason of the rejection, so its text is part of
// the protocol.
var (
	errCertificateName = errors.New("its key is for another name")
	errClosed          = errors.New("the mesh is closed")
	errSuperseded      = errors.New("superseded by a newer link to the same peer")
	errPanic           = errors.New("panic")
)

// peerNameError reports that a front answered that is not the one that was dialled. Its text is sent to the peer as the reason of the
// rejection, so it is part of the protocol.
type peerNameError struct{ claimed, dialled string }

// Error implements error.
func (e peerNameError) Error() string {
	return fmt.Sprintf("it calls itself %.40q, and %q was dialled", e.claimed, e.dialled)
}

// rejectedError reports that the peer rejected a link.
type rejectedError struct {
	reason       string
	alternatives []fleet.MembershipRecord // fronts that the peer suggests to link to instead
}

// Error implements error.
func (e rejectedError) Error() string { return "link rejected by the peer: " + e.reason }
