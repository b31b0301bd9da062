package main

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/agent"
)

// votersCommands change the set of voters.
type votersCommands struct {
	Add     votersAddCommand     `cmd:"" help:"Make a front a voter; it is started with (voter FILE) (joins)."`
	Remove  votersRemoveCommand  `cmd:"" help:"Remove a voter; its front is started again without its file."`
	Recover votersRecoverCommand `cmd:"" help:"Recover the voters from one disk, where most voters have lost theirs."`
}

// votersAddCommand makes a front a voter. The front must have been started with (voter FILE) (joins).
type votersAddCommand struct {
	Name    string `arg:"" help:"The front's name."`
	Address string `arg:"" help:"Where its mesh listens."`
	adminClient
}

// run requests from the front's admin API that the named front becomes a voter.
func (c *votersAddCommand) run() int {
	return c.postAndPrint("/v1/fleet/voters/add", url.Values{"name": {c.Name}, "address": {c.Address}}, c.Name+" is a voter")
}

// votersRemoveCommand removes a voter. Its front has to be restarted without its voter file.
type votersRemoveCommand struct {
	Name string `arg:"" help:"The voter's name."`
	adminClient
}

// run requests from the front's admin API that the named voter is removed.
func (c *votersRemoveCommand) run() int {
	return c.postAndPrint("/v1/fleet/voters/remove", url.Values{"name": {c.Name}}, c.Name+" is no voter any more")
}

// votersRecoverCommand recovers a fleet in which a majority of the voters has lost their disks. The voter of the front that it calls
// becomes the only voter, and its disk the only copy of the replicated state.
type votersRecoverCommand struct {
	Reason  string `required:"" placeholder:"TEXT" help:"Why, for the log and the history."`
	Confirm bool   `help:"Do it. Without this it only says what it may cost."`
	adminClient
}

// recoveryWarning tells an operator the consequences of a recovery.
const recoveryWarning = `This voter's disk becomes the fleet's only one, and this front its only voter.
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
	maxRecoveryTime      = 30 * time.Second // after the leases of the lost voters have expired
)

var (
	errRecoveryTimeout = errors.New("the recovery did not finish in time; see the front's log")
	errRecoveryRefused = errors.New("recovery refused")
)

// Help returns what --help shows below the usage.
func (*votersRecoverCommand) Help() string { return recoveryWarning }

// run requests the recovery and waits for its end. Without --confirm it only prints the consequences and exits with exitNegative.
func (c *votersRecoverCommand) run() int {
	if !c.Confirm {
		fmt.Fprintln(os.Stderr, recoveryWarning)
		fmt.Fprintln(os.Stderr, "dapplerouter: nothing was done: add --confirm to recover")
		return exitNegative
	}
	var s agent.RecoveryStatus
	if err := c.post("/v1/fleet/voters/recover", url.Values{"confirm": {"yes"}, "reason": {c.Reason}}, &s); err != nil {
		return reportCallError(err)
	}
	fmt.Fprintln(os.Stderr, recoveryWarning)
	fmt.Fprintf(os.Stderr, "dapplerouter: waiting %.1f s until leases of the lost voters have expired\n", s.WaitSeconds)
	if err := c.awaitRecovery(&s); err != nil {
		return reportCallError(err)
	}
	if c.JSON {
		printJSON(s)
	}
	if s.State != fleet.RecoveryDone {
		printError(fmt.Errorf("%w: %s", errRecoveryRefused, s.RejectionReason))
		return exitNegative
	}
	if !c.JSON {
		fmt.Printf("recovered at index %d; removed voters: %s\n", s.Index, strings.Join(s.Lost, " "))
	}
	return exitOK
}

// awaitRecovery polls the recovery's status into s until the recovery is done or refused. It returns errRecoveryTimeout if that takes too
// long.
func (c *votersRecoverCommand) awaitRecovery(s *agent.RecoveryStatus) error {
	end := time.Now().Add(time.Duration(s.WaitSeconds*float64(time.Second)) + maxRecoveryTime)
	for s.State == fleet.RecoveryWaiting || s.State == fleet.RecoveryWriting {
		if time.Now().After(end) {
			return errRecoveryTimeout
		}
		time.Sleep(recoveryPollInterval)
		if err := c.get("/v1/fleet/voters/recovery", s); err != nil {
			return err
		}
	}
	return nil
}
