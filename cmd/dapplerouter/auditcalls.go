package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/front"
)

// auditCommands reads logs of audits, wherever they lie: no front is asked.
type auditCommands struct {
	At       auditAtCommand       `cmd:"" help:"Say which front acted on which version at a moment."`
	Request  auditRequestCommand  `cmd:"" aliases:"txn" help:"Say which front took a request, when, and on which version."`
	Front    auditFrontCommand    `cmd:"" help:"Say what one front acted on, over time."`
	Versions auditVersionsCommand `cmd:"" help:"Say of each version when it was in use, by how many fronts, and what was served on it."`
	Verify   auditVerifyCommand   `cmd:"" help:"Look whether the logs are whole and hang together."`
}

// auditFolders are where logs are read from.
type auditFolders struct {
	Dir  []string `type:"existingdir" placeholder:"DIR" help:"Folders with logs; the file's own audit, and what it collects, where left out."`
	File string   `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, to take the folders from."`
	JSON bool     `help:"Lines of JSON instead."`
}

func (f *auditFolders) logs() (*disk.AuditLogs, error) {
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
		return nil, fmt.Errorf("no folder is named: give --dir DIR, or --file with a form audit")
	}
	return disk.OpenAuditLogs(dirs...)
}

func (f *auditFolders) read() (l *disk.AuditLogs, all []*audit.FrontLog, found []audit.Finding, code int) {
	l, err := f.logs()
	if err == nil && len(l.Names()) == 0 {
		err = fmt.Errorf("there are no logs of an audit in %s", strings.Join(f.Dir, ", "))
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err)
		return nil, nil, nil, exitUnusable
	}
	all, found = audit.ReadLogs(l)
	return l, all, append(found, l.Conflicts...), exitOK
}

func formatMicros(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("2006-01-02T15:04:05.000Z")
}

func formatOutcomes(w [front.StatusCount]uint32) string {
	total := uint32(0)
	for _, n := range w {
		total += n
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d", total, w[front.StatusSucceeded], w[front.StatusRejected], w[front.StatusFailed]+w[front.StatusInvalid]+w[front.StatusAbandoned])
}

// printUses prints times of use.
func (f *auditFolders) printUses(all []audit.VersionUse, sure []bool) {
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if !f.JSON {
		fmt.Fprintln(t, "FRONT\tINCARNATION\tVERSION\tFROM\tUNTIL\tTXNS\tCOMMITTED\tDECLINED\tOTHER\tNOTE")
	}
	for i, u := range all {
		note := ""
		if sure != nil && !sure[i] {
			note = fmt.Sprintf("by its clock, which may be wrong by %v: perhaps not", time.Duration(u.MaxClockError)*time.Microsecond)
		}
		if u.LeaseExpirations > 0 {
			note += fmt.Sprintf(" stood by %d times", u.LeaseExpirations)
		}
		if f.JSON {
			json.NewEncoder(os.Stdout).Encode(struct {
				audit.VersionUse
				Sure bool `json:"sure"`
			}{u, sure == nil || sure[i]})
			continue
		}
		until := formatMicros(u.End)
		if u.Open {
			until += " (last told)"
		}
		fmt.Fprintf(t, "%s\t%010x\t%d\t%s\t%s\t%s\t%s\n", u.Front, u.Incarnation, u.Version, formatMicros(u.Start), until, formatOutcomes(u.Outcomes), strings.TrimSpace(note))
	}
	t.Flush()
}

type auditAtCommand struct {
	Time string `arg:"" help:"As 2026-12-01T18:00:00Z, with or without parts of a second."`
	auditFolders
}

func (c *auditAtCommand) run() int {
	at, err := time.Parse(time.RFC3339Nano, c.Time)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dapplerouter: %q is no time: write 2026-12-01T18:00:00Z\n", c.Time)
		return exitUnusable
	}
	_, all, _, code := c.read()
	if code != exitOK {
		return code
	}
	uses, sure := audit.UsesAt(audit.VersionUses(all), at.UnixMicro())
	c.printUses(uses, sure)
	if len(uses) == 0 {
		fmt.Fprintln(os.Stderr, "dapplerouter: no log tells of that moment")
		return exitNegative
	}
	return exitOK
}

