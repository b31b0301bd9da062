package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests check with the built program that transient failures of system calls do no harm: docs/terms-audit.md (System calls that
// fail).

// A front that transiently can't listen, or can't read its configuration, starts when the failure is over.
func TestStartRetriesTransientSystemCallErrors(t *testing.T) {
	const failureDuration = 700 * time.Millisecond
	for name, fail := range map[string]func(p *process) (repair func()){
		"its address is taken": func(p *process) func() {
			l, err := net.Listen("tcp", p.address)
			require.NoError(p.t, err)
			return func() { l.Close() }
		},
		"its configuration cannot be opened": func(p *process) func() {
			require.NoError(p.t, os.Rename(p.config, p.config+".away"))
			return func() { os.Rename(p.config+".away", p.config) }
		},
		"its configuration is half written": func(p *process) func() {
			text, err := os.ReadFile(p.config)
			require.NoError(p.t, err)
			require.NoError(p.t, os.WriteFile(p.config, text[:len(text)/2], 0o600))
			return func() { os.WriteFile(p.config, text, 0o600) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 2)
			l := startEndpointList(t, g)
			p := newProcess(t, l.address(), g.EndpointSnapshot())
			_, err := buildProgram()
			require.NoError(t, err)
			repair := fail(p)
			p.spawn()
			time.AfterFunc(failureDuration, repair)
			require.Eventually(t, func() bool {
				select {
				case <-p.ended:
					return true
				default:
					return p.isServed("ready")
				}
			}, 10*time.Second, 5*time.Millisecond)
			select {
			case <-p.ended:
				assert.Fail(t, "the front exited instead of retrying")
			default:
			}
		})
	}
}

// A new configuration that can't be read for a moment after SIGHUP is loaded when it can. This must happen within 4 s after SIGHUP: from
// then on the front counts as notified of what the new discovery service reports.
func TestReloadRetriesWhileFileIsUnreadable(t *testing.T) {
	for name, unreadable := range map[string]func(p *process, text []byte){
		"missing":      func(p *process, _ []byte) { require.NoError(p.t, os.Remove(p.config)) },
		"half written": func(p *process, text []byte) { require.NoError(p.t, os.WriteFile(p.config, text[:len(text)/2], 0o600)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startGroup(t, 2)
			old, next := startEndpointList(t, g), startEndpointList(t, g)
			p := startProcess(t, g, old.address(), 8*time.Second)
			require.Eventually(t, func() bool { return old.watches.Load() > 0 }, 10*time.Second, time.Millisecond)
			text, err := os.ReadFile(p.config)
			require.NoError(t, err)
			text = []byte(strings.Replace(string(text), old.address(), next.address(), 1))
			unreadable(p, text)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
			time.Sleep(time.Second)
			require.NoError(t, os.WriteFile(p.config, text, 0o600))
			require.Eventually(t, func() bool { return next.watches.Load() > 0 }, 3*time.Second, time.Millisecond, "the front does not watch the new discovery service")
		})
	}
}

// SIGHUPs in quick succession from the first moment at which the process handles the signal: they must not end it, and it must serve.
func TestSignalsDuringStartDoNotEndFront(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	l := startEndpointList(t, g)
	for range 5 {
		p := newProcess(t, l.address(), g.EndpointSnapshot())
		p.spawn()
		for !p.handlesSignal(syscall.SIGHUP) {
			time.Sleep(50 * time.Microsecond)
		}
		for range 100 {
			p.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(200 * time.Microsecond)
		}
		select {
		case <-p.ended:
			require.Fail(t, "SIGHUP ended the process", p.cmd.ProcessState.String())
		default:
		}
		require.Eventually(t, func() bool { return p.isServed("ready") }, 10*time.Second, 5*time.Millisecond)
		p.terminate()
	}
}

// More SIGTERMs, SIGINTs and SIGHUPs during a graceful shutdown have no effect on it: all requests are answered.
func TestRepeatedSignalsDoNotShortenShutdown(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	g.MinDuration = 300 * time.Millisecond
	p := startWithStaticList(t, g, time.Second)
	answers := make(chan string, 8)
	for i := range cap(answers) {
		c := dial(t, p.address)
		go func() {
			a, err := c.Query(readStatement(fmt.Sprintf("s%d", i), 900))
			if err != nil {
				a.Code = err.Error()
			}
			answers <- a.Code
		}()
	}
	require.Eventually(t, func() bool { return len(g.Servers[0].Statements())+len(g.Servers[1].Statements()) > 1 }, 5*time.Second, time.Millisecond)
	for range 5 {
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
			require.NoError(t, p.cmd.Process.Signal(signal))
			time.Sleep(5 * time.Millisecond)
		}
	}
	for range cap(answers) {
		assert.Contains(t, []string{"", "53300", "57P03"}, <-answers)
	}
	<-p.ended
	assert.Zero(t, p.cmd.ProcessState.ExitCode())
}

// A front whose log can't be written, since the reader of the pipe is gone, serves on.
func TestFrontServesOnWhenLogReaderIsGone(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 2)
	l := startEndpointList(t, g)
	p := newProcess(t, l.address(), g.EndpointSnapshot())
	read, write, err := os.Pipe()
	require.NoError(t, err)
	p.log = write
	p.spawn()
	write.Close()
	require.Eventually(t, func() bool { return p.isServed("first") }, 10*time.Second, 5*time.Millisecond)
	read.Close()
	for n := range 5 {
		l.setEndpoint(g.Servers[1], "weight", float64(n+2)) // the change is logged
		time.Sleep(20 * time.Millisecond)
		assert.True(t, p.isServed(fmt.Sprint("later", n)))
	}
	p.terminate()
}
