package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"dapplerouter/fleet/agent"
)

// fleetCommands show and change a fleet through the admin API of one of its fronts. The audit commands read log files instead.
type fleetCommands struct {
	Status   fleetStatusCommand   `cmd:"" help:"Show the fleet as one front sees it."`
	Leases   fleetLeasesCommand   `cmd:"" help:"Show who holds which lease, in which term."`
	Transfer fleetTransferCommand `cmd:"" help:"Transfer a lease to another front."`
	Publish  fleetPublishCommand  `cmd:"" help:"Publish rules to all fronts, in stages that are watched."`
	Roll     rolloutCommands      `cmd:"" help:"Show the rollout in progress, and change it."`
	Audit    auditCommands        `cmd:"" help:"Read from audit logs which front acted on which version."`
	Voters   votersCommands       `cmd:"" help:"Add or remove a voter, or recover from the loss of most of them."`
	ID       fleetIDCommands      `cmd:"" name:"id" help:"Make a fleet's id."`

	// Deprecated commands, see deprecatedCommands.
	Duties  fleetLeasesCommand   `cmd:"" hidden:""`
	Hand    fleetTransferCommand `cmd:"" hidden:""`
	Keepers votersCommands       `cmd:"" hidden:""`
}

// deprecatedCommands maps each deprecated command to the one that replaces it. Deprecated commands work for one version, with a warning.
var deprecatedCommands = map[string]string{
	"fleet duties":  "fleet leases",
	"fleet hand":    "fleet transfer",
	"fleet keepers": "fleet voters",
}

// deprecationOf returns the warning for a command that was called by a deprecated name, and "" for any other command.
func deprecationOf(command string) string {
	for old, current := range deprecatedCommands {
		if command == old || strings.HasPrefix(command, old+" ") {
			return fmt.Sprintf("%s is deprecated and will be removed in the next version: use %s", old, current)
		}
	}
	return ""
}

// fleetStatusCommand shows the fleet's members, leases and leader as one front sees them.
type fleetStatusCommand struct{ adminClient }

// run exits with exitNegative if the front is isolated or its voter has halted.
func (c *fleetStatusCommand) run() int {
	var s agent.Status
	if err := c.get("/v1/fleet", &s); err != nil {
		return reportCallError(err)
	}
	if c.JSON {
		printJSON(s)
	} else {
		printFleetStatus(&s)
	}
	if s.Isolated || s.VoterHaltReason != "" {
		return exitNegative
	}
	return exitOK
}

// printFleetStatus prints the leader, the state of the front and of its voter, and a table of the fleet's fronts.
func printFleetStatus(s *agent.Status) {
	leader := fmt.Sprintf("%s leads, heard %.1f s ago", s.Leader, s.HeartbeatAgeSeconds)
	if s.Isolated {
		leader = "no contact with the fleet: this front is isolated"
	}
	fmt.Printf("%s of fleet %s: %s; replicated state at index %d, %d links\n", s.Name, s.Fleet, leader, s.Index, len(s.Peers))
	if s.VoterHaltReason != "" {
		fmt.Printf("this voter has halted: %s\n", s.VoterHaltReason)
	}
	if s.Isolated && s.VoterDisk != nil {
		fmt.Printf("this voter's disk: last log entry %d, of term %d\n", s.VoterDisk.LastIndex, s.VoterDisk.LastTerm)
	}
	if s.FollowsFleet {
		fmt.Printf("the endpoint list comes from the fleet, at %d\n", s.ListIndex)
	}
	fmt.Println()
	t := newTable("FRONT", "ZONE", "VERSION", "INCARNATION", "ADDRESS", "VOTER", "LEASES")
	for _, x := range s.Fronts {
		var leases []string
		for _, l := range s.Leases {
			if l.Leaseholder == x.Name {
				leases = append(leases, l.Lease)
			}
		}
		t.row(fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", x.Name, x.Zone, x.Version, x.Incarnation, x.Address,
			map[bool]string{true: "yes"}[x.Voter], strings.Join(leases, " ")))
	}
	t.flush()
}

// fleetIDCommands make the id of a fleet.
type fleetIDCommands struct {
	New fleetIDNewCommand `cmd:"" help:"Make one, for (id ...) in the file of every front of the fleet."`
}

// fleetIDNewCommand prints a random id for a new fleet.
type fleetIDNewCommand struct{}

// run prints 64 random bits in hexadecimal.
func (*fleetIDNewCommand) run() int {
	var b [8]byte
	rand.Read(b[:]) // never fails
	fmt.Println(hex.EncodeToString(b[:]))
	return exitOK
}