type auditFrontCommand struct {
	Name string `arg:"" help:"The front's name."`
	auditFolders
}

func (c *auditFrontCommand) run() int {
	_, all, _, code := c.read()
	if code != exitOK {
		return code
	}
	var its []audit.VersionUse
	for _, u := range audit.VersionUses(all) {
		if u.Front == c.Name {
			its = append(its, u)
		}
	}
	c.printUses(its, nil)
	if len(its) == 0 {
		fmt.Fprintf(os.Stderr, "dapplerouter: no log is of %s\n", c.Name)
		return exitNegative
	}
	return exitOK
}

type auditVersionsCommand struct{ auditFolders }

func (c *auditVersionsCommand) run() int {
	_, all, _, code := c.read()
	if code != exitOK {
		return code
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(t, "VERSION\tMEANING\tFIRST\tLAST\tFRONTS\tTXNS\tCOMMITTED\tDECLINED\tOTHER")
	}
	for _, v := range audit.SummarizeVersions(all, audit.VersionUses(all)) {
		if c.JSON {
			json.NewEncoder(os.Stdout).Encode(v)
		} else {
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%s\n", v.Version, v.RulesHash, formatMicros(v.First), formatMicros(v.Last), v.Fronts, formatOutcomes(v.Outcomes))
		}
	}
	t.Flush()
	return exitOK
}

type auditRequestCommand struct {
	ID string `arg:"" help:"The request's id, as its client gave it."`
	auditFolders
}

// txnSeen is a span that took a request.
type requestInterval struct {
	Front       string `json:"front"`
	Incarnation uint64 `json:"incarnation"`
	Span        uint32 `json:"span"`
	Version     uint64 `json:"version"`
	From        int64  `json:"from"`
	Until       int64  `json:"until"`
	Index       uint64 `json:"index"`
	Requests    int    `json:"txns"`
}

func (c *auditRequestCommand) run() int {
	l, err := c.logs()
	var hits []disk.Match
	if err == nil {
		hits, err = l.Find(c.ID)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err)
		return exitUnusable
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(t, "FRONT\tINCARNATION\tVERSION\tTAKEN BETWEEN\tAND\tSPAN\tOF TXNS")
	}
	for _, h := range hits {
		b, err := l.Lines(h.Segment)
		if err != nil {
			continue
		}
		for _, text := range strings.Split(string(b), "\n") {
			var x audit.Line
			if json.Unmarshal([]byte(text), &x) != nil || x.Event != audit.EventInterval || x.IndexOffset != h.IndexOffset+1 {
				continue
			}
			s := requestInterval{x.Front, x.Incarnation, x.Interval, x.Version, x.Start, x.End, x.Index, x.Requests}
			if c.JSON {
				json.NewEncoder(os.Stdout).Encode(s)
			} else {
				fmt.Fprintf(t, "%s\t%010x\t%d\t%s\t%s\t%d\t%d\n", s.Front, s.Incarnation, s.Version, formatMicros(s.From), formatMicros(s.Until), s.Span, s.Requests)
			}
		}
	}
	t.Flush()
	if len(hits) == 0 {
		fmt.Fprintf(os.Stderr, "dapplerouter: no span in these logs took %s; one that is not closed yet, or that was lost by a crash, is not in them\n", c.ID)
		return exitNegative
	}
	return exitOK
}

type auditVerifyCommand struct{ auditFolders }

func (c *auditVerifyCommand) run() int {
	_, all, found, code := c.read()
	if code != exitOK {
		return code
	}
	lines, wrong := 0, 0
	for _, j := range all {
		lines += len(j.Lines)
	}
	for _, f := range found {
		if f.Violation {
			wrong++
		}
		if c.JSON {
			json.NewEncoder(os.Stdout).Encode(f)
		} else {
			fmt.Println(f)
		}
	}
	if !c.JSON {
		fmt.Printf("%d fronts, %d lines, %d wrong, %d notes\n", len(all), lines, wrong, len(found)-wrong)
	}
	if wrong > 0 {
		return exitNegative
	}
	return exitOK
}
