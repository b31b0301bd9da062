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

// classifyCommand classifies SQL statements from files or from standard input, and prints a line for each.
type classifyCommand struct {
	File  string   `type:"path" env:"DAPPLEROUTER_FILE" placeholder:"FILE" help:"The operator's file, for its classing form."`
	JSON  bool     `help:"A line of JSON for each line of the input, in order."`
	Files []string `arg:"" optional:"" name:"sqlfile" help:"Statements: {\"sql\": \"...\"} a line, or plain SQL; standard input where none is named."`
}

// classification is the result for one statement: a line of the output.
type classification struct {
	Class       string  `json:"class"`
	Reason      string  `json:"why"`
	Offset      int     `json:"at"` // byte of the statement that Reason refers to, -1 for none
	Normalized  string  `json:"shape"`
	Fingerprint string  `json:"fingerprint"`
	Cost        float64 `json:"cost"` // estimated, in milliseconds
	Rows        float64 `json:"rows"` // estimated number of rows that the statement touches
	RequestType string  `json:"type"`
}

// statementClassifier classifies statements as a front with the same settings does.
type statementClassifier struct{ classifier *sqlclass.Classifier }

// classify classifies one statement. A text that can't be parsed is classified as unknown, with the syntax error as its reason.
func (c *statementClassifier) classify(text []byte) classification {
	s, details, syntaxErr := c.classifier.Classify(text)
	if syntaxErr != nil {
		return classification{Class: sqlclass.Unknown.String(), Reason: syntaxErr.Message, Offset: syntaxErr.Offset}
	}
	explanation := c.classifier.Explain(text)
	r := classification{Class: s.Class.String(), Reason: explanation.Reason, Offset: explanation.ReasonOffset,
		Normalized: strings.TrimSpace(string(s.Text()))}
	switch {
	case s.Empty:
		r.Class, r.Reason = sqlclass.Unknown.String(), "no statement"
	case s.SessionBound && r.Reason == "":
		r.Reason = "the statement leaves state on the connection"
	}
	if r.Reason == "" {
		r.Offset = -1
	}
	r.Fingerprint = fmt.Sprintf("%016x", s.Fingerprint())
	cost := c.classifier.Estimate(s, &details)
	r.Cost, r.Rows = float64(cost)/float64(time.Millisecond), s.EstimatedRows(&details)
	if i := c.classifier.MatchRule(s, cost); i >= 0 && !s.Empty {
		r.RequestType = c.classifier.Rules()[i].RequestType
	}
	return r
}

// run is classify with the standard streams.
func (c *classifyCommand) run() int { return c.classify(os.Stdin, os.Stdout, os.Stderr) }

// classify classifies the statements of the files on the command line, or those of in without such files. It returns the exit code.
func (c *classifyCommand) classify(in io.Reader, out, errorOutput io.Writer) int {
	settings := &sqlclass.Settings{CacheBytes: sqlclass.MinCacheBytes}
	if c.File != "" {
		o, err := readOperatorFile(c.File)
		if err != nil {
			return printErrors(errorOutput, err)
		}
		if o.classing != nil {
			settings = o.classing
		}
	}
	classifier := &statementClassifier{settings.NewClassifier()}
	output := newClassificationOutput(out, c.JSON)
	defer output.flush()
	exit := exitOK
	if len(c.Files) == 0 {
		exit = classifier.classifyFile("standard input", in, output, errorOutput)
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			printErrors(errorOutput, err)
			return exitUnusable
		}
		code := classifier.classifyFile(name, f, output, errorOutput)
		_ = f.Close() // opened for reading
		exit = max(exit, code)
		if code == exitUnusable {
			break
		}
	}
	return exit
}

// classifyFile classifies the statements of one input. It reports malformed lines and read errors on errorOutput, and returns the exit
// code.
func (c *statementClassifier) classifyFile(name string, in io.Reader, output *classificationOutput, errorOutput io.Writer) int {
	exit := exitOK
	badLines, err := c.classifyAll(in, output.json != nil, output.write)
	for _, bad := range badLines {
		_, _ = fmt.Fprintf(errorOutput, "%s:%s\n", name, bad)
		exit = exitNegative
	}
	if err != nil {
		_, _ = fmt.Fprintf(errorOutput, "%s: %v\n", name, err)
		exit = exitUnusable
	}
	return exit
}

// classificationOutput writes classifications as lines of JSON or as a table. It ignores write errors: they mean that the reader has closed
// the pipe.
type classificationOutput struct {
	buffer *bufio.Writer
	json   *json.Encoder     // nil for a table
	table  *tabwriter.Writer // nil for JSON
}

