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

// buildProgram builds the program once for all tests.
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

// process is the built program, as the platform starts it.
type process struct {
	t       *testing.T
	address string
	config  string
	cmd     *exec.Cmd
	log     *os.File // standard error
	ended   chan struct{}
}

// startProcess starts the program before a group of fake servers; discovery is the address of the endpoint list, deadline is
// that of all request types.
func startProcess(t *testing.T, g *fakeserver.Group, discovery string, deadline time.Duration, settings ...setting) *process {
	return startWithEndpoints(t, discovery, g.Listed(), append(settings, setting{"Deadline", deadline})...)
}

// startListed is startProcess with the group's own, fixed endpoint list.
func startListed(t *testing.T, g *fakeserver.Group, deadline time.Duration, settings ...setting) *process {
	list := g.List()
	t.Cleanup(list.Close)
	return startProcess(t, g, list.Listener.Addr().String(), deadline, settings...)
}

// startWithEndpoints starts the program with a cached endpoint list.
func startWithEndpoints(t *testing.T, discovery string, endpoints any, settings ...setting) *process {
	p := newProcess(t, discovery, endpoints, settings...)
	p.start()
	return p
}

// reserveAddress returns an address that a process of the test may listen on, again after a restart, and that no other test gets.
func reserveAddress(t testing.TB) string {
	r, err := testports.Reserve()
	require.NoError(t, err)
	t.Cleanup(r.Release)
	return r.Address
}

// runLine is how deploy/balancer.toml starts the program.
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

// spawn starts the program without waiting.
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

// terminate sends SIGTERM and returns how long the process took to end.
func (p *process) terminate() time.Duration {
	from := time.Now()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
	case <-time.After(20 * time.Second):
		require.Fail(p.t, "it does not end")
	}
	assert.Zero(p.t, p.cmd.ProcessState.ExitCode())
	return time.Since(from)
}

// busyClients send their next request as soon as they have an answer, and note the ids of requests that got none.
type busyClients struct {
	mu         sync.Mutex
	unanswered map[string]bool
	finished   int
}

// run is one of the clients, on new connections too, until the front no longer listens.
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

// newProcess writes the process's configuration, without starting it. It listens on an address that the test reserves.
func newProcess(t *testing.T, discovery string, endpoints any, settings ...setting) *process {
	p := &process{t: t, address: reserveAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
	text := configure(t, discovery, endpoints, append(settings, setting{"listen", p.address})...)
	require.NoError(t, os.WriteFile(p.config, text, 0o600))
	return p
}

// handlesSignal reports whether the process catches or ignores a signal, and is not ended by it.
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

// reload writes another address of discovery into the configuration and sends SIGHUP.
func (p *process) reload(from, to *endpointList) {
	text, err := os.ReadFile(p.config)
	require.NoError(p.t, err)
	text = []byte(strings.Replace(string(text), from.address(), to.address(), 1))
	require.NoError(p.t, os.WriteFile(p.config, text, 0o600))
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGHUP))
}

// readers are clients that read without a pause until the test ends.
func (p *process) readers(many int) {
	var clients sync.WaitGroup
	stop := make(chan struct{})
	p.t.Cleanup(func() { close(stop); clients.Wait() })
	for i := range many {
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

// limitDescriptors sets the process's limit of descriptors, as the platform does.
func (p *process) limitDescriptors(n uint64) {
	require.NoError(p.t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil))
}

// descriptors returns how many the process has open.
func (p *process) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	return len(open)
}

// connectIdleClients opens connections until the test ends and leaves each idle for a second, or until the front closes it if closes is
// set; every other one sends a request first. It returns once so many are connected.
func (p *process) connectIdleClients(many int64, closes bool) {
	const dialers = 4
	var came atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	p.t.Cleanup(func() { close(stop); clients.Wait() })
	for i := range dialers {
		clients.Go(func() {
			for n := i; ; n += dialers {
				select {
				case <-stop:
					return
				case <-time.After(dialers * 40 * time.Millisecond): // twenty-five a second
				}
				c, err := net.DialTimeout("tcp", p.address, time.Second)
				if err != nil {
					continue
				}
				came.Add(1)
				b := pgwire.AppendStartup(nil, "portal", "crm")
				if n%2 == 0 {
					b = pgwire.AppendQuery(b, readStatement(fmt.Sprintf("crowd%d", n), 900))
				}
				c.Write(b)
				clients.Go(func() {
					defer c.Close()
					var waste [1 << 10]byte
					c.SetReadDeadline(time.Now().Add(time.Second))
					for {
						if _, err := c.Read(waste[:]); err != nil {
							if !closes {
								time.Sleep(time.Second)
							}
							return
						}
					}
				})
			}
		})
	}
	require.Eventually(p.t, func() bool { return came.Load() >= many }, 20*time.Second, time.Millisecond)
}

// isServed reports whether the request of a new client succeeds.
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

// schedulingDelay measures how late this process itself runs, until the test ends: a fake server's times may be so much late.
func schedulingDelay(t *testing.T) *atomic.Int64 {
	var most atomic.Int64
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
			if late := int64(time.Since(before) - time.Millisecond); late > most.Load() {
				most.Store(late)
			}
		}
	}()
	return &most
}

// warmConnections has the front open connections to its servers, which are idle then, so that the next requests wait for none.
func (p *process) warmConnections(g *fakeserver.Group, many int) {
	each := g.Each
	g.Each = 30 * time.Millisecond
	var clients sync.WaitGroup
	for i := range many {
		clients.Go(func() { p.isServed(fmt.Sprint("warm", i)) })
	}
	clients.Wait()
	g.Each = each
}
