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

// wallClockReading matches how Go code gets a time without its monotonic reading, which a step of the wall clock moves.
var wallClockReading = regexp.MustCompile(`time\.(Unix|UnixMilli|UnixMicro|Date|Parse|ParseInLocation)\(|\.(Unix|UnixMilli|UnixMicro|UnixNano)\(\)|\.Round\(0\)|\.UTC\(\)`)

// datesInService are the places where packages in service use the wall clock, and why a step there is harmless. A new one needs an entry.
var datesInService = map[string]string{
	"front/core.go: wall: wallClock{epoch: o.StartedAt.Round(0)}": "the guess that primaries' responses correct (front/wallclock.go)",
	"front/wallclock.go: time.UnixMilli(ms).Sub(w.epoch)":         "times that others report, against that guess",
	"front/attempts.go: at.UnixMilli()":                           "a position sent to another site's front; off in run",
	"tcpconn/tcpconn.go: var Past = time.Unix(1, 0)":              "a deadline that has passed by any clock",
}

// TERMS.md: "Deadlines, windows, waits and graces are spans of real time." No machine's clock is stepped here: in the packages of
// service a time without its monotonic reading is used only where the table says why.
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
				place := dateInService(dir+"/"+filepath.Base(file), line)
				assert.NotEmpty(t, place, fmt.Sprintf("%s:%d reads a date: %s", file, number+1, strings.TrimSpace(line)))
				found[place] = true
			}
		}
	}
	for place := range datesInService {
		assert.True(t, found[place], "no longer there: %s", place)
	}
}

// dateInService is the entry of the table that a line of a file stands under, "" for none.
func dateInService(file, line string) string {
	for place := range datesInService {
		where, code, _ := strings.Cut(place, ": ")
		if where == file && strings.Contains(line, code) {
			return place
		}
	}
	return ""
}
