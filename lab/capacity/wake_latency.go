package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// wakeInterval is the time between two samples of wakeLatency.
const wakeInterval = 10 * time.Millisecond

// wakeLatency measures how much later than requested a sleeping goroutine wakes up. Other work on the machine delays every event of a
// run by about as much.
type wakeLatency struct {
	mu    sync.Mutex // guards times
	times *hdrhistogram.Histogram
}

// run takes samples until ctx is done. The caller calls swap first.
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

// swap returns the histogram of samples since the previous call, or nil at the first call, and starts a new histogram.
func (l *wakeLatency) swap() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.times
	l.times = newHistogram()
	return previous
}
