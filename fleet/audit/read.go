package audit

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// LogSource is where segments are read from, by their names without suffix.
type LogSource interface {
	Names() []string // sorted
	Lines(name string) ([]byte, error)
	IDs(name string) ([]byte, error)
}

// Finding is what verification found: a violation, or a note of what the log itself says is missing.
type Finding struct {
	Segment   string `json:"segment"`
	Line      int    `json:"line"` // within the segment, from 1; 0 for the whole of it
	Violation bool   `json:"wrong"`
	Message   string `json:"what"`

	Unread bool `json:"-"` // the segment, or a part of it, was not read: what it has is in no other result
}

// UnreadSegment is the finding that a segment, or a part of it, was not read.
func UnreadSegment(segment, message string) Finding {
	return Finding{Segment: segment, Violation: true, Message: message, Unread: true}
}

// String is the finding as a line of text: place, kind and message.
func (f Finding) String() string {
	kind := "note"
	if f.Violation {
		kind = "wrong"
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.Segment, kind, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.Segment, f.Line, kind, f.Message)
}

// FrontLog is one front's log, in its order.
type FrontLog struct {
	Front string
	Lines []PlacedLine
}

// PlacedLine is a line and where it stands.
type PlacedLine struct {
	Line
	Segment    string
	LineNumber int // within the segment, from 1
}

// ReadLogs reads and verifies all logs, by front. What can't be read, or contradicts itself, is among the findings.
func ReadLogs(source LogSource) (logs []*FrontLog, findings []Finding) {
	readers := map[string]*logReader{} // by front
	for _, name := range source.Names() {
		front, number, ok := ParseLogName(name + LogSuffix)
		if !ok {
			continue
		}
		r := readers[front]
		if r == nil {
			r = newLogReader(front)
			readers[front] = r
			logs = append(logs, r.log)
		}
		r.readSegment(source, name, number)
	}
	slices.SortFunc(logs, func(a, b *FrontLog) int { return cmp.Compare(a.Front, b.Front) })
	for _, log := range logs {
		r := readers[log.Front]
		r.end()
		findings = append(findings, r.findings...)
	}
	return logs, findings
}

// logReader reads one front's log, segment by segment, and verifies each line against those before it.
type logReader struct {
	log      *FrontLog
	findings []Finding

	segment string // that is being read
	line    int    // within it, from 1; 0 for findings on the whole of it

	segments  segmentSequence
	chain     chainPosition
	process   processState
	intervals intervalSequence
}

func newLogReader(front string) *logReader {
	return &logReader{log: &FrontLog{Front: front}, process: processState{stopped: map[uint64]bool{}}}
}

func (r *logReader) violation(format string, args ...any) {
	r.findings = append(r.findings, Finding{Segment: r.segment, Line: r.line, Violation: true, Message: fmt.Sprintf(format, args...)})
}

func (r *logReader) note(format string, args ...any) {
	r.findings = append(r.findings, Finding{Segment: r.segment, Line: r.line, Message: fmt.Sprintf(format, args...)})
}

// readSegment reads the next segment.
func (r *logReader) readSegment(source LogSource, name string, number uint64) {
	r.segment, r.line = name, 0
	if r.segments.last == 0 && number > 1 {
		r.process.startMissing = true
	}
	place := r.segments.advance(r.log.Front, number)
	text, err := source.Lines(name)
	if err != nil {
		r.findings = append(r.findings, UnreadSegment(name, fmt.Sprintf("the segment can't be read: %v", err)))
		return
	}
	index := segmentIndex{}
	index.data, index.err = source.IDs(name)
	for len(text) > 0 {
		r.line++
		lineText, remaining, ended := bytes.Cut(text, []byte{'\n'})
		text = remaining
		var l Line
		if err := json.Unmarshal(lineText, &l); err != nil || !ended {
			r.violation("the line can't be read: torn, or no line of an audit")
			continue
		}
		r.verifyChain(&l, place)
		place = sameSegment
		if l.Front != r.log.Front {
			r.violation("the line is of front %s", l.Front)
			continue
		}
		if l.IndexOffset > 0 || l.Requests > 0 {
			r.verifyIndex(&l, &index)
		}
		p := PlacedLine{Line: l, Segment: name, LineNumber: r.line}
		r.verifyLine(&p)
		r.log.Lines = append(r.log.Lines, p)
	}
	if r.line == 0 {
		return // an empty segment: the process ended after it was created
	}
	if index.err == nil && int64(len(index.data)) > index.verified {
		r.line = 0
		r.note("the index holds %d bytes that no line tells of", int64(len(index.data))-index.verified)
	}
}

// end adds the findings that need the whole log.
func (r *logReader) end() {
	for _, missing := range r.segments.missing {
		if missing.Segment > r.segments.removed {
			r.findings = append(r.findings, missing)
		}
	}
	if r.process.started != nil {
		r.line = 0
		r.note("the log is not closed: the front runs, or its process died")
	}
}
