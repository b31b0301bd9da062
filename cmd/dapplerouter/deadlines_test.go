package main

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/testsupport/fakeserver"
)

// These tests check the time limits of the operators' requirements with the built program. docs/terms-audit.md lists the requirements,
// by section, each with its test.

const (
	deadlineSlack  = 150 * time.Millisecond // by which the deadline of an attempt may exceed the time that its client still waits
	departureSlack = 100 * time.Millisecond // within which an attempt may still start after its client has gone
	earliestKill   = 700 * time.Millisecond // SIGKILL may come this long after the longest deadline, counted from SIGTERM
)

var deadlineComment = regexp.MustCompile(`[ ,]d=(\d+)`)

// sentRequest records when a client sent a request and how long it waits for the response.
type sentRequest struct {
	at      time.Time
	timeout time.Duration
}

// excess returns by how much the deadline in a statement that a server received exceeds the time that its client still waits.
func (s sentRequest) excess(t *testing.T, seen fakeserver.Statement) time.Duration {
	match := deadlineComment.FindStringSubmatch(seen.SQL)
	require.NotNil(t, match, seen.SQL)
	ms, err := strconv.Atoi(match[1])
	require.NoError(t, err)
	return time.Duration(ms)*time.Millisecond - (s.timeout - seen.At.Sub(s.at))
}

// docs/terms-audit.md (Deadlines told): the deadline passed to a server is at most what the client has left, with 0.15 s of slack; this
// holds for retries and hedged requests too. Here the attempt waits for a slow connection: the deadline that it sends must not include
// the wait.
func TestAttemptDeadlineExcludesConnectTime(t *testing.T) {
	t.Parallel()
	const timeout = 3 * time.Second
	g := startGroup(t, 1)
	g.Servers[0].DelayGreeting(800 * time.Millisecond)
	p := startWithStaticList(t, g, 8*time.Second)
	late := schedulingDelay(t)
	requests := map[string]sentRequest{}
	var clients sync.WaitGroup
	for i := range 4 {
		c := dial(t, p.address)
		id := fmt.Sprint("slow", i)
		requests[id] = sentRequest{time.Now(), timeout}
		clients.Go(func() {
			c.Query(fmt.Sprintf("SELECT 'x' /* id=%s,c=browse,d=%d,cluster=0 */", id, timeout.Milliseconds()))
		})
	}
	clients.Wait()
	seen := g.Servers[0].Statements()
	require.NotEmpty(t, seen)
	for _, s := range seen {
		excess := requests[s.ID].excess(t, s)
		t.Logf("%s: the deadline exceeds the client's remaining time by %v", s.ID, excess)
		assert.Less(t, excess, deadlineSlack+time.Duration(late.Load()), s.ID)
	}
}

// docs/terms-audit.md (Clients that leave): an attempt that begins more than 0.1 s after the client has closed or cancelled is a lost
// request; there are no free cases. Here the front is suspended while clients connect, send and disconnect.
func TestNoAttemptForClientsGoneWhileFrontWasSuspended(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	p := startWithStaticList(t, g, 8*time.Second)
	late := schedulingDelay(t)
	query := func(id string) []byte {
		return pgwire.AppendQuery(nil, readStatement(id, 3000))
	}
	var left sync.Map // by request id: when the client disconnected
	disconnect := func(c net.Conn, id string) {
		left.Store(id, time.Now())
		c.Close()
	}
	var open []*fakeserver.Client
	for range 10 {
		open = append(open, dial(t, p.address))
	}
	p.warmConnections(g, 20)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	for i := range 20 {
		c, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		id := fmt.Sprint("new", i)
		_, err = c.Write(append(pgwire.AppendStartup(nil, "portal", "crm"), query(id)...))
		require.NoError(t, err)
		disconnect(c, id)
	}
	for i, c := range open {
		id := fmt.Sprint("open", i)
		require.NoError(t, c.Send(readStatement(id, 3000)))
		left.Store(id, time.Now())
		c.Close()
	}
	time.Sleep(maxSuspension)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool { return p.isServed("after") }, 5*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	for _, m := range g.Servers {
		for _, s := range m.Statements() {
			if at, ok := left.Load(s.ID); ok {
				assert.Less(t, s.At.Sub(at.(time.Time)), departureSlack+time.Duration(late.Load()), "%s was sent for a client that had disconnected", s.ID)
			}
		}
	}
}

