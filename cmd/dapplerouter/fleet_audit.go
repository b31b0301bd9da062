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

// auditCommands read audit logs from folders. They don't call a front.
type auditCommands struct {
	At       auditAtCommand       `cmd:"" help:"Show which front acted on which version at a time."`
	Request  auditRequestCommand  `cmd:"" aliases:"txn" help:"Show which front accepted a request, when, and on which version."`
	Front    auditFrontCommand    `cmd:"" help:"Show the versions that one front acted on, over time."`
	Versions auditVersionsCommand `cmd:"" help:"Show for each version when it was in use, by how many fronts, and the outcomes of requests on it."`
	Verify   auditVerifyCommand   `cmd:"" help:"Verify that the logs are complete and consistent."`
}

// auditFolders holds the options that say which folders audit logs are read from. It is embedded in the audit commands.
type auditFolders struct {
	Dir  []string `type:"existingdir" placeholder:"DIR" help:"Folders with logs; the file's own audit, and what it collects, where left out."`
	File string   `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, to take the folders from."`
	JSON bool     `help:"Lines of JSON instead."`
}

var (
	errNoAuditFolder   = errors.New("no audit folder given: pass --dir DIR, or --file FILE with an audit form")
	errNoAuditLogs     = errors.New("no audit logs")
	errNoMatch         = errors.New("no matching entries in these logs")
	errNoReadableMatch = errors.New("no matching entries in the segments that could be read")
)

// open opens the audit logs of all folders: those of --dir, else those that the operator's file names.
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

// read reads all audit logs. found lists the faults in them, such as segments that could not be read and logs that conflict.
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

// reportUnread prints the findings about segments that could not be read, and reports whether there are any. If so, results may be
// incomplete, and a command exits with exitNegative even if it has found something.
func reportUnread(found []audit.Finding) (incomplete bool) {
	for _, f := range found {
		if f.Unread {
			fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", f)
			incomplete = true
		}
	}
	return incomplete
}

// finishSearch returns the exit code of a command that searched audit logs: exitOK if it found something and could read all logs, else
// exitNegative. If it found nothing, finishSearch prints notFound, or errNoReadableMatch for incomplete logs. The subject of the search, if
// any, precedes the error.
func finishSearch(found, incomplete bool, subject string, notFound error) int {
	if !found {
		if incomplete {
			notFound = errNoReadableMatch
		}
		if subject != "" {
			notFound = fmt.Errorf("%s: %w", subject, notFound)
		}
		printError(notFound)
	}
	if !found || incomplete {
		return exitNegative
	}
	return exitOK
}

// formatMicros formats a time that is given in Unix microseconds, in UTC.
func formatMicros(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("2006-01-02T15:04:05.000Z")
}

// outcomeColumns are the headings of the columns that formatOutcomes writes.
var outcomeColumns = []string{"REQUESTS", "SUCCEEDED", "REJECTED", "OTHER"}

// formatOutcomes formats the number of requests of each outcome as cells of a table row, separated by tabs.
func formatOutcomes(n [front.StatusCount]uint32) string {
	total := uint32(0)
	for _, count := range n {
		total += count
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d", total, n[front.StatusSucceeded], n[front.StatusRejected],
		n[front.StatusFailed]+n[front.StatusInvalid]+n[front.StatusAbandoned])
}

// printUses prints the periods in which fronts used versions. certain tells for each period whether it holds in spite of possible clock
// errors; nil means that all do.
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
			note = fmt.Sprintf("not certain: the front's clock may be off by %v", time.Duration(u.MaxClockError)*time.Microsecond)
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

// auditAtCommand shows which front acted on which version of the fleet's configuration at a given time, from the audit logs.
type auditAtCommand struct {
	Time string `arg:"" help:"As 2026-12-01T18:00:00Z, with or without parts of a second."`
	auditFolders
}

// run exits with exitNegative if no front used a version at that time, or if some segments could not be read.
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
	return finishSearch(len(uses) > 0, incomplete, "", errNoMatch)
}

// auditFrontCommand shows the versions of the fleet's configuration that one front acted on, over time.
type auditFrontCommand struct {
	Name string `arg:"" help:"The front's name."`
	auditFolders
}

