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

// A server drains just after a reload, and only the new discovery service reports it. The old one does not, and the indexes of both lists
// are the same. The front counts as notified 4 s after SIGHUP.
func TestDrainRightAfterReloadIsHonoredInTime(t *testing.T) {
	t.Parallel()
	const notifiedAfter = 4 * time.Second
	g := startGroup(t, 4)
	g.MinDuration = 2 * time.Millisecond
	old, next := startEndpointList(t, g), startEndpointList(t, g)
	draining := g.Servers[3]
	p := startProcess(t, g, old.address(), 8*time.Second)
	require.Eventually(t, func() bool { return old.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
	p.startReaders(8)
	require.Eventually(t, func() bool { return len(draining.Statements()) > 0 }, 10*time.Second, time.Millisecond, "the server is idle")
	next.setUp(false) // the first call gets no response
	p.reload(old, next)
	from := time.Now()
	next.setEndpoint(draining, "status", "draining")
	require.Eventually(t, func() bool { return next.calls.Load() > 0 }, notifiedAfter, time.Millisecond)
	old.setEndpoint(g.Servers[0], "weight", 2.0) // the old one still reports other changes
	next.setUp(true)
	time.Sleep(notifiedAfter - time.Since(from))
	seen := draining.Statements()
	last := seen[len(seen)-1].At.Sub(from)
	time.Sleep(time.Second / 2)
	assert.Equal(t, len(seen), len(draining.Statements()), "the draining server still receives statements")
	t.Logf("last statement %v after the signal; %d watches of the new service", last, next.watches.Load())
	assert.Less(t, last, notifiedAfter)
}

// docs/terms-audit.md (Drains and the list): new configurations in a row, in quick succession; discovery that is slow or crowded. Here
// discovery answers each call later than the next SIGHUP arrives. The front counts as notified of the drain 4 s after the first SIGHUP
// that named the service.
func TestDrainIsHonoredUnderRapidReloads(t *testing.T) {
	const (
		notifiedAfter = 4 * time.Second
		slow          = 700 * time.Millisecond
		pause         = 400 * time.Millisecond
		grace         = 500 * time.Millisecond
	)
	for name, services := range map[string]int{"the same service": 1, "three services in turn": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 4)
			g.MinDuration = 2 * time.Millisecond
			old := startEndpointList(t, g)
			draining := g.Servers[3]
			var next []*endpointList
			for range services {
				next = append(next, startEndpointList(t, g))
				next[len(next)-1].responseDelay.Store(int64(slow))
				next[len(next)-1].setEndpoint(draining, "status", "draining")
			}
			p := startProcess(t, g, old.address(), 8*time.Second, setting{"StopSendingWithin", grace})
			require.Eventually(t, func() bool { return old.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
			p.startReaders(8)
			require.Eventually(t, func() bool { return len(draining.Statements()) > 0 }, 10*time.Second, time.Millisecond, "the server is idle")
			from, at := time.Now(), old
			for n := 0; time.Since(from) < notifiedAfter+time.Second; n++ {
				p.reload(at, next[n%services])
				at = next[n%services]
				time.Sleep(pause)
			}
			seen := draining.Statements()
			last := seen[len(seen)-1].At.Sub(from)
			t.Logf("last statement %v after the first signal", last)
			assert.Less(t, last, notifiedAfter+grace)
		})
	}
}

// A front that is stopped just after a reload, and reloads again while it drains, loses no request and exits with 0.
func TestReloadDuringShutdownLosesNoRequest(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	g.MinDuration = 5 * time.Millisecond
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
	duration := p.terminate()
	clients.Wait()
	assert.Less(t, duration, 1700*time.Millisecond, "SIGKILL may come from then on")
	for _, m := range g.Servers {
		for _, s := range m.Statements() {
			assert.False(t, u.unanswered[s.ID], "request %s was sent to a server and never answered", s.ID)
		}
	}
}

// Nine in ten restarted fronts have to be ready and to serve within 10 s. Here discovery is silent, a server of the cached list hangs, and
// clients connect continuously.
func TestRestartedFrontIsReadyInTime(t *testing.T) {
	t.Parallel()
	const restarts, ready = 10, 5 * time.Second
	g := startGroup(t, 3)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	p := startProcess(t, g, silent.Addr().String(), time.Second)
	g.Servers[2].Hang(true)
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
	var longest time.Duration
	for n := range restarts {
		if n%2 == 0 {
			require.NoError(t, p.cmd.Process.Kill())
			<-p.ended
		} else {
			p.terminate()
		}
		from := time.Now()
		p.start()
		longest = max(longest, time.Since(from))
		require.Eventually(t, func() bool { return p.isServed(fmt.Sprint("after", n)) }, ready, time.Millisecond, "the front serves no request")
	}
	t.Log("longest until ready", longest)
	assert.Less(t, longest, ready)
}

// A front whose servers all hung serves again once they answer.
func TestFrontRecoversWhenAllServersReturn(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	p := startWithStaticList(t, g, time.Second, setting{"Aim", 200 * time.Millisecond})
	p.startReaders(20)
	require.Eventually(t, func() bool { return len(g.Servers[1].Statements()) > 0 }, 10*time.Second, time.Millisecond)
	for _, m := range g.Servers {
		m.Hang(true)
	}
	require.Eventually(t, func() bool { return g.Unanswered.Load() > 3 }, 10*time.Second, time.Millisecond)
	time.Sleep(3 * time.Second) // until the pauses between attempts are at their longest
	for _, m := range g.Servers {
		m.Hang(false)
	}
	recovered := time.Now()
	require.Eventually(t, func() bool { return p.isServed("back") }, 10*time.Second, time.Millisecond, "the front serves no request")
	t.Logf("served %v after the servers recovered", time.Since(recovered))
	assert.Less(t, time.Since(recovered), 5*time.Second)
}

// docs/terms-audit.md (Drains and the list): what the agent has counts as told from the first moment of a new process. Here the cached
// endpoint list of a restarted front is outdated: since then one server drains and one was removed. Discovery answers slowly.
func TestRestartedFrontHonorsDrainsDuringItsAbsence(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	g := startGroup(t, 5)
	g.MinDuration = 2 * time.Millisecond
	l := startEndpointList(t, g)
	p := startProcess(t, g, l.address(), 8*time.Second, setting{"StopSendingWithin", grace})
	require.NoError(t, p.cmd.Process.Kill())
	<-p.ended
	l.setEndpoint(g.Servers[3], "status", "draining")
	l.update(func() { // removed from the snapshot
		all := l.snapshot["endpoints"].([]any)
		l.snapshot["endpoints"] = all[:4]
		l.snapshot["index"] = l.snapshot["index"].(float64) + 1
	})
	l.responseDelay.Store(int64(600 * time.Millisecond))
	from := time.Now()
	p.start()
	p.startReaders(10)
	time.Sleep(3 * time.Second)
	assert.NotEmpty(t, g.Servers[1].Statements())
	for _, m := range g.Servers[3:] {
		for _, s := range m.Statements() {
			assert.Less(t, s.At.Sub(from), grace, "%s", m.Name)
		}
	}
}
