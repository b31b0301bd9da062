package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latenessInterval is how often the supervisor looks how late it is woken.
const latenessInterval = 10 * time.Millisecond

// wakeLatency is how late the machine wakes a goroutine that sleeps: what other work on the machine does to every time of a run.
type wakeLatency struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

// run goes on until ctx ends; take comes before it.
func (l *wakeLatency) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(latenessInterval)
		time.Sleep(latenessInterval)
		late := max(1, time.Since(due).Microseconds())
		l.mu.Lock()
		l.times.RecordValue(min(late, maxTime))
		l.mu.Unlock()
	}
}

// swap gives the times since the last call.
func (l *wakeLatency) swap() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.times
	l.times = newTimes()
	return was
}
