package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"dapplerouter/lab/processtest"
)

// processCommand runs scripts of the process test harness.
type processCommand struct {
	Scripts []string `arg:"" type:"existingfile" help:"Scripts, run one after the other."`
	Seed    uint64   `default:"1" help:"Of what a script leaves to chance."`
	Seeds   uint64   `default:"1" help:"How many seeds, from --seed on."`
	Program string   `type:"path" placeholder:"FILE" help:"The program; bin/dapplerouter beside this one where left out."`
	Keep    string   `type:"path" placeholder:"DIR" help:"Keep histories and logs there."`
	JSON    bool     `help:"A line of JSON a run instead."`
	Quiet   bool     `help:"Only the results."`
}

func (c *processCommand) run() int {
	var err error
	if c.Program, err = defaultProgram(c.Program); err != nil {
		return reportError(err)
	}
	exitCode := exitOK
	for _, path := range c.Scripts {
		s, err := processtest.Load(path)
		if err != nil {
			return reportError(err)
		}
		for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
			passed, err := c.runScript(s, seed)
			if err != nil {
				return reportError(fmt.Errorf("%s, seed %d: %w", path, seed, err))
			}
			if !passed {
				exitCode = exitViolation
			}
		}
	}
	return exitCode
}

// runScript runs a script with a seed and prints the result. It removes the run's files if the run passed, unless --keep is given.
func (c *processCommand) runScript(s *processtest.Script, seed uint64) (passed bool, err error) {
	dir, err := c.dir(s, seed)
	if err != nil {
		return false, err
	}
	progress := io.Writer(os.Stdout)
	if c.JSON || c.Quiet {
		progress = io.Discard
	}
	h := &processtest.Harness{Script: s, Seed: seed, Program: c.Program, Dir: dir, Out: progress}
	result, err := h.Run()
	if err != nil {
		return false, err
	}
	passed = len(result.Violations) == 0
	if c.Keep == "" && passed {
		if err := os.RemoveAll(dir); err != nil {
			return false, err
		}
	}
	switch {
	case c.JSON:
		return passed, json.NewEncoder(os.Stdout).Encode(newProcessRecord(s, seed, result))
	case c.Quiet && passed:
		fmt.Printf("%s, seed %d: passed\n", s.Name, seed)
		return passed, nil
	}
	if err := result.Print(os.Stdout); err != nil {
		return false, err
	}
	if !passed {
		fmt.Printf("histories and logs: %s\n", dir)
	}
	return passed, nil
}

// dir creates the directory for the files of a run and returns its path.
func (c *processCommand) dir(s *processtest.Script, seed uint64) (string, error) {
	if c.Keep == "" {
		return os.MkdirTemp("", "processtest")
	}
	dir := filepath.Join(c.Keep, fmt.Sprintf("%s-%d", filepath.Base(s.Name), seed))
	return dir, os.MkdirAll(dir, 0o700)
}

// processRecord is the result of a run as a line of the --json output. Its keys and units do not change between versions.
type processRecord struct {
	Format int    `json:"format"`
	Script string `json:"script"`
	Seed   uint64 `json:"seed"`

	Passed     bool        `json:"held"`
	Violations []string    `json:"broke"`
	Gaps       []gapRecord `json:"gaps"`
	requestsRecord
	usageRecord
}

// requestsRecord holds the request counts and latencies of a processRecord.
type requestsRecord struct {
	Sent       int   `json:"txns"`
	Succeeded  int   `json:"committed"`
	Rejected   int   `json:"declined"`
	Failed     int   `json:"rolled_back"`
	Unanswered int   `json:"unanswered"`
	P50Micros  int64 `json:"p50_us"`
	P99Micros  int64 `json:"p99_us"`
}

// usageRecord holds the resource usage of a processRecord.
type usageRecord struct {
	EndpointCalls int   `json:"list_calls"`
	Probes        int64 `json:"probes"`
	Watches       int   `json:"watches"`
	ResidentKiB   []int `json:"memory_kib"`
	CPUMicros     int64 `json:"cpu_us"`
}

// gapRecord is an interval in which no front held a lease.
type gapRecord struct {
	Lease  string `json:"duty"`
	Millis int64  `json:"ms"`
	Reason string `json:"why"`
}

// newProcessRecord returns the record of a run of a script with a seed.
func newProcessRecord(s *processtest.Script, seed uint64, r *processtest.Result) processRecord {
	gaps := []gapRecord{} // not nil, so that it is encoded as an empty array if there are none
	for _, g := range r.Gaps {
		gaps = append(gaps, gapRecord{Lease: g.Lease, Millis: g.For.Milliseconds(), Reason: g.Reason})
	}
	q, u := &r.Requests, &r.Usage
	return processRecord{
		Format: 1, Script: s.Name, Seed: seed, Passed: len(r.Violations) == 0, Violations: r.Violations, Gaps: gaps,
		requestsRecord: requestsRecord{Sent: q.Sent, Succeeded: q.Succeeded, Rejected: q.Rejected, Failed: q.Failed, Unanswered: q.Unanswered,
			P50Micros: q.Percentile(50).Microseconds(), P99Micros: q.Percentile(99).Microseconds()},
		usageRecord: usageRecord{EndpointCalls: u.EndpointCalls, Probes: u.Probes, Watches: u.Watches, ResidentKiB: u.ResidentKiB, CPUMicros: u.CPU.Microseconds()},
	}
}