// The same requirement for retries: attempts in flight fail while the front is suspended, and their clients disconnect meanwhile.
func TestNoRetryForClientsGoneWhileFrontWasSuspended(t *testing.T) {
	t.Parallel()
	const clientCount = 24
	g := startGroup(t, 3)
	p := startWithStaticList(t, g, 8*time.Second)
	late := schedulingDelay(t)
	for _, m := range g.Servers {
		m.Hang(true)
	}
	var clients []*fakeserver.Client
	for i := range clientCount {
		c := dial(t, p.address)
		require.NoError(t, c.Send(readStatement(fmt.Sprintf("f%d", i), 6000)))
		clients = append(clients, c)
	}
	require.Eventually(t, func() bool { return g.Unanswered.Load() > 3 }, 10*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	left := time.Now()
	for _, c := range clients {
		c.Close()
	}
	for _, m := range g.Servers {
		m.Hang(false) // closes its connections
	}
	time.Sleep(maxSuspension)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	if !assert.Eventually(t, func() bool { return p.isServed("after") }, 5*time.Second, time.Millisecond) {
		t.Fatalf("log of the front:\n%s", p.logged())
	}
	time.Sleep(200 * time.Millisecond)
	for _, m := range g.Servers {
		for _, s := range m.Statements() {
			if s.ID[0] == 'f' {
				assert.Less(t, s.At.Sub(left), departureSlack+time.Duration(late.Load()), "%s was sent for a client that had disconnected", s.ID)
			}
		}
	}
}

// docs/terms-audit.md (Stops and signals): SIGKILL comes no sooner than the longest deadline, counted as 3 s, and 0.7 s more; what
// SIGKILL finds unanswered is lost. The front must have answered all requests and exited before that, even if it is suspended for 0.15 s
// at any moment and its servers hang.
func TestSuspendedFrontShutsDownBeforeKill(t *testing.T) {
	for _, suspendAt := range []time.Duration{0, 500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(suspendAt.String(), func(t *testing.T) {
			t.Parallel()
			const deadline = time.Second
			g := startGroup(t, 2)
			p := startWithStaticList(t, g, deadline)
			p.startReaders(4)
			for _, m := range g.Servers {
				m.Hang(true)
			}
			from := time.Now()
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
			kill := time.AfterFunc(deadline+earliestKill, func() { p.cmd.Process.Kill() })
			defer kill.Stop()
			time.AfterFunc(suspendAt, func() {
				p.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(maxSuspension)
				p.cmd.Process.Signal(syscall.SIGCONT)
			})
			<-p.ended
			assert.Zero(t, p.cmd.ProcessState.ExitCode(), "the front had not exited before SIGKILL")
			t.Logf("ended %v after SIGTERM", time.Since(from))
		})
	}
}

// docs/terms-audit.md (Drains and the list): nothing is sent to a draining server later than the grace after its drain was told, counted
// at the server and also if the front was delayed. Here requests that were routed before the notice wait for a connection that is
// established only after the grace.
func TestLateConnectionToDrainingServerCarriesNoRequest(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	for name, state := range map[string]string{"draining": "draining", "removed": "removed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 2)
			l := startEndpointList(t, g)
			p := startProcess(t, g, l.address(), 8*time.Second, setting{"StopSendingWithin", grace})
			require.Eventually(t, func() bool { return l.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
			for _, m := range g.Servers {
				m.DelayGreeting(1800 * time.Millisecond)
			}
			answers := make(chan string, 8)
			for i := range cap(answers) {
				c := dial(t, p.address)
				go func() {
					a, err := c.Query(readStatement(fmt.Sprintf("late%d", i), 6000))
					if err != nil {
						a.Code = err.Error()
					}
					answers <- a.Code
				}()
			}
			time.Sleep(200 * time.Millisecond)
			g.Servers[0].DelayGreeting(0)
			notified := time.Now()
			l.setEndpoint(g.Servers[1], "status", state)
			for range cap(answers) { // the connection to the other server is slow too, so some requests are rejected
				assert.Contains(t, []string{"", "53300"}, <-answers)
			}
			time.Sleep(2 * time.Second)
			for _, s := range g.Servers[1].Statements() {
				assert.Less(t, s.At.Sub(notified), grace, "%s was sent to a server whose state is %s", s.ID, state)
			}
		})
	}
}
