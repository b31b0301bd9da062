package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/agent"
)

// votersRecoverCommand makes a voter whose disk survived the only one, where a majority of the voters has lost its disks.
type votersRecoverCommand struct {
	Reason  string `required:"" placeholder:"TEXT" help:"Why, for the log and the history."`
	Confirm bool   `help:"Do it. Without this it only says what it may cost."`
	adminClient
}

// recoveryCost is what an operator must know before a recovery.
const recoveryCost = `This voter's disk becomes the fleet's only one, and this front its only voter.
What it may cost:
  - Log entries that the lost voters acknowledged and that are not on this disk are lost: versions that were published, leases,
    fronts that joined. Recover at the voter whose disk is the newest.
  - A lease that the lost voters granted may be granted a second time until its duration has passed. So nothing is changed before
    the longest lease has expired; every front serves on alone meanwhile.
  - The other voters' disks are refused from then on. Start those fronts again without their files, and add voters of new names.
  - If the other voters are alive and only out of reach, they may go on as a second fleet until they meet this one: end them first.
It is refused where the fleet has a leader, or where a majority of voters that kept their disks is linked to this one.`

const (
	recoveryPollInterval = 200 * time.Millisecond
	maxRecoveryTime      = 30 * time.Second // beyond the wait for leases
)

// Help is shown by --help.
func (*votersRecoverCommand) Help() string { return recoveryCost }

func (c *votersRecoverCommand) run() int {
	if !c.Confirm {
		fmt.Fprintln(os.Stderr, recoveryCost)
		fmt.Fprintln(os.Stderr, "dapplerouter: nothing was done: add --confirm to recover")
		return exitNegative
	}
	var s agent.RecoveryStatus
	if err := c.call("POST", "/v1/fleet/voters/recover", url.Values{"confirm": {"yes"}, "reason": {c.Reason}}, &s); err != nil {
		return exitCode(err)
	}
	fmt.Fprintln(os.Stderr, recoveryCost)
	fmt.Fprintf(os.Stderr, "dapplerouter: waiting %.1f s until leases of the lost voters have expired\n", s.WaitSeconds)
	end := time.Now().Add(time.Duration(s.WaitSeconds*float64(time.Second)) + maxRecoveryTime)
	for s.State == fleet.RecoveryWaiting || s.State == fleet.RecoveryWriting {
		if time.Now().After(end) {
			fmt.Fprintln(os.Stderr, "dapplerouter: the recovery does not end: see the front's log")
			return exitUnusable
		}
		time.Sleep(recoveryPollInterval)
		if err := c.call("GET", "/v1/fleet/voters/recovery", nil, &s); err != nil {
			return exitCode(err)
		}
	}
	if c.JSON {
		json.NewEncoder(os.Stdout).Encode(s)
	}
	if s.State != fleet.RecoveryDone {
		fmt.Fprintf(os.Stderr, "dapplerouter: refused: %s\n", s.Fault)
		return exitNegative
	}
	if !c.JSON {
		fmt.Printf("recovered at index %d; voters no more: %s\n", s.Index, strings.Join(s.Lost, " "))
	}
	return exitOK
}
