package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"dapplerouter/adminapi"
	"dapplerouter/fleet/agent"
)

// fleetCommands are the operator's words to a fleet, by the control socket of one of its fronts.
type fleetCommands struct {
	Status  fleetStatusCommand   `cmd:"" help:"Say how the fleet looks from one front."`
	Duties  fleetLeasesCommand   `cmd:"" help:"Say who holds which duty, in which term."`
	Hand    fleetTransferCommand `cmd:"" help:"Hand a duty on."`
	Publish fleetPublishCommand  `cmd:"" help:"Bring rules to all fronts, in waves that are watched."`
	Roll    rolloutCommands      `cmd:"" help:"Look at a version on its way, and turn it."`
	Audit   auditCommands        `cmd:"" help:"Read which front acted on which version."`
	Voters  votersCommands       `cmd:"" aliases:"keepers" help:"Add or remove a voter, or recover from the loss of most of them."`
	ID      fleetIDCommands      `cmd:"" name:"id" help:"Make a fleet's id."`
}

// adminClient names the socket of the front that is asked.
type adminClient struct {
	Control string `env:"DAPPLEROUTER_CONTROL" type:"path" placeholder:"SOCKET" help:"The front's control socket, as its fleet form names it."`
	File    string `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, to take the socket's name from."`
	JSON    bool   `help:"Lines of JSON instead."`
}

func (d *adminClient) call(method, path string, q url.Values, out any) error {
	socket := d.Control
	if socket == "" && d.File != "" {
		o, err := readOperatorFile(d.File)
		if err != nil {
			return err
		}
		if o.fleet != nil {
			socket = o.fleet.Control
		}
	}
	if socket == "" {
		return errors.New("no control socket is named: give --control SOCKET, or --file with a fleet form that has (control \"SOCKET\")")
	}
	return adminapi.Call(socket, method, path, q, out)
}

// exitCode gives a call's exit code: what was asked is not so, or could not be asked.
func exitCode(err error) int {
	var f adminapi.RejectedError
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err)
	if errors.As(err, &f) {
		return exitNegative
	}
	return exitUnusable
}

type fleetStatusCommand struct{ adminClient }

func (c *fleetStatusCommand) run() int {
	var s agent.Status
	if err := c.call("GET", "/v1/fleet", nil, &s); err != nil {
		return exitCode(err)
	}
	if c.JSON {
		json.NewEncoder(os.Stdout).Encode(s)
	} else {
		printFleetStatus(os.Stdout, &s)
	}
	if s.Isolated || s.VoterHaltReason != "" {
		return exitNegative
	}
	return exitOK
}

func printFleetStatus(w io.Writer, s *agent.Status) {
	heard := fmt.Sprintf("%s gives, heard %.1f s ago", s.Leader, s.HeartbeatAgeSeconds)
	if s.Isolated {
		heard = "nothing is heard of the fleet: this front goes on alone"
	}
	fmt.Fprintf(w, "%s of fleet %s: %s; record at %d, %d links\n", s.Name, s.Fleet, heard, s.Index, len(s.Peers))
	if s.VoterHaltReason != "" {
		fmt.Fprintf(w, "this keeper keeps no more: %s\n", s.VoterHaltReason)
	}
	if s.Isolated && s.VoterDisk != nil {
		fmt.Fprintf(w, "this voter's disk: last log entry %d, of term %d\n", s.VoterDisk.LastIndex, s.VoterDisk.LastTerm)
	}
	if s.FollowsFleet {
		fmt.Fprintf(w, "the list comes from the fleet, at %d\n", s.ListIndex)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nFRONT\tZONE\tVERSION\tINCARNATION\tADDRESS\tKEEPS\tHOLDS")
	for _, x := range s.Fronts {
		var holds []string
		for _, d := range s.Leases {
			if d.Leaseholder == x.Name {
				holds = append(holds, d.Lease)
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", x.Name, x.Zone, x.Version, x.Incarnation, x.Address, map[bool]string{true: "yes"}[x.Voter], strings.Join(holds, " "))
	}
	t.Flush()
}

type fleetLeasesCommand struct{ adminClient }

func (c *fleetLeasesCommand) run() int {
	var s agent.Status
	if err := c.call("GET", "/v1/fleet", nil, &s); err != nil {
		return exitCode(err)
	}
	exit := exitOK
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(t, "DUTY\tTERM\tHOLDER\tWHY")
	}
	for _, d := range s.Leases {
		if d.Leaseholder == "" {
			exit = exitNegative
		}
		if c.JSON {
			json.NewEncoder(os.Stdout).Encode(d)
		} else {
			holder := d.Leaseholder
			if holder == "" {
				holder = "nobody"
			}
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", d.Lease, d.Term, holder, d.Reason)
		}
	}
	t.Flush()
	return exit
}

type fleetTransferCommand struct {
	Lease string `arg:"" help:"The duty, as fleet duties names it."`
	To    string `placeholder:"FRONT" help:"Who is to hold it; the fleet chooses where this is left out."`
	adminClient
}

func (c *fleetTransferCommand) run() int {
	return c.post("/v1/fleet/hand", url.Values{"duty": {c.Lease}, "to": {c.To}}, c.Lease+" is handed on")
}

func (d *adminClient) post(path string, q url.Values, good string) int {
	var out map[string]any
	if err := d.call("POST", path, q, &out); err != nil {
		return exitCode(err)
	}
	if d.JSON {
		json.NewEncoder(os.Stdout).Encode(out)
	} else {
		fmt.Println(good)
	}
	return exitOK
}

type votersCommands struct {
	Add     votersAddCommand     `cmd:"" help:"Make a front a voter; it is started with (keeper FILE) (joins)."`
	Remove  votersRemoveCommand  `cmd:"" help:"Make a voter one no more; it is started again without its file."`
	Recover votersRecoverCommand `cmd:"" help:"Go on from one voter's disk, where most voters have lost theirs."`
}

type votersAddCommand struct {
	Name    string `arg:"" help:"The front's name."`
	Address string `arg:"" help:"Where its mesh listens."`
	adminClient
}

func (c *votersAddCommand) run() int {
	return c.post("/v1/fleet/keepers/add", url.Values{"name": {c.Name}, "address": {c.Address}}, c.Name+" is a voter")
}

type votersRemoveCommand struct {
	Name string `arg:"" help:"The voter's name."`
	adminClient
}

func (c *votersRemoveCommand) run() int {
	return c.post("/v1/fleet/keepers/remove", url.Values{"name": {c.Name}}, c.Name+" is no voter any more")
}

type fleetIDCommands struct {
	New fleetIDNewCommand `cmd:"" help:"Make one, for (id ...) in the file of every front of the fleet."`
}

type fleetIDNewCommand struct{}

func (*fleetIDNewCommand) run() int {
	var b [8]byte
	rand.Read(b[:])
	fmt.Println(hex.EncodeToString(b[:]))
	return exitOK
}
