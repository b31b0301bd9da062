package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dapplerouter/lab/capacity"
)

type capacityCall struct {
	Fronts           int           `default:"540" help:"Fronts, real and hollow together."`
	HollowPerProcess int           `default:"48" help:"Hollow fronts in one process."`
	Databases        int           `default:"650" help:"Databases that discovery lists."`
	Zones            int           `default:"8" help:"Zones over which both are spread."`
	ChangesPerHour   float64       `default:"720" help:"Changes an hour in each phase that has some; 50 are 1,200 a day."`
	Duration         time.Duration `default:"30s" help:"Of each of the phases: rest, one entry, whole list, configuration."`
	Span             time.Duration `default:"3s" help:"The fleet's lease duration; longer ones bear a machine that is short of processors."`
	CutOff           int           `default:"0" help:"One front in so many stands still during each configuration change; 0 for none."`
	Must             bool          `help:"Publish configurations as the operator's --must does: lagging fronts are fenced sooner."`
	Program          string        `type:"path" placeholder:"FILE" help:"The program; bin/dapplerouter beside this one where left out."`
	Keep             string        `type:"path" placeholder:"DIR" help:"Keep files and logs there."`
	JSON             bool          `help:"A line of JSON a record instead of the table."`
	Quiet            bool          `help:"No progress on standard error."`
}

func (c *capacityCall) run() int {
	self, err := os.Executable()
	if err != nil {
		return faults(err)
	}
	if c.Program == "" {
		c.Program = filepath.Join(filepath.Dir(self), "dapplerouter")
	}
	if _, err := os.Stat(c.Program); err != nil {
		return faults(fmt.Errorf("%w: build it by make build, or name it by --program", err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, remove, err := c.folder()
	if err != nil {
		return faults(err)
	}
	out := bufio.NewWriter(os.Stdout)
	defer out.Flush()
	size := capacity.Size{Fronts: c.Fronts, SimulatedPerProcess: c.HollowPerProcess, Databases: c.Databases, Zones: c.Zones,
		ChangesPerHour: c.ChangesPerHour, Duration: c.Duration, LeaseDuration: c.Span, Mandatory: c.Must, PausedOneIn: c.CutOff}
	if c.JSON {
		header, err := capacity.NewHeader("bin/routertest "+strings.Join(os.Args[1:], " "), size)
		if err == nil {
			err = json.NewEncoder(out).Encode(header)
		}
		if err != nil {
			return faults(err)
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
			return errors.Join(json.NewEncoder(out).Encode(r), out.Flush())
		}})
	if !c.JSON && len(records) > 0 {
		err = errors.Join(err, capacity.Print(out, records))
	}
	out.Flush()
	return c.ended(err, dir, remove)
}

// folder gives where files go; Unix sockets need a short name.
func (c *capacityCall) folder() (dir string, remove func(), err error) {
	if c.Keep != "" {
		return c.Keep, func() {}, os.MkdirAll(c.Keep, 0o700)
	}
	dir, err = os.MkdirTemp("", "scale")
	return dir, func() { os.RemoveAll(dir) }, err
}

// ended tells what became of a run, and gives the exit code.
func (c *capacityCall) ended(err error, dir string, remove func()) int {
	var refusal capacity.SizeError
	var death *capacity.ProcessExitError
	switch {
	case err == nil:
		remove()
		return exitDone
	case errors.As(err, &refusal):
		remove()
		return faults(err)
	case errors.As(err, &death):
		fmt.Fprintf(os.Stderr, "routertest: %v\n", err)
		fmt.Fprintf(os.Stderr, "logs: %s\n", dir)
		return exitNegative
	}
	fmt.Fprintf(os.Stderr, "routertest: %v\nlogs: %s\n", err, dir)
	return exitUsage
}

// progress writes to standard error where that is a terminal.
func (c *capacityCall) progress() func(string, ...any) {
	info, err := os.Stderr.Stat()
	if c.Quiet || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	began := time.Now()
	return func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

type capacityWorkerCall struct {
	Kind string `arg:""`
}

func (c *capacityWorkerCall) run() int {
	if err := capacity.Work(c.Kind, os.Stdin, os.Stdout); err != nil {
		return faults(err)
	}
	return exitDone
}
