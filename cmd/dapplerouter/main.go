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
	done   = 0
	notSo  = 1 // the thing asked is not so: a fault found, a difference
	unable = 2 // the call or its input cannot be used
)

const version = "0.3.0"

type commands struct {
	Serve    serveCall    `cmd:"" default:"1" help:"Be a front, as EDGE_CONFIG tells; the default."`
	Gateway  gatewayCall  `cmd:"" help:"Be one site's instance of a gateway between two."`
	Keys     keysCalls    `cmd:"" help:"Make and look at the keys of a gateway's link."`
	Fleet    fleetCalls   `cmd:"" help:"Look at a fleet of fronts and its duties, and change them."`
	Check    checkCall    `cmd:"" help:"Check an operator's file."`
	Classify classifyCall `cmd:"" help:"Say of statements what they do, what they may cost and which request type they are."`
	Version  versionCall  `cmd:"" help:"Say which version this is."`
}

// command is one that was called.
type command interface{ run() int }

func main() { os.Exit(call(os.Args[1:], os.Stderr)) }

func call(args []string, errors io.Writer) int {
	var all commands
	exit, asked := unable, false
	p := kong.Must(&all, kong.Name("dapplerouter"), kong.Description("A query router for sharded, replicated databases."),
		kong.Writers(os.Stdout, errors), kong.Exit(func(code int) { exit, asked = code, true }))
	k, err := p.Parse(args)
	if asked { // help
		return exit
	}
	if err != nil {
		fmt.Fprintf(errors, "dapplerouter: %v; see dapplerouter --help\n", err)
		return unable
	}
	return k.Selected().Target.Addr().Interface().(command).run()
}

type versionCall struct {
	JSON bool `help:"A line of JSON instead."`
}

func (v *versionCall) run() int {
	if v.JSON {
		json.NewEncoder(os.Stdout).Encode(map[string]string{"version": version, "go": runtime.Version()})
	} else {
		fmt.Println("dapplerouter", version, runtime.Version())
	}
	return done
}
