// Command dapplerouter is a front, and the operator's command line around it. Without a command it serves: it accepts requests from
// clients and forwards each to the server that the router chooses.
//
// A service (service.go) owns the request path and the subsystems that the operator's file turns on; everything that it starts ends
// before runService returns. Each command is a struct with its arguments and a run method, in the file of its noun: fleet.go,
// fleet_leases.go, fleet_voters.go, fleet_publish.go, fleet_rollout.go, fleet_audit.go, keys.go, check.go, classify.go. Commands
// for a running front call its admin API (admin_client.go).
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
	exitNegative = 1 // the answer is no, or an error was found in what was to be checked; a service that failed
	exitUnusable = 2 // the command line or its input is unusable, or a front can't be reached
)

const version = "0.3.0"

type commands struct {
	Serve    serveCommand    `cmd:"" default:"1" help:"Be a front, configured by EDGE_CONFIG; the default."`
	Gateway  gatewayCommand  `cmd:"" help:"Be one site's instance of a gateway between two."`
	Keys     keysCommands    `cmd:"" help:"Make and look at the keys of a gateway's link."`
	Fleet    fleetCommands   `cmd:"" help:"Look at a fleet of fronts and its leases, and change them."`
	Check    checkCommand    `cmd:"" help:"Check an operator's file."`
	Classify classifyCommand `cmd:"" help:"Say of statements what they do, what they may cost and which request type they are."`
	Version  versionCommand  `cmd:"" help:"Say which version this is."`
}

// command is a parsed command; run returns the exit code.
type command interface{ run() int }

func main() { os.Exit(runCommandLine(os.Args[1:], os.Stderr)) }

// runCommandLine parses a command line, runs its command and returns the exit code. What is wrong with the line goes to errorOutput.
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

type versionCommand struct {
	JSON bool `help:"A line of JSON instead."`
}

func (c *versionCommand) run() int {
	if c.JSON {
		printJSON(map[string]string{"version": version, "go": runtime.Version()})
	} else {
		fmt.Println("dapplerouter", version, runtime.Version())
	}
	return exitOK
}
