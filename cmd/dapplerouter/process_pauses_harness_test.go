package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runQueueSamplePeriod is the time between two samples of a process's run queue waits.
const runQueueSamplePeriod = 10 * time.Millisecond

// span is a time that lies between two moments. They are further apart than its length if it is not known when between them it was.
type span struct {
	since, until time.Time
	length       time.Duration
}

// within returns how much of the span may lie between two moments.
func (s span) within(from, to time.Time) time.Duration {
	begin, end := s.since, s.until
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, min(end.Sub(begin), s.length))
}

// longestWithin returns the longest part of a single span that may lie between two moments.
func longestWithin(spans []span, from, to time.Time) (longest time.Duration) {
	for _, x := range spans {
		longest = max(longest, x.within(from, to))
	}
	return longest
}

// pauses records when a front could not run although it had work to do: while a test had stopped it, and while one of its threads waited
// for a processor on a busy machine.
type pauses struct {
	mu    sync.Mutex
	stops []span
	waits []span
}

// samplePauses records the waits of a process's threads for a processor until the test ends.
func samplePauses(t *testing.T, pid int) *pauses {
	p := &pauses{}
	stop, stopped := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-stopped })
	go func() {
		defer close(stopped)
		sampled, totals := time.Now(), readRunQueueWaits(pid)
		for {
			select {
			case <-stop:
				return
			case <-time.After(runQueueSamplePeriod):
			}
			now, next := time.Now(), readRunQueueWaits(pid)
			p.addWaits(sampled, now, totals, next)
			sampled, totals = now, next
		}
	}()
	return p
}

// readRunQueueWaits returns the total time that each thread of a process has waited for a processor, by the path of its statistics. Linux
// adds a wait when it is over. Threads that have ended are left out.
func readRunQueueWaits(pid int) map[string]time.Duration {
	totals := map[string]time.Duration{}
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // fails only for a malformed pattern
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		fields := strings.Fields(string(data)) // time on a processor and on a run queue, both in nanoseconds; number of time slices
		if len(fields) < 2 {
			continue
		}
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			totals[path] = time.Duration(n)
		}
	}
	return totals
}

// addWaits records the waits that ended between two samples. A wait may have begun before the first of them.
func (p *pauses) addWaits(sampled, now time.Time, before, after map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for thread, total := range after {
		if length := total - before[thread]; length > 0 {
			p.waits = append(p.waits, span{sampled.Add(-length), now, length})
		}
	}
}

// addStop records that the process was stopped from a moment until now.
func (p *pauses) addStop(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.stops = append(p.stops, span{since, now, now.Sub(since)})
}

// longestWait returns the longest wait for a processor.
func (p *pauses) longestWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return longestWithin(p.waits, time.Time{}, time.Now())
}

// beyondAllowance returns by how much the front was paused between two moments for longer than it has to allow for (maxSuspension). It
// counts the longest stop and the longest wait for a processor, not the sum of several.
func (p *pauses) beyondAllowance(from, to time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, longestWithin(p.stops, from, to)+longestWithin(p.waits, from, to)-maxSuspension)
}

func TestPausesCountBeyondAllowanceAndWithinTheirMoments(t *testing.T) {
	start := time.Now().Add(-time.Second)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := &pauses{}
	p.addWaits(at(300), at(310), map[string]time.Duration{"a": time.Second, "b": 0}, map[string]time.Duration{"a": time.Second + 200*time.Millisecond, "b": 0})
	p.addWaits(at(500), at(510), nil, map[string]time.Duration{"a": 150 * time.Millisecond, "c": 140 * time.Millisecond})
	assert.Equal(t, 200*time.Millisecond, p.longestWait())
	assert.Equal(t, 50*time.Millisecond, p.beyondAllowance(at(0), at(600)), "the longest wait, not the sum")
	assert.Equal(t, 30*time.Millisecond, p.beyondAllowance(at(0), at(280)), "the wait began at 100 ms")
	assert.Zero(t, p.beyondAllowance(at(310), at(600)), "the front has to allow for 150 ms")
	assert.Zero(t, p.beyondAllowance(at(600), at(0)))
	p.stops = append(p.stops, span{at(400), at(440), 40 * time.Millisecond})
	assert.Equal(t, 40*time.Millisecond, p.beyondAllowance(at(310), at(600)), "a stop and a wait after it")
	assert.Equal(t, 90*time.Millisecond, p.beyondAllowance(at(0), at(600)))
}

func TestRunQueueWaitsAreReadFromTheSystem(t *testing.T) {
	waits := readRunQueueWaits(os.Getpid())
	require.NotEmpty(t, waits)
	total := time.Duration(0)
	for _, waited := range waits {
		total += waited
	}
	assert.Positive(t, total, "each thread waits for a moment whenever it is woken")
}
