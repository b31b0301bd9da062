// Command routertest runs the process test harness and the capacity measurements, and joins audit logs on a page. Production
// deployments do not need it.
//
// It writes errors to standard error. The exit code distinguishes violations of invariants from errors.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"dapplerouter/config"
)

// Exit codes. They match those of bin/dapplerouter.
const (
	exitOK        = 0
	exitViolation = 1 // an invariant was violated, or a process exited during a capacity run
	exitError     = 2 // the usage was wrong, or the run could not be carried out
)

// commands is the command line, as kong parses it.
type commands struct {
	Process  processCommand  `cmd:"" aliases:"rig" help:"Start a fleet of processes on loopback, inject the faults of a script, and check invariants."`
	Audit    auditCommand    `cmd:"" help:"Join the audit logs of many fronts on one page."`
	Capacity capacityCommand `cmd:"" aliases:"scale" help:"Measure what a fleet of a given size costs, on this machine over loopback."`

	CapacityWorker capacityWorkerCommand `cmd:"" hidden:"" help:"One worker process of capacity."`
}

func main() {
	var all commands
	exitCode, exited := exitError, false // kong requests an exit after --help
	p := kong.Must(&all, kong.Name("routertest"), kong.Description("Test harnesses and measurements of dapplerouter."),
		kong.Exit(func(code int) { exitCode, exited = code, true }))
	k, err := p.Parse(os.Args[1:])
	if exited {
		os.Exit(exitCode)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "routertest: %v; see routertest --help\n", err)
		os.Exit(exitError)
	}
	os.Exit(k.Selected().Target.Addr().Interface().(interface{ run() int }).run())
}

// defaultProgram returns the path of the program to be run: the named one or, if named is "", dapplerouter in the directory of this
// executable. It returns an error if the file does not exist.
func defaultProgram(named string) (string, error) {
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		named = filepath.Join(filepath.Dir(self), "dapplerouter")
	}
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("%w: build it by make build, or name it by --program", err)
	}
	return named, nil
}

// reportError writes an error to standard error and returns the exit code. For a config.ErrorList it writes one line per error, with
// the position.
func reportError(err error) int {
	var list config.ErrorList
	if !errors.As(err, &list) {
		fmt.Fprintf(os.Stderr, "routertest: %v\n", err)
	}
	for _, e := range list {
		fmt.Fprintln(os.Stderr, e)
	}
	return exitError
}
