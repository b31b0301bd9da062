// Command dapplerouter is a front, and the operator's command line around it. Without a command it serves: it takes
// requests from clients and passes each to the member that the decision module names.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/alecthomas/kong"
)

// Exit codes of every command.
const (
	exitOK       = 0
	exitNegative = 1 // the thing asked is not so: a fault found, a difference
	exitUnusable = 2 // the call or its input cannot be used
)

const version = "0.3.0"

type commands struct {
	Serve    serveCommand    `cmd:"" default:"1" help:"Be a front, as EDGE_CONFIG tells; the default."`
	Gateway  gatewayCommand  `cmd:"" help:"Be one site's instance of a gateway between two."`
	Keys     keysCommands    `cmd:"" help:"Make and look at the keys of a gateway's link."`
	Fleet    fleetCommands   `cmd:"" help:"Look at a fleet of fronts and its duties, and change them."`
	Check    checkCommand    `cmd:"" help:"Check an operator's file."`
	Classify classifyCommand `cmd:"" help:"Say of statements what they do, what they may cost and which request type they are."`
	Version  versionCommand  `cmd:"" help:"Say which version this is."`
}

// command is one that was called.
type command interface{ run() int }

func main() { os.Exit(runCommandLine(os.Args[1:], os.Stderr)) }

func runCommandLine(args []string, errorOutput io.Writer) int {
	var all commands
	exit, exited := exitUnusable, false
	parser := kong.Must(&all, kong.Name("dapplerouter"), kong.Description("A query router for sharded, replicated databases."),
		kong.Writers(os.Stdout, errorOutput), kong.Exit(func(code int) { exit, exited = code, true }))
	selected, err := parser.Parse(args)
	if exited { // help
		return exit
	}
	if err != nil {
		fmt.Fprintf(errorOutput, "dapplerouter: %v; see dapplerouter --help\n", err)
		return exitUnusable
	}
	return selected.Selected().Target.Addr().Interface().(command).run()
}

type versionCommand struct {
	JSON bool `help:"A line of JSON instead."`
}

func (c *versionCommand) run() int {
	if c.JSON {
		json.NewEncoder(os.Stdout).Encode(map[string]string{"version": version, "go": runtime.Version()})
	} else {
		fmt.Println("dapplerouter", version, runtime.Version())
	}
	return exitOK
}
