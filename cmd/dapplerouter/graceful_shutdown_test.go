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

// A front that waits for its clients to pause, which these never do, is killed and loses requests.
func TestGracefulShutdownLosesNoRequestOfBusyClients(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	g.Each = 5 * time.Millisecond
	p := startListed(t, g, time.Second)
	u := &busyClients{unanswered: map[string]bool{}}
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() { u.run(p.address, fmt.Sprint("c", i)) })
	}
	require.Eventually(t, func() bool { u.mu.Lock(); defer u.mu.Unlock(); return u.finished > 200 }, 10*time.Second, time.Millisecond)
	took := p.terminate()
	clients.Wait()
	assert.Less(t, took, 1700*time.Millisecond, "the moment from which it may be ended by force")
	for _, m := range g.Members {
		for _, s := range m.Seen() {
			assert.False(t, u.unanswered[s.ID], "request %s was sent on and never answered", s.ID)
		}
	}
}

// A hung server keeps a request in flight until its deadline, which may be longer than whoever stops the front waits.
func TestGracefulShutdownAnswersRequestsAtHungServer(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	front := startListed(t, g, 8*time.Second)
	g.Members[0].Hang(true)
	codes := make(chan string, 2)
	for _, sql := range []string{readStatement("r", 8000), strings.Replace(unkeyedInsert("w", 0), "d=3000", "d=8000", 1)} {
		go func() {
			c, a, err := fakeserver.DialAndQuery(front.address, sql) // at once: a client that sends nothing for 2 s is closed
			if err != nil {
				a.Code = err.Error()
			} else {
				defer c.Close()
			}
			codes <- a.Code
		}()
	}
	require.Eventually(t, func() bool { return g.Swallowed.Load() == 2 || len(codes) > 0 }, 20*time.Second, time.Millisecond)
	require.Empty(t, codes, "answered before the stop")
	took := front.terminate()
	assert.ElementsMatch(t, []string{"53300", "40000"}, []string{<-codes, <-codes}, "what can't have harmed may come again")
	assert.Less(t, took, 4300*time.Millisecond)
}

// A killed front takes its requests with it: clients see their connection closed, nothing is retried, and the next process serves.
func TestKillWithRequestsInFlightDuplicatesNoWrite(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	p := startListed(t, g, 8*time.Second)
	a, err := dial(t, p.address).Query(unkeyedInsert("before", 0))
	require.NoError(t, err)
	require.Empty(t, a.Code)
	g.Members[0].Hang(true)
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
	require.Eventually(t, func() bool { return g.Swallowed.Load() >= 2 }, 10*time.Second, time.Millisecond, "some are out, the others wait")
	require.NoError(t, p.cmd.Process.Kill())
	<-p.ended
	for range 10 {
		require.Error(t, <-ends, "nobody is told what is not so")
	}
	g.Members[0].Hang(false)
	p.start()
	for _, sql := range []string{readStatement("after", 3000), unkeyedInsert("after-w", 0)} {
		a, err := dial(t, p.address).Query(sql)
		require.NoError(t, err)
		assert.Empty(t, a.Code, "%+v", a)
	}
	assert.Equal(t, []int{1, 1}, []int{g.Succeeded("before"), g.Succeeded("after-w")})
	for i := range 5 {
		assert.Zero(t, g.Succeeded(fmt.Sprint("w", i)), "a silent member has it or nobody, and it is not sent again")
	}
}

// A front is ready at once though discovery is silent.
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
	from := time.Now()
	p.start()
	assert.Less(t, time.Since(from), 5*time.Second)
	a, err = dial(t, p.address).Query(readStatement("1", 3000))
	require.NoError(t, err)
	assert.Empty(t, a.Code, "%+v", a)
}
