package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/front"
)

// auditCommands read audit logs from folders; they call no front.
type auditCommands struct {
	At       auditAtCommand       `cmd:"" help:"Say which front acted on which version at a time."`
	Request  auditRequestCommand  `cmd:"" aliases:"txn" help:"Say which front took a request, when, and on which version."`
	Front    auditFrontCommand    `cmd:"" help:"Say what one front acted on, over time."`
	Versions auditVersionsCommand `cmd:"" help:"Say of each version when it was in use, by how many fronts, and what was served on it."`
	Verify   auditVerifyCommand   `cmd:"" help:"Verify that the logs are complete and consistent."`
}

// auditFolders are where logs are read from.
type auditFolders struct {
	Dir  []string `type:"existingdir" placeholder:"DIR" help:"Folders with logs; the file's own audit, and what it collects, where left out."`
	File string   `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, to take the folders from."`
	JSON bool     `help:"Lines of JSON instead."`
}

var (
	errNoAuditFolder = errors.New("no folder is named: give --dir DIR, or --file with a form audit")
	errNoAuditLogs   = errors.New("there are no audit logs")
	errNothingLogged = errors.New("nothing of it is in these logs")
)

// open opens the logs of all folders.
func (f *auditFolders) open() (*disk.AuditLogs, error) {
	dirs := f.Dir
	if len(dirs) == 0 && f.File != "" {
		o, err := readOperatorFile(f.File)
		if err != nil {
			return nil, err
		}
		if o.audit != nil {
			dirs = []string{o.audit.LogDir}
			if o.audit.CollectDir != "" {
				dirs = append(dirs, o.audit.CollectDir)
			}
		}
	}
	if len(dirs) == 0 {
		return nil, errNoAuditFolder
	}
	return disk.OpenAuditLogs(dirs...)
}

// read reads all logs, and what is wrong with them.
func (f *auditFolders) read() (all []*audit.FrontLog, found []audit.Finding, err error) {
	l, err := f.open()
	if err != nil {
		return nil, nil, err
	}
	if len(l.Names()) == 0 {
		return nil, nil, fmt.Errorf("%w in %s", errNoAuditLogs, strings.Join(f.Dir, ", "))
	}
	all, found = audit.ReadLogs(l)
	return all, append(found, l.Conflicts...), nil
}

// formatMicros formats a time in Unix microseconds.
func formatMicros(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("2006-01-02T15:04:05.000Z")
}

// outcomeColumns are the columns of formatOutcomes.
var outcomeColumns = []string{"REQUESTS", "SUCCEEDED", "REJECTED", "OTHER"}

func formatOutcomes(n [front.StatusCount]uint32) string {
	total := uint32(0)
	for _, count := range n {
		total += count
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d", total, n[front.StatusSucceeded], n[front.StatusRejected],
		n[front.StatusFailed]+n[front.StatusInvalid]+n[front.StatusAbandoned])
}

// printUses prints when versions were in use. certain tells for each whether it is so whatever the clocks say; nil for all.
func (f *auditFolders) printUses(all []audit.VersionUse, certain []bool) {
	if f.JSON {
		for i, u := range all {
			printJSON(struct {
				audit.VersionUse
				Sure bool `json:"sure"`
			}{u, certain == nil || certain[i]})
		}
		return
	}
	t := newTable(slices.Concat([]string{"FRONT", "INCARNATION", "VERSION", "FROM", "UNTIL"}, outcomeColumns, []string{"NOTE"})...)
	for i, u := range all {
		note := ""
		if certain != nil && !certain[i] {
			note = fmt.Sprintf("by its clock, which may be wrong by %v: perhaps not", time.Duration(u.MaxClockError)*time.Microsecond)
		}
		if u.LeaseExpirations > 0 {
			note += fmt.Sprintf(" on standby %d times", u.LeaseExpirations)
		}
		until := formatMicros(u.End)
		if u.Open {
			until += " (last report)"
		}
		t.row(fmt.Sprintf("%s\t%010x\t%d\t%s\t%s\t%s\t%s", u.Front, u.Incarnation, u.Version, formatMicros(u.Start), until,
			formatOutcomes(u.Outcomes), strings.TrimSpace(note)))
	}
	t.flush()
}

type auditAtCommand struct {
	Time string `arg:"" help:"As 2026-12-01T18:00:00Z, with or without parts of a second."`
	auditFolders
}

func (c *auditAtCommand) run() int {
	at, err := time.Parse(time.RFC3339Nano, c.Time)
	if err != nil {
		printError(fmt.Errorf("write a time as 2026-12-01T18:00:00Z: %w", err))
		return exitUnusable
	}
	all, _, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	uses, sure := audit.UsesAt(audit.VersionUses(all), at.UnixMicro())
	c.printUses(uses, sure)
	if len(uses) == 0 {
		printError(errNothingLogged)
		return exitNegative
	}
	return exitOK
}

