package audit

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// LogSource provides the segments of logs. It identifies them by their names without a suffix.
type LogSource interface {
	Names() []string // sorted
	// Log returns the file with a segment's lines.
	Log(name string) ([]byte, error)
	// Index returns the file with a segment's index.
	Index(name string) ([]byte, error)
}

// Finding is a result of verification. It is a violation, or a note about something that the log itself reports as missing.
type Finding struct {
	Segment   string `json:"segment"`
	Line      int    `json:"line"` // within the segment, from 1; 0 if the finding is about the whole segment
	Violation bool   `json:"wrong"`
	Message   string `json:"what"`

	Unread bool `json:"-"` // the segment, or a part of it, was not read, so that other results lack what it holds
}

// UnreadSegment returns the finding that a segment, or a part of it, was not read.
func UnreadSegment(segment, message string) Finding {
	return Finding{Segment: segment, Violation: true, Message: message, Unread: true}
}

// String returns the finding as a line of text: place, kind and message.
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

// FrontLog is the log of one front, its lines in the order in which they were written.
type FrontLog struct {
	Front string
	Lines []LocatedLine
}

// LocatedLine is a line together with its segment and its number there.
type LocatedLine struct {
	Line
	Segment    string
	LineNumber int // in the segment, from 1
}

// ReadLogs reads and verifies the logs of all fronts, sorted by front. What can't be read, or is inconsistent, is among the findings.
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
		r.finish()
		findings = append(findings, r.findings...)
	}
	return logs, findings
}

// logReader reads one front's log, segment by segment, and verifies each line against those before it.
type logReader struct {
	log      *FrontLog
	findings []Finding

	segment string // name of the segment that is being read
	line    int    // number of the line in the segment, from 1; 0 for findings about the whole segment

	segments  segmentSequence
	chain     chainPosition
	process   processState
	intervals intervalSequence
}

func newLogReader(front string) *logReader {
	return &logReader{log: &FrontLog{Front: front}, process: processState{stopped: map[uint64]bool{}}}
}

// violation adds a violation at the line that is being read.
func (r *logReader) violation(format string, args ...any) {
	r.findings = append(r.findings, Finding{Segment: r.segment, Line: r.line, Violation: true, Message: fmt.Sprintf(format, args...)})
}

// note adds a note at the line that is being read.
func (r *logReader) note(format string, args ...any) {
	r.findings = append(r.findings, Finding{Segment: r.segment, Line: r.line, Message: fmt.Sprintf(format, args...)})
}

// readSegment reads and verifies the next segment.
func (r *logReader) readSegment(source LogSource, name string, number uint64) {
	r.segment, r.line = name, 0
	if r.segments.last == 0 && number > 1 {
		r.process.startMissing = true
	}
	position := r.segments.advance(r.log.Front, number)
	text, err := source.Log(name)
	if err != nil {
		r.findings = append(r.findings, UnreadSegment(name, fmt.Sprintf("the segment can't be read: %v", err)))
		return
	}
	index := segmentIndex{}
	index.data, index.err = source.Index(name)
	for len(text) > 0 {
		r.line++
		lineText, remaining, ended := bytes.Cut(text, []byte{'\n'})
		text = remaining
		var l Line
		if err := json.Unmarshal(lineText, &l); err != nil || !ended {
			r.violation("the line can't be read: it is truncated or not an audit line")
			continue
		}
		r.verifyChain(&l, position)
		position = inSameSegment
		if l.Front != r.log.Front {
			r.violation("the line belongs to front %s", l.Front)
			continue
		}
		if l.IndexOffset > 0 || l.Requests > 0 {
			r.verifyIndex(&l, &index)
		}
		p := LocatedLine{Line: l, Segment: name, LineNumber: r.line}
		r.verifyLine(&p)
		r.log.Lines = append(r.log.Lines, p)
	}
	if r.line == 0 {
		return // the segment is empty: the process ended right after it was created
	}
	if index.err == nil && int64(len(index.data)) > index.verified {
		r.line = 0
		r.note("the index has %d bytes to which no line refers", int64(len(index.data))-index.verified)
	}
}

// finish adds the findings that can only be made once the whole log was read.
func (r *logReader) finish() {
	for _, missing := range r.segments.missing {
		if missing.Segment > r.segments.removed {
			r.findings = append(r.findings, missing)
		}
	}
	if r.process.started != nil {
		r.line = 0
		r.note("the log is not closed: the front still runs, or its process crashed")
	}
}
