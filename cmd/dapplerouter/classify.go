package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"dapplerouter/sqlclass"
)

type classifyCall struct {
	File  string   `type:"path" env:"DAPPLEROUTER_FILE" placeholder:"FILE" help:"The operator's file, for its classing form."`
	JSON  bool     `help:"A line of JSON for each line of the input, in order."`
	Files []string `arg:"" optional:"" name:"sqlfile" help:"Statements: {\"sql\": \"...\"} a line, or plain SQL; standard input where none is named."`
}

// record is what is said of one statement.
type record struct {
	Class       string  `json:"class"`
	Why         string  `json:"why"`
	At          int     `json:"at"` // byte that why is about, -1 for none
	Shape       string  `json:"shape"`
	Fingerprint string  `json:"fingerprint"`
	Cost        float64 `json:"cost"` // milliseconds, a first guess: nothing was measured
	Rows        float64 `json:"rows"` // that it is thought to touch
	Type        string  `json:"type"`
}

// classifier says of texts what a front with these settings would find.
type classifier struct{ by *sqlclass.Classifier }

func (c *classifier) record(text []byte) record {
	s, facts, fault := c.by.Classify(text)
	if fault != nil {
		return record{Class: sqlclass.Unknown.String(), Why: fault.Message, At: fault.Offset}
	}
	v := c.by.Explain(text)
	r := record{Class: s.Class.String(), Why: v.Reason, At: v.ReasonOffset, Shape: strings.TrimSpace(string(s.Text()))}
	switch {
	case s.Empty:
		r.Class, r.Why = sqlclass.Unknown.String(), "no statement"
	case s.SessionBound && r.Why == "":
		r.Why = "it leaves something on the connection"
	}
	if r.Why == "" {
		r.At = -1
	}
	r.Fingerprint = fmt.Sprintf("%016x", s.Fingerprint())
	cost := c.by.Estimate(s, &facts)
	r.Cost, r.Rows = float64(cost)/float64(time.Millisecond), s.EstimatedRows(&facts)
	if i := c.by.MatchRule(s, cost); i >= 0 && !s.Empty {
		r.Type = c.by.Rules()[i].Type
	}
	return r
}

func (c *classifyCall) run() int { return c.classify(os.Stdin, os.Stdout, os.Stderr) }

func (c *classifyCall) classify(in io.Reader, out, errs io.Writer) int {
	settings := &sqlclass.Settings{CacheBytes: sqlclass.MinCacheBytes}
	if c.File != "" {
		o, err := readFile(c.File)
		if err != nil {
			return sayFaults(errs, err)
		}
		if o.classing != nil {
			settings = o.classing
		}
	}
	by := &classifier{settings.NewClassifier()}
	buffered := bufio.NewWriter(out)
	defer buffered.Flush()
	table := tabwriter.NewWriter(buffered, 0, 8, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(table, "CLASS\tCOST\tTYPE\tFINGERPRINT\tWHY\tSHAPE")
		defer table.Flush()
	}
	lines := json.NewEncoder(buffered)
	lines.SetEscapeHTML(false)
	say := func(r record) {
		if c.JSON {
			lines.Encode(r)
			return
		}
		why := r.Why
		if why != "" {
			why += fmt.Sprintf(" (byte %d)", r.At)
		}
		fmt.Fprintf(table, "%s\t%.2fms\t%s\t%s\t%s\t%s\n", r.Class, r.Cost, r.Type, r.Fingerprint, why, short(r.Shape))
	}
	exit := done
	one := func(name string, in io.Reader) bool {
		bad, err := by.each(in, c.JSON, say)
		for _, b := range bad {
			fmt.Fprintf(errs, "%s:%s\n", name, b)
			exit = notSo
		}
		if err != nil {
			fmt.Fprintf(errs, "%s: %v\n", name, err)
			exit = unable
		}
		return err == nil
	}
	if len(c.Files) == 0 {
		one("standard input", in)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(errs, err)
			return unable
		}
		ok := one(name, f)
		f.Close()
		if !ok {
			break
		}
	}
	return exit
}

func short(s string) string {
	if len(s) > 80 {
		return strings.ToValidUTF8(s[:77], "") + "..."
	}
	return s
}

const longestLine = 16 << 20

// each gives a record for each statement: by line where asked, or where the lines are JSON; else plain SQL, parted at
// its semicolons. What is bad names lines that are no JSON; they are records too.
func (c *classifier) each(in io.Reader, byLine bool, say func(record)) (bad []string, err error) {
	r := bufio.NewReaderSize(in, 64<<10)
	if !byLine {
		first, _ := r.Peek(1)
		if len(first) == 0 || first[0] != '{' {
			text, err := io.ReadAll(io.LimitReader(r, longestLine+1))
			if err == nil && len(text) > longestLine {
				err = errors.New("plain SQL of more than 16 MiB; part it, or give a statement a line")
			}
			if err == nil {
				c.parts(text, say)
			}
			return nil, err
		}
	}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return bad, nil
		}
		if err != nil && err != io.EOF {
			return bad, err
		}
		text, fault := statement(bytes.TrimRight(line, "\r\n"))
		if fault != "" {
			bad = append(bad, fmt.Sprintf("%d:1: %s; a line is {\"sql\": \"...\"} or plain SQL", n, fault))
			say(record{Class: sqlclass.Unknown.String(), Why: fault, At: -1})
			continue
		}
		say(c.record(text))
	}
}

// statement takes a line apart.
func statement(line []byte) (text []byte, fault string) {
	if len(line) == 0 || line[0] != '{' {
		return line, ""
	}
	if !utf8.Valid(line) {
		return nil, "the line is no UTF-8"
	}
	var l struct{ SQL *string }
	if err := json.Unmarshal(line, &l); err != nil {
		return nil, "the line is no JSON: " + err.Error()
	}
	if l.SQL == nil {
		return nil, "the line has no sql"
	}
	return []byte(*l.SQL), ""
}

// parts cuts plain SQL at the semicolons that end statements.
func (c *classifier) parts(text []byte, say func(record)) {
	var s sqlclass.Scanner
	s.Reset(text)
	from, depth, any := 0, 0, false
	for {
		t := s.Next()
		mark := byte(0)
		if t.Kind == sqlclass.Punctuation {
			mark = text[t.Start]
		}
		switch {
		case t.Kind == sqlclass.Invalid:
			say(c.record(text[from:]))
			return
		case t.Kind == sqlclass.EndOfText || mark == ';' && depth <= 0:
			if any {
				say(c.record(text[from:t.Start]))
			}
			if t.Kind == sqlclass.EndOfText {
				return
			}
			from, depth, any = t.End, 0, false
			continue
		case mark == '(':
			depth++
		case mark == ')':
			depth--
		}
		any = true
	}
}
