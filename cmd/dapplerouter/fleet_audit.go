package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/front"
)

// auditCommands read audit logs from folders; they call no front.
type auditCommands struct {
	At       auditAtCommand       `cmd:"" help:"Show which front acted on which version at a time."`
	Request  auditRequestCommand  `cmd:"" aliases:"txn" help:"Show which front accepted a request, when, and on which version."`
	Front    auditFrontCommand    `cmd:"" help:"Show the versions that one front acted on, over time."`
	Versions auditVersionsCommand `cmd:"" help:"Show for each version when it was in use, by how many fronts, and the outcomes of requests on it."`
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
	errNothingRead   = errors.New("nothing of it is in the segments that could be read")
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

// reportUnread prints the findings on what was not read, and reports whether there are any: then results may lack something, so that a
// command that succeeds exits with exitNegative.
func reportUnread(found []audit.Finding) (incomplete bool) {
	for _, f := range found {
		if f.Unread {
			fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", f)
			incomplete = true
		}
	}
	return incomplete
}

// exitOf is the exit code of a command that found something to show, or not; where it found nothing that is said too, of subject
// where one is named.
func exitOf(shown, incomplete bool, subject string, nothing error) int {
	if !shown {
		if incomplete {
			nothing = errNothingRead
		}
		if subject != "" {
			nothing = fmt.Errorf("%s: %w", subject, nothing)
		}
		printError(nothing)
	}
	if !shown || incomplete {
		return exitNegative
	}
	return exitOK
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
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	incomplete := reportUnread(found)
	uses, sure := audit.UsesAt(audit.VersionUses(all), at.UnixMicro())
	c.printUses(uses, sure)
	return exitOf(len(uses) > 0, incomplete, "", errNothingLogged)
}

type auditFrontCommand struct {
	Name string `arg:"" help:"The front's name."`
	auditFolders
}

func (c *auditFrontCommand) run() int {
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	incomplete := reportUnread(found)
	var its []audit.VersionUse
	for _, u := range audit.VersionUses(all) {
		if u.Front == c.Name {
			its = append(its, u)
		}
	}
	c.printUses(its, nil)
	return exitOf(len(its) > 0, incomplete, c.Name, errNothingLogged)
}

type auditVersionsCommand struct{ auditFolders }

func (c *auditVersionsCommand) run() int {
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	incomplete := reportUnread(found)
	c.print(audit.SummarizeVersions(all, audit.VersionUses(all)))
	return exitOf(true, incomplete, "", nil)
}

func (c *auditVersionsCommand) print(versions []audit.VersionSummary) {
	if c.JSON {
		for _, v := range versions {
			printJSON(v)
		}
		return
	}
	t := newTable(append([]string{"VERSION", "RULES", "FIRST", "LAST", "FRONTS"}, outcomeColumns...)...)
	for _, v := range versions {
		t.row(fmt.Sprintf("%d\t%s\t%s\t%s\t%d\t%s", v.Version, v.RulesHash, formatMicros(v.First), formatMicros(v.Last), v.Fronts,
			formatOutcomes(v.Outcomes)))
	}
	t.flush()
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
	found, unread, err := c.find()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	incomplete := reportUnread(unread)
	if c.JSON {
		for _, x := range found {
			printJSON(x)
		}
	} else {
		printRequestIntervals(found)
	}
	return exitOf(len(found) > 0, incomplete, c.ID, errNoInterval)
}

var errNoInterval = errors.New("no interval in these logs accepted this request; one that is not closed yet, or that was lost by a crash, is not in them")

// find returns the intervals whose index has the request's id, and what could not be read.
func (c *auditRequestCommand) find() (found []requestInterval, unread []audit.Finding, err error) {
	l, err := c.open()
	if err != nil {
		return nil, nil, err
	}
	matches, unread := l.Find(c.ID)
	for _, m := range matches {
		b, err := l.Lines(m.Segment)
		if errors.Is(err, os.ErrNotExist) {
			continue // the segment was removed since its index was read, to stay within the audit's size
		}
		if err != nil {
			unread = append(unread, audit.UnreadSegment(m.Segment, fmt.Sprintf("the segment can't be read: %v", err)))
			continue
		}
		interval, ok := intervalAt(b, m)
		if !ok {
			unread = append(unread, audit.UnreadSegment(m.Segment, fmt.Sprintf("the index has the request in interval %d, whose line is damaged or not written yet", m.Interval)))
			continue
		}
		found = append(found, interval)
	}
	return found, unread, nil
}

// intervalAt returns the interval of a match from its segment's lines.
func intervalAt(lines []byte, m disk.Match) (interval requestInterval, ok bool) {
	for text := range bytes.Lines(lines) {
		var x audit.Line
		if json.Unmarshal(text, &x) != nil || x.Event != audit.EventInterval || x.IndexOffset != m.IndexOffset+1 {
			continue // another line, or one that is damaged, which fleet audit verify reports
		}
		return requestInterval{x.Front, x.Incarnation, x.Interval, x.Version, x.Start, x.End, x.Index, x.Requests}, true
	}
	return requestInterval{}, false
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
