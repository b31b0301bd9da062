package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// wallClockReading matches Go code that obtains a time without a monotonic reading. A step of the wall clock changes such a time.
var wallClockReading = regexp.MustCompile(`time\.(Unix|UnixMilli|UnixMicro|Date|Parse|ParseInLocation)\(|\.(Unix|UnixMilli|UnixMicro|UnixNano)\(\)|\.Round\(0\)|\.UTC\(\)`)

// allowedWallClockUses has an entry for each place at which the packages of a running front use the wall clock. A key is a file and a part
// of a line. A value is the reason why a step of the clock is harmless there.
var allowedWallClockUses = map[string]string{
	"front/core.go: wall: wallClock{epoch: o.StartedAt.Round(0)}": "an estimate that primaries' responses correct (front/wallclock.go)",
	"front/wallclock.go: time.UnixMilli(ms).Sub(w.epoch)":         "times reported by other processes, relative to that estimate",
	"monotonic/clock.go: now.Round(0).Sub(c.StartedAt.Round(0))":  "only shows that the clock was stepped; no time is measured by it",
	"front/attempts.go: at.UnixMilli()":                           "a position sent to another site's front; off in run",
	"tcpconn/tcpconn.go: var Past = time.Unix(1, 0)":              "a deadline in the past by any clock",
}

// docs/terms-audit.md (Time): deadlines, windows, waits and graces are spans of real time. The test steps no clock. It searches the
// source of the packages of a running front for times without a monotonic reading, and allows only those in the table.
func TestWallClockIsReadOnlyWhereAStepIsHarmless(t *testing.T) {
	found := map[string]bool{}
	for _, dir := range strings.Fields("adapter discovery front pgwire routing router deployment server upstream limits tcpconn monotonic") {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for number, line := range strings.Split(string(text), "\n") {
				if !wallClockReading.MatchString(line) {
					continue
				}
				place := allowedWallClockUse(dir+"/"+filepath.Base(file), line)
				assert.NotEmpty(t, place, fmt.Sprintf("%s:%d uses the wall clock: %s", file, number+1, strings.TrimSpace(line)))
				found[place] = true
			}
		}
	}
	for place := range allowedWallClockUses {
		assert.True(t, found[place], "the table has an entry without a use: %s", place)
	}
}

// allowedWallClockUse returns the key of the table's entry for a line of a file, "" for none.
func allowedWallClockUse(file, line string) string {
	for place := range allowedWallClockUses {
		placeFile, code, _ := strings.Cut(place, ": ")
		if placeFile == file && strings.Contains(line, code) {
			return place
		}
	}
	return ""
}
