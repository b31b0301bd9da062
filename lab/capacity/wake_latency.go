package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// wakeInterval is how often wakeLatency takes a sample.
const wakeInterval = 10 * time.Millisecond

// wakeLatency measures how late the machine wakes a goroutine that sleeps: other work on the machine delays every time of a run
// by as much.
type wakeLatency struct {
	mu    sync.Mutex // guards times
	times *hdrhistogram.Histogram
}

// run takes samples until ctx is done. Call swap before it.
func (l *wakeLatency) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(wakeInterval)
		time.Sleep(wakeInterval)
		late := max(1, time.Since(due).Microseconds())
		l.mu.Lock()
		recordTime(l.times, min(late, maxTime))
		l.mu.Unlock()
	}
}

// swap returns the times since the last call, nil for the first one.
func (l *wakeLatency) swap() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.times
	l.times = newHistogram()
	return previous
}
