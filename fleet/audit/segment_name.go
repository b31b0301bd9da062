package audit

import (
	"fmt"
	"strings"
)

// Suffixes of a segment's two files.
const (
	LogSuffix   = ".audit" // the lines
	IndexSuffix = ".ids"   // the index of the request ids
)

// SegmentName returns the name of a segment's files without their suffixes. Names of a front sort in the order in which its segments were
// created.
func SegmentName(front string, number uint64) string { return fmt.Sprintf("%s.%08d", front, number) }

// ParseLogName parses the name of a segment's file of lines. ok is false for any other file.
func ParseLogName(name string) (front string, number uint64, ok bool) {
	base, found := strings.CutSuffix(name, LogSuffix)
	if !found {
		return "", 0, false
	}
	i := strings.LastIndexByte(base, '.')
	if i < 1 {
		return "", 0, false
	}
	_, err := fmt.Sscanf(base[i+1:], "%d", &number)
	return base[:i], number, err == nil
}
