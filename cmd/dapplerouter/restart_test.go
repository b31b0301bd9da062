package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A server drains right behind a reload, and only the new discovery service reports it: the old one never does, and both number their
// changes alike. It counts as notified 4 s after SIGHUP.
func TestDrainRightAfterReloadIsHonoredInTime(t *testing.T) {
	t.Parallel()
	const told = 4 * time.Second
	g := startGroup(t, 4)
	g.Each = 2 * time.Millisecond
	old, next := startEndpointList(t, g), startEndpointList(t, g)
	draining := g.Members[3]
	p := startProcess(t, g, old.address(), 8*time.Second)
	require.Eventually(t, func() bool { return old.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
	p.readers(8)
	require.Eventually(t, func() bool { return len(draining.Seen()) > 0 }, 10*time.Second, time.Millisecond, "it has work")
	next.setUp(false) // the first call to it gets no answer
	p.reload(old, next)
	from := time.Now()
	next.setEndpoint(draining, "status", "draining")
	require.Eventually(t, func() bool { return next.calls.Load() > 0 }, told, time.Millisecond)
	old.setEndpoint(g.Members[0], "weight", 2.0) // the old one still reports other changes
	next.setUp(true)
	time.Sleep(told - time.Since(from))
	seen := draining.Seen()
	last := seen[len(seen)-1].At.Sub(from)
	time.Sleep(time.Second / 2)
	assert.Equal(t, len(seen), len(draining.Seen()), "something new goes there still")
	t.Logf("last asked %v after the signal; watches of the new service %d", last, next.watches.Load())
	assert.Less(t, last, told)
}

// STANDING.md: "discovery that is slow or crowded, and new configurations in quick succession". Each answer of the list's service takes
// longer to begin than the next SIGHUP takes to come; what it has counts as notified 4 s after the first that named it.
func TestDrainIsHonoredUnderRapidReloads(t *testing.T) {
	const (
		told  = 4 * time.Second
		slow  = 700 * time.Millisecond
		pause = 400 * time.Millisecond
		grace = 500 * time.Millisecond
	)
	for name, services := range map[string]int{"the same service": 1, "three services in turn": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 4)
			g.Each = 2 * time.Millisecond
			old := startEndpointList(t, g)
			draining := g.Members[3]
			var next []*endpointList
			for range services {
				next = append(next, startEndpointList(t, g))
				next[len(next)-1].responseDelay.Store(int64(slow))
				next[len(next)-1].setEndpoint(draining, "status", "draining")
			}
			p := startProcess(t, g, old.address(), 8*time.Second, setting{"StopSendingWithin", grace})
			require.Eventually(t, func() bool { return old.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
			p.readers(8)
			require.Eventually(t, func() bool { return len(draining.Seen()) > 0 }, 10*time.Second, time.Millisecond, "it has work")
			from, at := time.Now(), old
			for n := 0; time.Since(from) < told+time.Second; n++ {
				p.reload(at, next[n%services])
				at = next[n%services]
				time.Sleep(pause)
			}
			seen := draining.Seen()
			last := seen[len(seen)-1].At.Sub(from)
			t.Logf("last asked %v after the first signal", last)
			assert.Less(t, last, told+grace)
		})
	}
}

// A front that reloads and is stopped at once, and reloads again while it drains, loses nothing and exits with 0.
func TestReloadDuringShutdownLosesNoRequest(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	g.Each = 5 * time.Millisecond
	old, next := startEndpointList(t, g), startEndpointList(t, g)
	p := startProcess(t, g, old.address(), time.Second)
	u := &busyClients{unanswered: map[string]bool{}}
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() { u.run(p.address, fmt.Sprint("c", i)) })
	}
	require.Eventually(t, func() bool { u.mu.Lock(); defer u.mu.Unlock(); return u.finished > 200 }, 10*time.Second, time.Millisecond)
	p.reload(old, next)
	again := time.AfterFunc(200*time.Millisecond, func() { p.cmd.Process.Signal(syscall.SIGHUP) })
	defer again.Stop()
	took := p.terminate()
	clients.Wait()
	assert.Less(t, took, 1700*time.Millisecond, "the moment from which it may be ended by force")
	for _, m := range g.Members {
		for _, s := range m.Seen() {
			assert.False(t, u.unanswered[s.ID], "request %s was sent on and never answered", s.ID)
		}
	}
}

// Nine in ten restarted fronts have to be ready within 10 s, and to serve: here discovery is silent, a server of the cached list
// accepts connections and sends nothing, and clients connect all the time.
func TestRestartedFrontIsReadyInTime(t *testing.T) {
	t.Parallel()
	const restarts, ready = 10, 5 * time.Second
	g := startGroup(t, 3)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	p := startProcess(t, g, silent.Addr().String(), time.Second)
	g.Members[2].Hang(true)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop); clients.Wait() })
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
				}
				if c, err := net.Dial("tcp", p.address); err == nil {
					c.Close()
				}
			}
		})
	}
	var worst time.Duration
	for n := range restarts {
		if n%2 == 0 {
			require.NoError(t, p.cmd.Process.Kill())
			<-p.ended
		} else {
			p.terminate()
		}
		from := time.Now()
		p.start()
		worst = max(worst, time.Since(from))
		require.Eventually(t, func() bool { return p.isServed(fmt.Sprint("after", n)) }, ready, time.Millisecond, "it serves nobody")
	}
	t.Log("longest until ready", worst)
	assert.Less(t, worst, ready)
}

// A front whose servers all hung serves again once they are back.
func TestFrontRecoversWhenAllServersReturn(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	p := startListed(t, g, time.Second, setting{"Aim", 200 * time.Millisecond})
	p.readers(20)
	require.Eventually(t, func() bool { return len(g.Members[1].Seen()) > 0 }, 10*time.Second, time.Millisecond)
	for _, m := range g.Members {
		m.Hang(true)
	}
	require.Eventually(t, func() bool { return g.Swallowed.Load() > 3 }, 10*time.Second, time.Millisecond)
	time.Sleep(3 * time.Second) // the pauses between trials are at their longest
	for _, m := range g.Members {
		m.Hang(false)
	}
	back := time.Now()
	require.Eventually(t, func() bool { return p.isServed("back") }, 10*time.Second, time.Millisecond, "it serves nobody")
	t.Logf("served %v after their return", time.Since(back))
	assert.Less(t, time.Since(back), 5*time.Second)
}

// STANDING.md: what the agent has counts as told "from the first moment of a new process". The list that the front knew at its start
// is old: one server drains and one was removed since, and discovery is slow to answer.
func TestRestartedFrontHonorsDrainsDuringItsAbsence(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	g := startGroup(t, 5)
	g.Each = 2 * time.Millisecond
	l := startEndpointList(t, g)
	p := startProcess(t, g, l.address(), 8*time.Second, setting{"StopSendingWithin", grace})
	require.NoError(t, p.cmd.Process.Kill())
	<-p.ended
	l.setEndpoint(g.Members[3], "status", "draining")
	l.update(func() { // removed from the snapshot
		all := l.snapshot["endpoints"].([]any)
		l.snapshot["endpoints"] = all[:4]
		l.snapshot["index"] = l.snapshot["index"].(float64) + 1
	})
	l.responseDelay.Store(int64(600 * time.Millisecond))
	from := time.Now()
	p.start()
	p.readers(10)
	time.Sleep(3 * time.Second)
	assert.NotEmpty(t, g.Members[1].Seen())
	for _, m := range g.Members[3:] {
		for _, s := range m.Seen() {
			assert.Less(t, s.At.Sub(from), grace, "%s", m.Name)
		}
	}
}