// newClassificationOutput makes a classificationOutput to out. For a table it adds the heading.
func newClassificationOutput(out io.Writer, asJSON bool) *classificationOutput {
	o := &classificationOutput{buffer: bufio.NewWriter(out)}
	if asJSON {
		o.json = json.NewEncoder(o.buffer)
		o.json.SetEscapeHTML(false)
		return o
	}
	o.table = tabwriter.NewWriter(o.buffer, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(o.table, "CLASS\tCOST\tTYPE\tFINGERPRINT\tREASON\tNORMALIZED")
	return o
}

// write adds a classification as a line of JSON or as a row of the table.
func (o *classificationOutput) write(c classification) {
	if o.json != nil {
		_ = o.json.Encode(c)
		return
	}
	reason := c.Reason
	if reason != "" {
		reason += fmt.Sprintf(" (byte %d)", c.Offset)
	}
	_, _ = fmt.Fprintf(o.table, "%s\t%.2fms\t%s\t%s\t%s\t%s\n", c.Class, c.Cost, c.RequestType, c.Fingerprint, reason, truncate(c.Normalized))
}

// flush writes what is buffered. A table is written only then, since its column widths depend on all rows.
func (o *classificationOutput) flush() {
	if o.table != nil {
		_ = o.table.Flush()
	}
	_ = o.buffer.Flush()
}

// truncate shortens a text to the 80 bytes that a table cell may have.
func truncate(s string) string {
	if len(s) > 80 {
		return strings.ToValidUTF8(s[:77], "") + "..."
	}
	return s
}

const maxSQLBytes = 16 << 20 // of an input of plain SQL, which is held in memory as a whole

var (
	errSQLTooLong = errors.New("plain SQL exceeds 16 MiB; split it, or write one statement per line")
	errNotUTF8    = errors.New("the line is not valid UTF-8")
	errNotJSON    = errors.New("the line is not valid JSON")
	errNoSQL      = errors.New("the line has no key sql")
)

// classifyAll classifies each statement of an input and passes the result to emit. If byLine is set or the input begins with a JSON
// object, each line is a statement. Otherwise the input is plain SQL, whose statements are separated by semicolons. badLines has an error
// for each malformed line; such a line is also emitted, as an unknown statement.
func (c *statementClassifier) classifyAll(in io.Reader, byLine bool, emit func(classification)) (badLines []string, err error) {
	r := bufio.NewReaderSize(in, 64<<10)
	if !byLine {
		first, _ := r.Peek(1) // an error is returned again by the next read
		if len(first) == 0 || first[0] != '{' {
			return nil, c.classifyPlain(r, emit)
		}
	}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return badLines, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return badLines, err
		}
		text, err := parseLine(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			badLines = append(badLines, fmt.Sprintf("%d:1: %v; write {\"sql\": \"...\"} or plain SQL", n, err))
			emit(classification{Class: sqlclass.Unknown.String(), Reason: err.Error(), Offset: -1})
			continue
		}
		emit(c.classify(text))
	}
}

// parseLine returns the statement of a line: the value of the key sql if the line is a JSON object, else the line itself.
func parseLine(line []byte) ([]byte, error) {
	if len(line) == 0 || line[0] != '{' {
		return line, nil
	}
	if !utf8.Valid(line) {
		return nil, errNotUTF8
	}
	var l struct{ SQL *string }
	if err := json.Unmarshal(line, &l); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotJSON, err)
	}
	if l.SQL == nil {
		return nil, errNoSQL
	}
	return []byte(*l.SQL), nil
}

// classifyPlain classifies the statements of plain SQL. It reads the whole input, at most maxSQLBytes, before it classifies any.
func (c *statementClassifier) classifyPlain(r io.Reader, emit func(classification)) error {
	text, err := io.ReadAll(io.LimitReader(r, maxSQLBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxSQLBytes {
		return errSQLTooLong
	}
	splitSQL(text, func(statement []byte) { emit(c.classify(statement)) })
	return nil
}

// splitSQL calls each with every statement of a text that is not empty. A semicolon outside of parentheses ends a statement. After an
// invalid token the rest of the text counts as one statement.
func splitSQL(text []byte, each func(statement []byte)) {
	var s sqlclass.Scanner
	s.Reset(text)
	start, depth, empty := 0, 0, true
	for {
		t := s.Next()
		punctuation := byte(0)
		if t.Kind == sqlclass.Punctuation {
			punctuation = text[t.Start]
		}
		switch {
		case t.Kind == sqlclass.Invalid:
			each(text[start:])
			return
		case t.Kind == sqlclass.EndOfText || punctuation == ';' && depth <= 0:
			if !empty {
				each(text[start:t.Start])
			}
			if t.Kind == sqlclass.EndOfText {
				return
			}
			start, depth, empty = t.End, 0, true
			continue
		case punctuation == '(':
			depth++
		case punctuation == ')':
			depth--
		}
		empty = false
	}
}
