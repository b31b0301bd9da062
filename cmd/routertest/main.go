// Command routertest runs the process test harness and the capacity measurements, and joins audit logs. It is never needed
// in service.
//
// Errors go to standard error; the exit code distinguishes violations of invariants from errors.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"dapplerouter/config"
)

// Exit codes, as bin/dapplerouter's.
const (
	exitOK        = 0
	exitViolation = 1 // of an invariant, or a process that died
	exitError     = 2 // wrong usage, or a run that could not be carried out
)

type commands struct {
	Process  processCommand  `cmd:"" aliases:"rig" help:"Start a fleet of processes on loopback, inject the faults of a script, and check invariants."`
	Audit    auditCommand    `cmd:"" help:"Join the audit logs of many fronts on one page."`
	Capacity capacityCommand `cmd:"" aliases:"scale" help:"Measure what a fleet of a given size costs, on this machine over loopback."`

	CapacityWorker capacityWorkerCommand `cmd:"" hidden:"" help:"One worker process of capacity."`
}

func main() {
	var all commands
	exitCode, exited := exitError, false // kong asks for an exit after --help
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

// defaultProgram is bin/dapplerouter beside this program where none is named.
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

// reportError writes an error to standard error, each of a list of them on a line with its position, and gives the exit code.
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
