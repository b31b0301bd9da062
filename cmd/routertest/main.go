// Command routertest runs the process test harness and the capacity measurements, and joins audit logs. It is never needed
// in service.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"dapplerouter/config"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/lab/processtest"
	"dapplerouter/lab/report"
)

// Exit codes, as bin/dapplerouter's.
const (
	exitDone     = 0
	exitNegative = 1
	exitUsage    = 2
)

type commands struct {
	Process  processCall  `cmd:"" aliases:"rig" help:"Start a fleet of processes on loopback, break what a script says, and judge what came of it."`
	Audit    auditCall    `cmd:"" help:"Join many fronts' audits on one page."`
	Capacity capacityCall `cmd:"" aliases:"scale" help:"Measure what a fleet of a given size costs, on this machine over loopback."`

	CapacityWorker capacityWorkerCall `cmd:"" hidden:"" help:"One worker process of capacity."`
}

func main() {
	var all commands
	exit, asked := exitUsage, false
	p := kong.Must(&all, kong.Name("routertest"), kong.Description("Test harnesses and measurements of dapplerouter."),
		kong.Exit(func(code int) { exit, asked = code, true }))
	k, err := p.Parse(os.Args[1:])
	if asked {
		os.Exit(exit)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "routertest: %v; see routertest --help\n", err)
		os.Exit(exitUsage)
	}
	os.Exit(k.Selected().Target.Addr().Interface().(interface{ run() int }).run())
}

type auditCall struct {
	Dirs []string `arg:"" type:"existingdir" help:"Folders with logs of audits, and those below them."`
	Out  string   `type:"path" default:"audit.html" help:"The page."`
}

func (c *auditCall) run() int {
	l, err := disk.OpenAuditLogs(c.Dirs...)
	if err != nil {
		return faults(err)
	}
	if len(l.Names()) == 0 {
		return faults(fmt.Errorf("there are no logs of an audit in %v", c.Dirs))
	}
	all, found := audit.ReadLogs(l)
	f, err := os.Create(c.Out)
	if err == nil {
		err = errors.Join(report.Audit(f, all, append(found, l.Conflicts...)), f.Close())
	}
	if err != nil {
		return faults(err)
	}
	fmt.Println(c.Out)
	for _, x := range append(found, l.Conflicts...) {
		if x.Violation {
			return exitNegative
		}
	}
	return exitDone
}

type processCall struct {
	Scripts []string `arg:"" type:"existingfile" help:"Scripts, played one after the other."`
	Seed    uint64   `default:"1" help:"Of what a script leaves to chance."`
	Seeds   uint64   `default:"1" help:"How many seeds, from --seed on."`
	Program string   `type:"path" placeholder:"FILE" help:"The program; bin/dapplerouter beside this one where left out."`
	Keep    string   `type:"path" placeholder:"DIR" help:"Keep histories and logs there."`
	JSON    bool     `help:"A line of JSON a run instead."`
	Quiet   bool     `help:"Only the verdicts."`
}

func (c *processCall) run() int {
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			fmt.Fprintf(os.Stderr, "routertest: %v\n", err)
			return exitUsage
		}
		c.Program = filepath.Join(filepath.Dir(self), "dapplerouter")
	}
	if _, err := os.Stat(c.Program); err != nil {
		fmt.Fprintf(os.Stderr, "routertest: %v: build it by make build, or name it by --program\n", err)
		return exitUsage
	}
	exit := exitDone
	for _, path := range c.Scripts {
		s, err := processtest.Load(path)
		if err != nil {
			return faults(err)
		}
		for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
			held, err := c.one(s, seed)
			if err != nil {
				fmt.Fprintf(os.Stderr, "routertest: %s, seed %d: %v\n", path, seed, err)
				return exitUsage
			}
			if !held {
				exit = exitNegative
			}
		}
	}
	return exit
}

func faults(err error) int {
	var fs config.ErrorList
	if !errors.As(err, &fs) {
		fmt.Fprintf(os.Stderr, "routertest: %v\n", err)
	}
	for _, f := range fs {
		fmt.Fprintln(os.Stderr, f)
	}
	return exitUsage
}

func (c *processCall) one(s *processtest.Script, seed uint64) (held bool, err error) {
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rig"); err != nil {
			return false, err
		}
	} else {
		dir = filepath.Join(dir, fmt.Sprintf("%s-%d", filepath.Base(s.Name), seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return false, err
		}
	}
	out := io.Writer(os.Stdout)
	if c.JSON || c.Quiet {
		out = io.Discard
	}
	r := &processtest.Rig{Script: s, Seed: seed, Program: c.Program, Dir: dir, Out: out}
	v, err := r.Run()
	if err != nil {
		return false, err
	}
	held = len(v.Broke) == 0
	if c.Keep == "" && held {
		os.RemoveAll(dir)
	}
	switch {
	case c.JSON:
		gaps := []map[string]any{}
		for _, g := range v.Gaps {
			gaps = append(gaps, map[string]any{"duty": g.Lease, "ms": g.For.Milliseconds(), "why": g.Because})
		}
		json.NewEncoder(os.Stdout).Encode(map[string]any{"format": 1, "script": s.Name, "seed": seed, "held": held, "broke": v.Broke, "txns": v.Requests,
			"committed": v.Succeeded, "declined": v.Rejected, "rolled_back": v.RolledBack, "unanswered": v.Unanswered, "gaps": gaps, "list_calls": v.Calls, "probes": v.Probes, "watches": v.Watches, "memory_kib": v.Memory, "cpu_us": v.CPU.Microseconds(),
			"p50_us": v.Percentile(50).Microseconds(), "p99_us": v.Percentile(99).Microseconds()})
	case c.Quiet && held:
		fmt.Printf("%s, seed %d: held\n", s.Name, seed)
	default:
		v.Print(os.Stdout)
		if !held {
			fmt.Printf("histories and logs: %s\n", dir)
		}
	}
	return held, nil
}
