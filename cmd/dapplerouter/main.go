// Command dapplerouter runs a front, and is the operator's command-line tool. Without a subcommand it runs a front: it accepts requests
// from clients and forwards each to the server that the router chooses.
//
// A service (service.go) owns the request path and the subsystems that the operator's file turns on; everything that it starts ends
// before runService returns. Each subcommand is a struct with its options and a run method. The files are named after the subcommands:
// fleet.go, fleet_leases.go, fleet_voters.go, fleet_publish.go, fleet_rollout.go, fleet_audit.go, keys.go, check.go, classify.go.
// Subcommands that need a running front call its admin API (admin_client.go).
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/alecthomas/kong"
)

// Exit codes of every command.
const (
	exitOK       = 0
	exitNegative = 1 // a check failed, a search found nothing, the fleet needs attention, a front rejected the request, or the service failed
	exitUnusable = 2 // the command line or its input is invalid, or the front can't be reached
)

const version = "0.3.0"

// commands is the command line: kong derives the names of commands and options from the fields.
type commands struct {
	Serve    serveCommand    `cmd:"" default:"1" help:"Run a front, configured by EDGE_CONFIG; the default."`
	Gateway  gatewayCommand  `cmd:"" help:"Run one site's instance of a gateway between two."`
	Keys     keysCommands    `cmd:"" help:"Make and check the keys of a gateway's link."`
	Fleet    fleetCommands   `cmd:"" help:"Show a fleet of fronts and its leases, and change them."`
	Check    checkCommand    `cmd:"" help:"Check an operator's file."`
	Classify classifyCommand `cmd:"" help:"Show what statements do, their estimated cost and their request type."`
	Version  versionCommand  `cmd:"" help:"Show the version."`
}

// command is a parsed subcommand. run executes it and returns the exit code.
type command interface{ run() int }

func main() { os.Exit(runCommandLine(os.Args[1:], os.Stderr)) }

// runCommandLine parses a command line, runs its subcommand and returns the exit code. Usage errors and deprecation warnings go to
// errorOutput.
func runCommandLine(args []string, errorOutput io.Writer) int {
	var all commands
	exit, exited := exitUnusable, false
	parser := kong.Must(&all, kong.Name("dapplerouter"), kong.Description("A query router for sharded, replicated databases."),
		kong.Writers(os.Stdout, errorOutput), kong.Exit(func(code int) { exit, exited = code, true }))
	parsed, err := parser.Parse(args)
	if exited { // --help
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(errorOutput, "dapplerouter: %v; see dapplerouter --help\n", err)
		return exitUnusable
	}
	if warning := deprecationOf(parsed.Command()); warning != "" {
		_, _ = fmt.Fprintln(errorOutput, "dapplerouter:", warning)
	}
	return parsed.Selected().Target.Addr().Interface().(command).run()
}

// versionCommand prints the versions of the program and of Go.
type versionCommand struct {
	JSON bool `help:"A line of JSON instead."`
}

// run prints the versions as text or as a line of JSON.
func (c *versionCommand) run() int {
	if c.JSON {
		printJSON(map[string]string{"version": version, "go": runtime.Version()})
	} else {
		fmt.Println("dapplerouter", version, runtime.Version())
	}
	return exitOK
}
