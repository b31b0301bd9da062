package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
)

// Guards against busy loops: the operators count a thread that neither waits nor ends for 20 s of real time as a crash. Before 0.4.0 one
// front was reported as such in a run of short days; the cause was never found. The test puts a front into each state in which an
// operation fails at once, or is due at once, again and again. A loop that does not wait would use a whole core.
func TestFrontDoesNotBusyLoopOnImmediateFailures(t *testing.T) {
	const (
		observed = 2 * time.Second
		maxCPU   = observed / 2 // half of one core
	)
	// sendPartialMessage connects and sends the beginning of a message, after a complete request if afterRequest is set.
	sendPartialMessage := func(t *testing.T, p *process, afterRequest bool) {
		t.Helper()
		c, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		b := pgwire.AppendStartup(nil, "portal", "crm")
		if afterRequest {
			b = pgwire.AppendQuery(b, readStatement("first"+c.LocalAddr().String(), 6000))
		}
		_, err = c.Write(append(b, 'Q', 0, 0, 1))
		require.NoError(t, err)
	}
	for name, inject := range map[string]func(t *testing.T, p *process, stop func()){
		"connections to servers are refused": func(t *testing.T, p *process, stop func()) {
			t.Helper()
			stop()
			for i := range 20 {
				require.NoError(t, dial(t, p.address).Send(readStatement(fmt.Sprint("refused", i), 6000)))
			}
		},
		"no file descriptor is left to accept connections": func(t *testing.T, p *process, _ func()) {
			t.Helper()
			p.limitDescriptors(uint64(p.descriptors()))
			for range 20 {
				c, err := net.Dial("tcp", p.address)
				require.NoError(t, err)
				t.Cleanup(func() { c.Close() })
			}
		},
		"part of a message has arrived": func(t *testing.T, p *process, _ func()) { t.Helper(); sendPartialMessage(t, p, false) },
		"part of a message has arrived after an unanswered request": func(t *testing.T, p *process, _ func()) {
			t.Helper()
			sendPartialMessage(t, p, true)
		},
		"the front shuts down with partial messages received": func(t *testing.T, p *process, _ func()) {
			t.Helper()
			sendPartialMessage(t, p, true)
			sendPartialMessage(t, p, false)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		},
		"requests time out between two ticks": func(t *testing.T, p *process, _ func()) {
			t.Helper()
			for i := range 30 {
				c := dial(t, p.address)
				go func() {
					for n := 0; ; n++ {
						time.Sleep(20 * time.Millisecond) // rejections are immediate: without a pause the clients themselves would cause the load
						if _, err := c.Query(readStatement(fmt.Sprint("short", i, "-", n), 150)); err != nil {
							return
						}
					}
				}()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 2)
			p := startWithStaticList(t, g, 8*time.Second)
			require.Eventually(t, func() bool { return p.isServed("before") }, 10*time.Second, 10*time.Millisecond)
			for _, m := range g.Servers {
				m.Hang(true)
			}
			inject(t, p, g.Close)
			from := p.cpuTime(t)
			time.Sleep(observed)
			used := p.cpuTime(t) - from
			t.Logf("%v of CPU time in %v", used, observed)
			assert.Less(t, used, maxCPU)
		})
	}
}

// cpuTime returns the CPU time that the process has used, in steps of a clock tick (10 ms).
func (p *process) cpuTime(t *testing.T) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	ticks := 0
	for _, field := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(field)
		require.NoError(t, err)
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}
