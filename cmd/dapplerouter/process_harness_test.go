package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dapplerouter/pgwire"
	"dapplerouter/testsupport/fakeserver"
	"dapplerouter/testsupport/testports"
)

// buildProgram builds the program once for all tests and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "dapplerouter")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "dapplerouter")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

// process is the built program in a process of its own, started as the platform starts it.
type process struct {
	t       *testing.T
	address string
	config  string // path of the configuration file
	cmd     *exec.Cmd
	log     *os.File // standard error
	ended   chan struct{}
}

// startProcess starts the program for a group of fake servers. discovery is the address of the discovery service. All request types have
// the same deadline.
func startProcess(t *testing.T, g *fakeserver.Group, discovery string, deadline time.Duration, settings ...setting) *process {
	return startWithEndpoints(t, discovery, g.EndpointSnapshot(), append(settings, setting{"Deadline", deadline})...)
}

// startWithStaticList is startProcess with a discovery service whose endpoint list never changes.
func startWithStaticList(t *testing.T, g *fakeserver.Group, deadline time.Duration, settings ...setting) *process {
	list := g.ServeEndpoints()
	t.Cleanup(list.Close)
	return startProcess(t, g, list.Listener.Addr().String(), deadline, settings...)
}

// startWithEndpoints starts the program with a cached endpoint list and waits until it accepts clients.
func startWithEndpoints(t *testing.T, discovery string, endpoints any, settings ...setting) *process {
	p := newProcess(t, discovery, endpoints, settings...)
	p.start()
	return p
}

// reserveAddress returns an address for a process of the test to listen on, also after a restart. No other test gets it until the test
// ends.
func reserveAddress(t testing.TB) string {
	r, err := testports.Reserve()
	require.NoError(t, err)
	t.Cleanup(r.Release)
	return r.Address
}

// runLine returns the command line with which deploy/balancer.toml starts the program.
func runLine(t *testing.T, program string) string {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	_, run, ok := strings.Cut(string(text), "\nrun = \"")
	require.True(t, ok)
	run, _, _ = strings.Cut(run, "\"")
	return strings.Replace(run, "bin/dapplerouter", program, 1)
}

// start starts the program and waits until it accepts clients.
func (p *process) start() {
	p.spawn()
	require.Eventually(p.t, func() bool {
		c, err := fakeserver.Dial(p.address)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, 10*time.Second, 5*time.Millisecond)
}

// logged returns what the program has logged.
func (p *process) logged() string {
	text, err := os.ReadFile(p.config + ".log")
	require.NoError(p.t, err)
	return string(text)
}

// spawn starts the program and does not wait. The process is killed when the test ends.
func (p *process) spawn() {
	program, err := buildProgram()
	require.NoError(p.t, err)
	p.cmd = exec.Command("/bin/sh", "-c", runLine(p.t, program))
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.config)
	if p.log == nil {
		p.log, err = os.Create(p.config + ".log")
		require.NoError(p.t, err)
	}
	p.cmd.Stderr = p.log
	require.NoError(p.t, p.cmd.Start())
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() { cmd.Wait(); close(ended) }()
	p.t.Cleanup(func() { cmd.Process.Kill(); <-ended })
}

// terminate sends SIGTERM and returns how long the process took to exit, which must be with code 0.
func (p *process) terminate() time.Duration {
	from := time.Now()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
	case <-time.After(20 * time.Second):
		require.Fail(p.t, "the process did not exit")
	}
	assert.Zero(p.t, p.cmd.ProcessState.ExitCode())
	return time.Since(from)
}

// busyClients are clients that send the next request as soon as the last one is answered. They record the ids of unanswered requests.
type busyClients struct {
	mu         sync.Mutex
	unanswered map[string]bool
	finished   int // requests, answered or not
}

// run runs one client, which reconnects when its connection is closed, until the front no longer accepts connections.
func (u *busyClients) run(address, name string) {
	for n := 0; ; {
		c, err := fakeserver.Dial(address)
		if err != nil {
			return
		}
		for ; ; n++ {
			id := fmt.Sprintf("%s-%d", name, n)
			_, err := c.Query(readStatement(id, 900))
			u.mu.Lock()
			u.finished++
			if err != nil {
				u.unanswered[id] = true
			}
			u.mu.Unlock()
			if err != nil {
				n++
				break
			}
		}
		c.Close()
	}
}