type auditFrontCommand struct {
	Name string `arg:"" help:"The front's name."`
	auditFolders
}

func (c *auditFrontCommand) run() int {
	all, _, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	var its []audit.VersionUse
	for _, u := range audit.VersionUses(all) {
		if u.Front == c.Name {
			its = append(its, u)
		}
	}
	c.printUses(its, nil)
	if len(its) == 0 {
		printError(fmt.Errorf("%s: %w", c.Name, errNothingLogged))
		return exitNegative
	}
	return exitOK
}

type auditVersionsCommand struct{ auditFolders }

func (c *auditVersionsCommand) run() int {
	all, _, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	versions := audit.SummarizeVersions(all, audit.VersionUses(all))
	if c.JSON {
		for _, v := range versions {
			printJSON(v)
		}
		return exitOK
	}
	t := newTable(append([]string{"VERSION", "RULES", "FIRST", "LAST", "FRONTS"}, outcomeColumns...)...)
	for _, v := range versions {
		t.row(fmt.Sprintf("%d\t%s\t%s\t%s\t%d\t%s", v.Version, v.RulesHash, formatMicros(v.First), formatMicros(v.Last), v.Fronts,
			formatOutcomes(v.Outcomes)))
	}
	t.flush()
	return exitOK
}

type auditRequestCommand struct {
	ID string `arg:"" help:"The request's id, as its client gave it."`
	auditFolders
}

// requestInterval is an interval in which a request was accepted.
type requestInterval struct {
	Front       string `json:"front"`
	Incarnation uint64 `json:"incarnation"`
	Interval    uint32 `json:"span"`
	Version     uint64 `json:"version"`
	Start       int64  `json:"from"`  // Unix microseconds
	End         int64  `json:"until"` // Unix microseconds
	Index       uint64 `json:"index"`
	Requests    int    `json:"txns"`
}

func (c *auditRequestCommand) run() int {
	found, matched, err := c.find()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	if c.JSON {
		for _, x := range found {
			printJSON(x)
		}
	} else {
		printRequestIntervals(found)
	}
	if !matched {
		printError(fmt.Errorf("%s: %w", c.ID, errNoInterval))
		return exitNegative
	}
	return exitOK
}

var errNoInterval = errors.New("no interval in these logs accepted this request; one that is not closed yet, or that was lost by a crash, is not in them")

// find returns the intervals whose index has the request's id, and whether an index has it at all.
func (c *auditRequestCommand) find() (found []requestInterval, matched bool, err error) {
	l, err := c.open()
	if err != nil {
		return nil, false, err
	}
	matches, err := l.Find(c.ID)
	if err != nil {
		return nil, false, err
	}
	for _, m := range matches {
		b, err := l.Lines(m.Segment)
		if err != nil {
			continue // the segment was removed since its index was read, to stay within the audit's size
		}
		for _, text := range strings.Split(string(b), "\n") {
			var x audit.Line
			if json.Unmarshal([]byte(text), &x) != nil || x.Event != audit.EventInterval || x.IndexOffset != m.IndexOffset+1 {
				continue // another line, or one that is damaged, which fleet audit verify reports
			}
			found = append(found, requestInterval{x.Front, x.Incarnation, x.Interval, x.Version, x.Start, x.End, x.Index, x.Requests})
		}
	}
	return found, len(matches) > 0, nil
}

func printRequestIntervals(all []requestInterval) {
	t := newTable("FRONT", "INCARNATION", "VERSION", "ACCEPTED BETWEEN", "AND", "INTERVAL", "REQUESTS")
	for _, x := range all {
		t.row(fmt.Sprintf("%s\t%010x\t%d\t%s\t%s\t%d\t%d", x.Front, x.Incarnation, x.Version, formatMicros(x.Start), formatMicros(x.End),
			x.Interval, x.Requests))
	}
	t.flush()
}

type auditVerifyCommand struct{ auditFolders }

func (c *auditVerifyCommand) run() int {
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	lines, violations := 0, 0
	for _, j := range all {
		lines += len(j.Lines)
	}
	for _, f := range found {
		if f.Violation {
			violations++
		}
		if c.JSON {
			printJSON(f)
		} else {
			fmt.Println(f)
		}
	}
	if !c.JSON {
		fmt.Printf("%d fronts, %d lines, %d wrong, %d notes\n", len(all), lines, violations, len(found)-violations)
	}
	if violations > 0 {
		return exitNegative
	}
	return exitOK
}
