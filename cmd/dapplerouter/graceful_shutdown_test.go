package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/testsupport/fakeserver"
)

// Guards against a shutdown that waits until clients are idle. Busy clients never are, so that the front would be killed and lose requests.
func TestGracefulShutdownLosesNoRequestOfBusyClients(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	g.MinDuration = 5 * time.Millisecond
	p := startWithStaticList(t, g, time.Second)
	u := &busyClients{unanswered: map[string]bool{}}
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() { u.run(p.address, fmt.Sprint("c", i)) })
	}
	require.Eventually(t, func() bool { u.mu.Lock(); defer u.mu.Unlock(); return u.finished > 200 }, 10*time.Second, time.Millisecond)
	duration := p.terminate()
	clients.Wait()
	assert.Less(t, duration, 1700*time.Millisecond, "SIGKILL may come from then on")
	for _, m := range g.Servers {
		for _, s := range m.Statements() {
			assert.False(t, u.unanswered[s.ID], "request %s was sent to a server and never answered", s.ID)
		}
	}
}

// A hung server keeps requests in flight until their deadline, which may be later than SIGKILL. The front must answer them before: the read
// with a rejection, the write with a rollback error.
func TestGracefulShutdownAnswersRequestsAtHungServer(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	front := startWithStaticList(t, g, 8*time.Second)
	g.Servers[0].Hang(true)
	codes := make(chan string, 2)
	for _, sql := range []string{readStatement("r", 8000), strings.Replace(unkeyedInsert("w", 0), "d=3000", "d=8000", 1)} {
		go func() {
			c, a, err := fakeserver.DialAndQuery(front.address, sql) // sent immediately, since the front closes a client that sends nothing for 2 s
			if err != nil {
				a.Code = err.Error()
			} else {
				defer c.Close()
			}
			codes <- a.Code
		}()
	}
	require.Eventually(t, func() bool { return g.Unanswered.Load() == 2 || len(codes) > 0 }, 20*time.Second, time.Millisecond)
	require.Empty(t, codes, "answered before the stop")
	duration := front.terminate()
	assert.ElementsMatch(t, []string{"53300", "40000"}, []string{<-codes, <-codes}, "want the read rejected, the write's outcome unknown")
	assert.Less(t, duration, 4300*time.Millisecond)
}

// Kills a front with requests in flight: clients see their connections closed, no write runs twice, and the restarted process serves.
func TestKillWithRequestsInFlightDuplicatesNoWrite(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	p := startWithStaticList(t, g, 8*time.Second)
	a, err := dial(t, p.address).Query(unkeyedInsert("before", 0))
	require.NoError(t, err)
	require.Empty(t, a.Code)
	g.Servers[0].Hang(true)
	ends := make(chan error, 10)
	for i := range 5 {
		for _, sql := range []string{"SELECT 'x' /* id=r%d,c=browse,d=8000,cluster=0 */", unkeyedInsert("w%d", 0)} {
			c := dial(t, p.address)
			go func() {
				_, err := c.Query(strings.ReplaceAll(sql, "%d", fmt.Sprint(i)))
				ends <- err
			}()
		}
	}
	require.Eventually(t, func() bool { return g.Unanswered.Load() >= 2 }, 10*time.Second, time.Millisecond, "requests reached the server")
	require.NoError(t, p.cmd.Process.Kill())
	<-p.ended
	for range 10 {
		require.Error(t, <-ends, "a client got a response from a killed front")
	}
	g.Servers[0].Hang(false)
	p.start()
	for _, sql := range []string{readStatement("after", 3000), unkeyedInsert("after-w", 0)} {
		a, err := dial(t, p.address).Query(sql)
		require.NoError(t, err)
		assert.Empty(t, a.Code, "%+v", a)
	}
	assert.Equal(t, []int{1, 1}, []int{g.ExecutionCount("before"), g.ExecutionCount("after-w")})
	for i := range 5 {
		assert.Zero(t, g.ExecutionCount(fmt.Sprint("w", i)), "a write that hung at the server was executed or retried")
	}
}

// A front that is restarted after SIGKILL accepts clients quickly and serves them, though discovery accepts connections but never answers.
func TestRestartAfterKillIsReadyWhileDiscoveryIsSilent(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { silent.Close() })
	p := startProcess(t, g, silent.Addr().String(), 8*time.Second)
	c := dial(t, p.address)
	a, err := c.Query(readStatement("1", 3000))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
	require.NoError(t, p.cmd.Process.Kill())
	<-p.ended
	start := time.Now()
	p.start()
	assert.Less(t, time.Since(start), 5*time.Second)
	a, err = dial(t, p.address).Query(readStatement("1", 3000))
	require.NoError(t, err)
	assert.Empty(t, a.Code, "%+v", a)
}
