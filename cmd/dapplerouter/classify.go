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

type classifyCommand struct {
	File  string   `type:"path" env:"DAPPLEROUTER_FILE" placeholder:"FILE" help:"The operator's file, for its classing form."`
	JSON  bool     `help:"A line of JSON for each line of the input, in order."`
	Files []string `arg:"" optional:"" name:"sqlfile" help:"Statements: {\"sql\": \"...\"} a line, or plain SQL; standard input where none is named."`
}

// classification is what is said of one statement.
type classification struct {
	Class       string  `json:"class"`
	Reason      string  `json:"why"`
	Offset      int     `json:"at"` // byte that why is about, -1 for none
	Normalized  string  `json:"shape"`
	Fingerprint string  `json:"fingerprint"`
	Cost        float64 `json:"cost"` // milliseconds, a first guess: nothing was measured
	Rows        float64 `json:"rows"` // that it is thought to touch
	RequestType string  `json:"type"`
}

// statementClassifier says of texts what a front with these settings would find.
type statementClassifier struct{ with *sqlclass.Classifier }

func (c *statementClassifier) classify(text []byte) classification {
	s, facts, fault := c.with.Classify(text)
	if fault != nil {
		return classification{Class: sqlclass.Unknown.String(), Reason: fault.Message, Offset: fault.Offset}
	}
	v := c.with.Explain(text)
	r := classification{Class: s.Class.String(), Reason: v.Reason, Offset: v.ReasonOffset, Normalized: strings.TrimSpace(string(s.Text()))}
	switch {
	case s.Empty:
		r.Class, r.Reason = sqlclass.Unknown.String(), "no statement"
	case s.SessionBound && r.Reason == "":
		r.Reason = "it leaves something on the connection"
	}
	if r.Reason == "" {
		r.Offset = -1
	}
	r.Fingerprint = fmt.Sprintf("%016x", s.Fingerprint())
	cost := c.with.Estimate(s, &facts)
	r.Cost, r.Rows = float64(cost)/float64(time.Millisecond), s.EstimatedRows(&facts)
	if i := c.with.MatchRule(s, cost); i >= 0 && !s.Empty {
		r.RequestType = c.with.Rules()[i].Type
	}
	return r
}

func (c *classifyCommand) run() int { return c.classify(os.Stdin, os.Stdout, os.Stderr) }

func (c *classifyCommand) classify(in io.Reader, out, errs io.Writer) int {
	settings := &sqlclass.Settings{CacheBytes: sqlclass.MinCacheBytes}
	if c.File != "" {
		o, err := readOperatorFile(c.File)
		if err != nil {
			return printErrors(errs, err)
		}
		if o.classing != nil {
			settings = o.classing
		}
	}
	by := &statementClassifier{settings.NewClassifier()}
	buffered := bufio.NewWriter(out)
	defer buffered.Flush()
	table := tabwriter.NewWriter(buffered, 0, 8, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(table, "CLASS\tCOST\tTYPE\tFINGERPRINT\tWHY\tSHAPE")
		defer table.Flush()
	}
	lines := json.NewEncoder(buffered)
	lines.SetEscapeHTML(false)
	say := func(r classification) {
		if c.JSON {
			lines.Encode(r)
			return
		}
		why := r.Reason
		if why != "" {
			why += fmt.Sprintf(" (byte %d)", r.Offset)
		}
		fmt.Fprintf(table, "%s\t%.2fms\t%s\t%s\t%s\t%s\n", r.Class, r.Cost, r.RequestType, r.Fingerprint, why, truncate(r.Normalized))
	}
	exit := exitOK
	one := func(name string, in io.Reader) bool {
		bad, err := by.classifyAll(in, c.JSON, say)
		for _, b := range bad {
			fmt.Fprintf(errs, "%s:%s\n", name, b)
			exit = exitNegative
		}
		if err != nil {
			fmt.Fprintf(errs, "%s: %v\n", name, err)
			exit = exitUnusable
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
			return exitUnusable
		}
		ok := one(name, f)
		f.Close()
		if !ok {
			break
		}
	}
	return exit
}

func truncate(s string) string {
	if len(s) > 80 {
		return strings.ToValidUTF8(s[:77], "") + "..."
	}
	return s
}

const maxSQLBytes = 16 << 20

// classifyAll gives a record for each statement: by line where asked, or where the lines are JSON; else plain SQL, parted at
// its semicolons. What is bad names lines that are no JSON; they are records too.
func (c *statementClassifier) classifyAll(in io.Reader, byLine bool, say func(classification)) (bad []string, err error) {
	r := bufio.NewReaderSize(in, 64<<10)
	if !byLine {
		first, _ := r.Peek(1)
		if len(first) == 0 || first[0] != '{' {
			text, err := io.ReadAll(io.LimitReader(r, maxSQLBytes+1))
			if err == nil && len(text) > maxSQLBytes {
				err = errors.New("plain SQL of more than 16 MiB; part it, or give a statement a line")
			}
			if err == nil {
				c.classifySQL(text, say)
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
		text, fault := parseLine(bytes.TrimRight(line, "\r\n"))
		if fault != "" {
			bad = append(bad, fmt.Sprintf("%d:1: %s; a line is {\"sql\": \"...\"} or plain SQL", n, fault))
			say(classification{Class: sqlclass.Unknown.String(), Reason: fault, Offset: -1})
			continue
		}
		say(c.classify(text))
	}
}

// parseLine takes a line apart.
func parseLine(line []byte) (text []byte, fault string) {
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

// classifySQL cuts plain SQL at the semicolons that end statements.
func (c *statementClassifier) classifySQL(text []byte, say func(classification)) {
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
			say(c.classify(text[from:]))
			return
		case t.Kind == sqlclass.EndOfText || mark == ';' && depth <= 0:
			if any {
				say(c.classify(text[from:t.Start]))
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
