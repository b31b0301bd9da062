package main

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A repeated warning is logged once, then with a count per interval, then at its end. Different causes and names are different warnings.
// The table of warnings is bounded.
func TestRepeatedWarningIsLoggedOnceThenCounted(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	h := newRepeatedWarnings(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelInfo}))
	h.state.now = func() time.Time { return now }
	log := slog.New(h)
	lines := func() []string {
		all := strings.Split(strings.TrimSpace(out.String()), "\n")
		out.Reset()
		return all
	}
	for i := range 100 { // discovery is down: a warning each second, with a different port each time
		log.Warn("discovery: the watch ended", "err", fmt.Sprintf("dial tcp 127.0.0.1:%d: refused", 40000+i), "after", time.Duration(i))
		if i == 5 {
			log.Warn("discovery: the watch ended", "err", "discovery answered 503")
		}
		now = now.Add(time.Second)
	}
	got := lines()
	assert.Len(t, got, 5, strings.Join(got, "\n"))
	assert.NotContains(t, got[0], "repeats")
	assert.Contains(t, got[1], "503", "another cause is logged as another warning")
	assert.Contains(t, got[2], "repeats=30 for=30s")
	now = now.Add(40 * time.Second)
	log.Info("totals")
	log.Info("totals")
	got = lines()
	assert.Len(t, got, 3)
	assert.Contains(t, got[0], "ended_after=9 for=1m39s")
	log.Warn("discovery: the watch ended", "err", "dial tcp 127.0.0.1:1: refused")
	assert.NotContains(t, lines()[0], "repeats", "a warning that has ended starts a new count")
	for i := range 400 {
		log.Warn("unusual", "server", fmt.Sprint("s-", i))
	}
	assert.Equal(t, 400, len(lines()), "warnings with different names are all logged")
	assert.LessOrEqual(t, len(h.state.warnings), maxRepeatedWarnings)
}

// Warnings whose error texts differ only in numbers are logged as one.
func TestRepeatedErrorThatDiffersInNumbersIsOneLine(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(newRepeatedWarnings(slog.NewTextHandler(&out, nil)))
	for i := range 100 {
		log.Warn("endpoint watch ended", "err", fmt.Errorf("dial tcp 127.0.0.1:%d: connection refused", 40000+i))
	}
	log.Warn("endpoint watch ended", "err", io.EOF)
	assert.Equal(t, 2, strings.Count(out.String(), "\n"), out.String())
}