// run exits with exitNegative if the logs have no use of a version by the front, or if some segments could not be read.
func (c *auditFrontCommand) run() int {
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	incomplete := reportUnread(found)
	var uses []audit.VersionUse
	for _, u := range audit.VersionUses(all) {
		if u.Front == c.Name {
			uses = append(uses, u)
		}
	}
	c.printUses(uses, nil)
	return finishSearch(len(uses) > 0, incomplete, c.Name, errNoMatch)
}

// auditVersionsCommand summarizes each version of the fleet's configuration: when it was in use, by how many fronts, and the outcomes of
// requests on it.
type auditVersionsCommand struct{ auditFolders }

// run exits with exitNegative if some segments could not be read.
func (c *auditVersionsCommand) run() int {
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	incomplete := reportUnread(found)
	c.print(audit.SummarizeVersions(all, audit.VersionUses(all)))
	return finishSearch(true, incomplete, "", nil)
}

// print prints the summaries, one per line of JSON or as a table.
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

// auditRequestCommand shows which front accepted a request, when, and on which version of the fleet's configuration.
type auditRequestCommand struct {
	ID string `arg:"" help:"The request's id, as its client gave it."`
	auditFolders
}

// requestInterval is an interval of a front's audit log in which a request was accepted.
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

// run exits with exitNegative if no interval has the request, or if some segments could not be read.
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
	return finishSearch(len(found) > 0, incomplete, c.ID, errNoInterval)
}

var errNoInterval = errors.New("no interval in these logs has this request; " +
	"an interval that is still open, or that was lost in a crash, is not in them")

// find returns the intervals whose index contains the request's id, and findings about the segments that could not be read.
func (c *auditRequestCommand) find() (found []requestInterval, unread []audit.Finding, err error) {
	l, err := c.open()
	if err != nil {
		return nil, nil, err
	}
	matches, unread := l.Find(c.ID)
	for _, m := range matches {
		b, err := l.Log(m.Segment)
		if errors.Is(err, os.ErrNotExist) {
			continue // the segment was removed after its index was read, to keep the audit log within its maximum size
		}
		if err != nil {
			unread = append(unread, audit.UnreadSegment(m.Segment, fmt.Sprintf("can't read the segment: %v", err)))
			continue
		}
		interval, ok := intervalAt(b, m)
		if !ok {
			unread = append(unread, audit.UnreadSegment(m.Segment,
				fmt.Sprintf("the index lists the request in interval %d, but the line of this interval is damaged or not written yet", m.Interval)))
			continue
		}
		found = append(found, interval)
	}
	return found, unread, nil
}

// intervalAt returns the interval that a match of the index refers to, from the lines of the match's segment.
func intervalAt(lines []byte, m disk.Match) (interval requestInterval, ok bool) {
	for text := range bytes.Lines(lines) {
		var x audit.Line
		if json.Unmarshal(text, &x) != nil || x.Event != audit.EventInterval || x.IndexOffset != m.IndexOffset+1 {
			continue // another line, or a damaged one, which fleet audit verify reports
		}
		return requestInterval{x.Front, x.Incarnation, x.Interval, x.Version, x.Start, x.End, x.Index, x.Requests}, true
	}
	return requestInterval{}, false
}

// printRequestIntervals prints the intervals as a table.
func printRequestIntervals(all []requestInterval) {
	t := newTable("FRONT", "INCARNATION", "VERSION", "ACCEPTED BETWEEN", "AND", "INTERVAL", "REQUESTS")
	for _, x := range all {
		t.row(fmt.Sprintf("%s\t%010x\t%d\t%s\t%s\t%d\t%d", x.Front, x.Incarnation, x.Version, formatMicros(x.Start), formatMicros(x.End),
			x.Interval, x.Requests))
	}
	t.flush()
}

// auditVerifyCommand checks that audit logs are complete and consistent.
type auditVerifyCommand struct{ auditFolders }

// run exits with exitNegative if a finding is a violation, not only a note.
func (c *auditVerifyCommand) run() int {
	all, found, err := c.read()
	if err != nil {
		printError(err)
		return exitUnusable
	}
	lines, violations := 0, 0
	for _, frontLog := range all {
		lines += len(frontLog.Lines)
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
