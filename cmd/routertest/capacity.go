package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"dapplerouter/lab/capacity"
)

// capacityCommand measures what a fleet of a given size costs.
type capacityCommand struct {
	Fronts              int           `default:"540" help:"Fronts, real and simulated together."`
	SimulatedPerProcess int           `default:"48" aliases:"hollow-per-process" help:"Simulated fronts in one process."`
	Databases           int           `default:"650" help:"Databases that discovery lists."`
	Zones               int           `default:"8" help:"Zones over which both are spread."`
	ChangesPerHour      float64       `default:"720" help:"Changes an hour in each phase that has some; 50 are 1,200 a day."`
	Duration            time.Duration `default:"30s" help:"Of each of the phases: rest, one entry, whole list, configuration."`
	LeaseDuration       time.Duration `default:"3s" aliases:"span" help:"The fleet's lease duration; longer ones bear a machine that is short of processors."`
	PausedOneIn         int           `default:"0" aliases:"cut-off" help:"One front in so many is paused during each configuration change; 0 for none."`
	Must                bool          `help:"Publish configurations as the operator's --must does: lagging fronts are fenced sooner."`
	Program             string        `type:"path" placeholder:"FILE" help:"The program; bin/dapplerouter beside this one where left out."`
	Keep                string        `type:"path" placeholder:"DIR" help:"Keep files and logs there."`
	JSON                bool          `help:"A line of JSON a record instead of the table."`
	Quiet               bool          `help:"No progress on standard error."`
}

func (c *capacityCommand) run() int {
	self, err := os.Executable()
	if err != nil {
		return reportError(err)
	}
	if c.Program, err = defaultProgram(c.Program); err != nil {
		return reportError(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, remove, err := c.workDir()
	if err != nil {
		return reportError(err)
	}
	out := bufio.NewWriter(os.Stdout)
	err = c.measure(ctx, out, self, dir)
	return c.report(errors.Join(err, out.Flush()), dir, remove)
}

// measure runs the measurement with its files in dir and writes the records to out. Self is the path of this executable, which also
// runs the worker processes.
func (c *capacityCommand) measure(ctx context.Context, out *bufio.Writer, self, dir string) error {
	size := capacity.Size{Fronts: c.Fronts, SimulatedPerProcess: c.SimulatedPerProcess, Databases: c.Databases, Zones: c.Zones,
		ChangesPerHour: c.ChangesPerHour, Duration: c.Duration, LeaseDuration: c.LeaseDuration, Mandatory: c.Must, PausedOneIn: c.PausedOneIn}
	lines := json.NewEncoder(out)
	if c.JSON {
		header, err := capacity.NewHeader("bin/routertest "+strings.Join(os.Args[1:], " "), size)
		if err != nil {
			return err
		}
		if err := lines.Encode(header); err != nil {
			return err
		}
	}
	records, err := capacity.Run(ctx, capacity.Options{
		Size:    size,
		Program: c.Program, Dir: dir, Progress: c.progress(),
		Worker: func(kind string) []string { return []string{self, "capacity-worker", kind} },
		Emit: func(r capacity.Record) error {
			if !c.JSON {
				return nil
			}
			return errors.Join(lines.Encode(r), out.Flush())
		}})
	if !c.JSON && len(records) > 0 {
		err = errors.Join(err, capacity.Print(out, records))
	}
	return err
}

// workDir creates the directory for the files of a run. It returns its path and a function that removes it, which does nothing with
// --keep. The path of a temporary directory is short because the paths of Unix sockets have a small maximum length.
func (c *capacityCommand) workDir() (dir string, remove func(), err error) {
	if c.Keep != "" {
		return c.Keep, func() {}, os.MkdirAll(c.Keep, 0o700)
	}
	dir, err = os.MkdirTemp("", "cap")
	return dir, func() { _ = os.RemoveAll(dir) }, err // a leftover in the temporary directory is harmless
}

// report writes the error of a run, if any, to standard error and returns the exit code. It removes the run's files unless the run
// failed after its start.
func (c *capacityCommand) report(err error, dir string, remove func()) int {
	var sizeError capacity.SizeError
	var exited *capacity.ProcessExitError
	switch {
	case err == nil:
		remove()
		return exitOK
	case errors.As(err, &sizeError):
		remove()
		return reportError(err)
	case errors.As(err, &exited):
		fmt.Fprintf(os.Stderr, "routertest: %v\n", err)
		fmt.Fprintf(os.Stderr, "logs: %s\n", dir)
		return exitViolation
	}
	fmt.Fprintf(os.Stderr, "routertest: %v\nlogs: %s\n", err, dir)
	return exitError
}

// progress returns a function that writes progress messages to standard error. It returns nil with --quiet, and if standard error is
// not a terminal.
func (c *capacityCommand) progress() func(string, ...any) {
	info, err := os.Stderr.Stat()
	if c.Quiet || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	began := time.Now()
	return func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// capacityWorkerCommand runs one worker process of a capacity measurement. Only capacityCommand starts it.
type capacityWorkerCommand struct {
	Kind string `arg:""`
}

func (c *capacityWorkerCommand) run() int {
	if err := capacity.Work(c.Kind, os.Stdin, os.Stdout); err != nil {
		return reportError(err)
	}
	return exitOK
}