// newProcess writes the configuration of a process, which listens on a reserved address. It does not start the process.
func newProcess(t *testing.T, discovery string, endpoints any, settings ...setting) *process {
	p := &process{t: t, address: reserveAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
	text := configure(t, discovery, endpoints, append(settings, setting{"listen", p.address})...)
	require.NoError(t, os.WriteFile(p.config, text, 0o600))
	return p
}

// handlesSignal reports whether the process catches or ignores a signal, which then does not end it.
func (p *process) handlesSignal(signal syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	for _, name := range []string{"SigCgt:", "SigIgn:"} {
		_, mask, _ := strings.Cut(string(status), name)
		mask, _, _ = strings.Cut(strings.TrimSpace(mask), "\n")
		bits, err := strconv.ParseUint(mask, 16, 64)
		require.NoError(p.t, err)
		if bits&(1<<(signal-1)) != 0 {
			return true
		}
	}
	return false
}

// reload changes the address of discovery in the configuration and sends SIGHUP.
func (p *process) reload(from, to *endpointList) {
	text, err := os.ReadFile(p.config)
	require.NoError(p.t, err)
	text = []byte(strings.Replace(string(text), from.address(), to.address(), 1))
	require.NoError(p.t, os.WriteFile(p.config, text, 0o600))
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
}

// startReaders starts clients that send reads without a pause until the test ends.
func (p *process) startReaders(count int) {
	var clients sync.WaitGroup
	stop := make(chan struct{})
	p.t.Cleanup(func() { close(stop); clients.Wait() })
	for i := range count {
		c := dial(p.t, p.address)
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := c.Query(readStatement(fmt.Sprintf("r%d-%d", i, n), 900)); err != nil {
					return
				}
			}
		})
	}
}

// limitDescriptors sets the process's limit of open file descriptors, as the platform does.
func (p *process) limitDescriptors(n uint64) {
	require.NoError(p.t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil))
}

// descriptors returns the number of file descriptors that the process has open.
func (p *process) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	return len(open)
}

// connectIdleClients opens idle connections until the test ends, and returns when count have been opened. With closeWithFront, a client
// closes its connection when the front does, or after a second. Without, it closes the connection a second later. Every other connection
// sends a request first.
func (p *process) connectIdleClients(count int64, closeWithFront bool) {
	const dialers = 4
	var opened atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	p.t.Cleanup(func() { close(stop); clients.Wait() })
	for i := range dialers {
		clients.Go(func() {
			for n := i; ; n += dialers {
				select {
				case <-stop:
					return
				case <-time.After(dialers * 40 * time.Millisecond): // 25 connections a second in all
				}
				c, err := net.DialTimeout("tcp", p.address, time.Second)
				if err != nil {
					continue
				}
				opened.Add(1)
				b := pgwire.AppendStartup(nil, "portal", "crm")
				if n%2 == 0 {
					b = pgwire.AppendQuery(b, readStatement(fmt.Sprintf("crowd%d", n), 900))
				}
				c.Write(b)
				clients.Go(func() {
					defer c.Close()
					var discarded [1 << 10]byte
					c.SetReadDeadline(time.Now().Add(time.Second))
					for {
						if _, err := c.Read(discarded[:]); err != nil {
							if !closeWithFront {
								time.Sleep(time.Second)
							}
							return
						}
					}
				})
			}
		})
	}
	require.Eventually(p.t, func() bool { return opened.Load() >= count }, 20*time.Second, time.Millisecond)
}

// isServed reports whether a read of a new client succeeds.
func (p *process) isServed(id string) bool {
	c, err := fakeserver.Dial(p.address)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(readStatement(id, 900))
	return err == nil && a.Code == ""
}

// resident returns the process's resident memory, in KiB.
func (p *process) resident() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(p.t, err)
			return n
		}
	}
	p.t.Fatal("no VmRSS")
	return 0
}

// schedulingDelay measures the longest delay, in nanoseconds, with which goroutines of this process are scheduled, until the test ends. The
// times that fake servers record may be late by as much.
func schedulingDelay(t *testing.T) *atomic.Int64 {
	var longest atomic.Int64
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			before := time.Now()
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			if late := int64(time.Since(before) - time.Millisecond); late > longest.Load() {
				longest.Store(late)
			}
		}
	}()
	return &longest
}

// warmConnections sends concurrent requests, so that the front has idle connections to its servers and later requests don't wait for new
// ones.
func (p *process) warmConnections(g *fakeserver.Group, count int) {
	previous := g.MinDuration
	g.MinDuration = 30 * time.Millisecond
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() { p.isServed(fmt.Sprint("warm", i)) })
	}
	clients.Wait()
	g.MinDuration = previous
}
