package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// lateEvery is how often the supervisor looks how late it is woken.
const lateEvery = 10 * time.Millisecond

// lateness is how late the machine wakes a goroutine that sleeps: what other work on the machine does to every time of a run.
type lateness struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

// watch goes on until ctx ends; take comes before it.
func (l *lateness) watch(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(lateEvery)
		time.Sleep(lateEvery)
		late := max(1, time.Since(due).Microseconds())
		l.mu.Lock()
		l.times.RecordValue(min(late, mostTime))
		l.mu.Unlock()
	}
}

// take gives the times since the last call.
func (l *lateness) take() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.times
	l.times = newTimes()
	return was
}
