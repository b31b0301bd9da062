package main

import (
	"net/url"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
	"dapplerouter/fleet/agent"
)

// A recovery is requested only with --confirm, and the exit code tells whether it was done or refused.
func TestRecoveryRequiresConfirmationAndReportsItsEnd(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "ctl")
	s, err := adminapi.Listen(socket)
	require.NoError(t, err)
	defer s.Close()
	var requests []url.Values
	end := agent.RecoveryStatus{State: fleet.RecoveryDone, Lost: []string{"n2", "n3"}}
	s.HandlePost("/v1/fleet/voters/recover", func(q url.Values) (any, error) {
		requests = append(requests, q)
		return agent.RecoveryStatus{State: fleet.RecoveryWaiting, WaitSeconds: 0.1}, nil
	})
	s.HandleGet("/v1/fleet/voters/recovery", func(url.Values) (any, error) { return end, nil })
	s.Start()

	c := &votersRecoverCommand{Reason: "two disks are gone", adminClient: adminClient{Control: socket}}
	assert.Equal(t, exitNegative, c.run())
	assert.Empty(t, requests, "a recovery was requested without --confirm")
	c.Confirm = true
	assert.Equal(t, exitOK, c.run())
	assert.Equal(t, []url.Values{{"confirm": {"yes"}, "reason": {"two disks are gone"}}}, requests)
	end = agent.RecoveryStatus{State: fleet.RecoveryRefused, RejectionReason: "a majority is here"}
	assert.Equal(t, exitNegative, c.run())
}
