package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fill has the list tell of so many servers in all; those beside the group's own get no request here.
func (l *list) fill(servers int) {
	l.update(func() {
		all := l.whole["endpoints"].([]any)
		for i := len(all); i < servers; i++ {
			all = append(all, map[string]any{"name": fmt.Sprintf("s-%08x", i*7919), "address": fmt.Sprintf("127.9.%d.%d:5432", i>>8, i&255),
				"zone": "a", "type": "m2", "group": 1 + i/5, "status": "up", "weight": 1.0, "since_ms": 0, "role": "replica"})
		}
		l.whole["endpoints"] = all
	})
}

// usage is what a front took over a run.
type frontUsage struct {
	cpu         time.Duration
	memory      int64 // bytes, at its peak
	descriptors int
	served      int
	listBytes   int64
}

// runWith has a front serve for a span with so many servers on its list, known and followed, while some of these change.
func runWith(t *testing.T, servers int, span time.Duration) (u frontUsage) {
	g := startGroup(t, 5)
	l := startList(t, g)
	l.fill(servers)
	whole, _, _ := l.now()
	p := startTold(t, l.address(), json.RawMessage(whole), `"memory_mb": 64`, `"memory_mb": 192`)
	var clients sync.WaitGroup
	var mu sync.Mutex
	until := time.Now().Add(span)
	for i := range 4 {
		c := dial(t, p.address)
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=c%d-%d,c=browse,d=900,cluster=0 */", i, n))
				if err == nil && a.Code == "" {
					mu.Lock()
					u.served++
					mu.Unlock()
				}
				time.Sleep(130 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(span / 10)
		u.descriptors = max(u.descriptors, p.descriptors())
		l.entry(g.Members[n%5], "weight", 1.0+float64(n))
	}
	clients.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	_, err = fmt.Sscan(peak, &u.memory)
	require.NoError(t, err)
	u.memory <<= 10
	u.listBytes = l.bytes.Load()
	p.term()
	used := p.cmd.ProcessState.SysUsage().(*syscall.Rusage)
	u.cpu = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return u
}

// STANDING.md: "fleets with up to sixteen times the stores (3,200 at most) [...] What a front needs in the mean may grow only so far
// over the same day at the usual size": 1.4 times the CPU seconds plus 0.02 and 0.03 for each thousand stores, 1.5 times the peak memory
// plus 8 MB and 4 MB for each thousand, twice the descriptors plus 40, twice the bytes of lists plus 64 KB and 500 KB for each
// thousand, and not under 0.85 of what is served.
func TestAListOfThousandsOfServersCostsNoMoreThanItMay(t *testing.T) {
	t.Parallel()
	const usual, large, span = 200, 3200, 20 * time.Second
	var before, after frontUsage
	var both sync.WaitGroup
	both.Go(func() { before = runWith(t, usual, span) })
	both.Go(func() { after = runWith(t, large, span) })
	both.Wait()
	t.Logf("%d servers: %+v; %d servers: %+v", usual, before, large, after)
	thousands := float64(large) / 1000
	assert.Less(t, after.cpu.Seconds(), 1.4*before.cpu.Seconds()+0.02+0.03*thousands, "CPU seconds")
	assert.Less(t, float64(after.memory), 1.5*float64(before.memory)+(8+4*thousands)*(1<<20), "peak memory")
	assert.Less(t, after.descriptors, 2*before.descriptors+40)
	assert.Less(t, float64(after.listBytes), 2*float64(before.listBytes)+64<<10+500_000*thousands, "bytes of lists")
	assert.GreaterOrEqual(t, float64(after.served), 0.85*float64(before.served))
}
