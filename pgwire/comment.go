package pgwire

import (
	"bytes"
	"strconv"
	"time"
)

// maxTimeout is the longest timeout that a comment may set. It keeps sums of durations from overflowing.
const maxTimeout = 24 * time.Hour

// parseComment parses the fields of the comment at text[start:end]. The fields id, d and cluster are required, and so is
// c, the request type, if requireType is set.
func (s *Statement) parseComment(start, end int, requireType bool) error {
	var found commentFields
	for at := start; at < end; {
		next := end
		if n := bytes.IndexByte(s.text[at:end], ','); n >= 0 {
			next = at + n
		}
		if err := s.parseField(at, next, &found); err != nil {
			return err
		}
		at = next + 1
	}
	switch {
	case len(s.ID) == 0:
		return statementErrorf(CodeInvalidParameterValue, "the comment lacks id")
	case !found.timeout:
		return statementErrorf(CodeInvalidParameterValue, "the comment lacks d")
	case !found.group:
		return statementErrorf(CodeInvalidParameterValue, "the comment lacks cluster")
	case requireType && len(s.RequestType) == 0:
		return statementErrorf(CodeInvalidParameterValue, "the comment lacks c")
	}
	return nil
}

// commentFields records which of the required fields a comment has. The other required fields must not be empty, so their
// values show whether they are present.
type commentFields struct{ timeout, group bool }

// parseField parses the name=value pair at text[start:end] and stores the value in the statement. It ignores unknown names.
// In found it marks a timeout or a group, since their values don't show whether they were given.
func (s *Statement) parseField(start, end int, found *commentFields) (err error) {
	name, value, _ := bytes.Cut(s.text[start:end], []byte{'='})
	valueStart := start + len(name) + 1
	value = bytes.TrimSpace(value)
	switch string(bytes.TrimSpace(name)) {
	case "id":
		s.ID = value
	case "c":
		s.RequestType = value
	case "t":
		s.Customer = value
	case "s":
		if s.Normalized != nil {
			s.Key = value
		}
	case "r":
		s.Retry = string(value) == "1"
	case "cluster":
		if s.Group, err = strconv.ParseInt(string(value), 10, 64); err != nil {
			return statementErrorf(CodeInvalidParameterValue, "cluster is no number: %.40q", value)
		}
		found.group = true
	case "after":
		if s.LastWritePosition, err = strconv.ParseInt(string(value), 10, 64); err != nil {
			return statementErrorf(CodeInvalidParameterValue, "after is no number: %.40q", value)
		}
	case "d":
		ms, err := strconv.ParseUint(string(value), 10, 32)
		if s.Timeout = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || s.Timeout > maxTimeout {
			return statementErrorf(CodeInvalidParameterValue, "d is no span in milliseconds: %.40q", value)
		}
		s.timeoutStart = valueStart + bytes.Index(s.text[valueStart:end], value)
		s.timeoutEnd = s.timeoutStart + len(value)
		found.timeout = true
	}
	return nil
}
