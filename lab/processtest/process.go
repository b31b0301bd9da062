package processtest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet/agent"
	"dapplerouter/testsupport/fakeserver"
)

// Front is one front of the fleet under test. It has one directory for its files, and at most one running process: a restart
// replaces the process.
type Front struct {
	Name          string
	index         int
	clientAddress string
	meshAddress   string // where its mesh listens; the other fronts dial fault proxies that lead to this address
	dir           string
	voter         bool

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	exited  chan struct{} // closed once the process cmd has been waited for
	paused  bool
	uptimes []interval // lifetimes of its processes; the last one is open while a process runs
	pauses  []interval // times in which SIGSTOP suspended the process
}

// interval is a time span. A zero end means that it is still open.
type interval struct{ from, to time.Time }

func (i interval) ended() bool { return !i.to.IsZero() }

// start starts a front's process. The process's output is appended to the front's log file.
func (h *Harness) start(f *Front) error {
	return h.startWith(f, nil)
}

// startWith starts a front's process with additional environment variables.
func (h *Harness) startWith(f *Front, env []string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.Program, "serve")
	cmd.Env = append([]string{"EDGE_CONFIG=" + f.instanceConfigPath(), "TMPDIR=" + f.dir}, env...)
	if !h.Script.WithoutFleet {
		cmd.Env = append(cmd.Env, "DAPPLEROUTER_FILE="+f.operatorConfigPath())
	}
	cmd.Stderr, cmd.Stdout = log, log
	if err := errors.Join(cmd.Start(), log.Close()); err != nil {
		return fmt.Errorf("start %s: %w", f.Name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cmd, f.exited, f.paused = cmd, make(chan struct{}), false
	f.uptimes = append(f.uptimes, interval{from: time.Now()})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the error is expected: a signal from the script ends most processes
		f.mu.Lock()
		f.uptimes[len(f.uptimes)-1].to = time.Now()
		f.mu.Unlock()
		close(exited)
	}(f.exited)
	return nil
}

// isRunning reports whether the front's process is running and not paused.
func (f *Front) isRunning() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cmd != nil && !f.paused && !f.uptimes[len(f.uptimes)-1].ended()
}

// signal sends a signal to the front's process if one is running.
func (f *Front) signal(s os.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd != nil && !f.uptimes[len(f.uptimes)-1].ended() {
		_ = f.cmd.Process.Signal(s) // fails only if the process has just exited
	}
}

// pause suspends the front's process with SIGSTOP and records the start of the pause.
func (f *Front) pause() {
	f.signal(syscall.SIGSTOP)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused = true
	f.pauses = append(f.pauses, interval{from: time.Now()})
}

// resume records the end of the pause and continues the front's process with SIGCONT.
func (f *Front) resume() {
	f.mu.Lock()
	f.paused = false
	f.pauses[len(f.pauses)-1].to = time.Now()
	f.mu.Unlock()
	f.signal(syscall.SIGCONT)
}

// pid returns the process ID of the front's most recent process.
func (f *Front) pid() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cmd.Process.Pid
}

// readyTimeout is the timeout for a new fleet to become ready. It allows for a loaded machine.
const readyTimeout = 20 * time.Second

var errNotReady = errors.New("the fleet is not ready")

// waitUntilReady waits until every front answers a client's query and, unless the script runs without a fleet, the fleet's leases have
// settled. After the limit it returns errNotReady with a message that says what is missing.
func (h *Harness) waitUntilReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		missing := h.notServing()
		if missing == "" && !h.Script.WithoutFleet {
			missing = h.unsettledLeases()
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w after %v: %s; logs: %s", errNotReady, limit, missing, filepath.Join(h.Dir, "n*", "log"))
		}
	}
}

// notServing returns a message about a front that does not serve clients, or "" if all do.
func (h *Harness) notServing() string {
	for _, f := range h.fronts {
		c, err := fakeserver.Dial(f.clientAddress)
		if err != nil {
			return f.Name + " does not listen"
		}
		answer, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=up%d,c=browse,d=2000,cluster=0 */", time.Now().UnixNano()))
		c.Close()
		if err != nil || answer.Code != "" {
			return f.Name + " does not serve"
		}
	}
	return ""
}

// frontStatus holds the fields of the GET /v1/fleet response that the harness reads.
type frontStatus struct {
	Name, Halted string
	Leader       string `json:"gives"`
	Alone        bool   // the front has no leader
	Index        uint64 // log index of the replicated state that the front has applied
	Fronts       []struct{ Name string }
	Leases       []leaseStatus `json:"duties"`
}

// leaseStatus is one lease in a frontStatus.
type leaseStatus struct {
	Lease  string `json:"duty"`
	Holder string
	Term   uint64
	Left   float64 `json:"left_s"` // seconds until it expires
}

// status asks the front's admin API for its view of the fleet.
func (f *Front) status() (s frontStatus, err error) {
	err = adminapi.Call(f.controlSocket(), "GET", "/v1/fleet", nil, &s)
	return s, err
}

// rolloutStatus asks the front's admin API for the state of the rollout.
func (f *Front) rolloutStatus() (s agent.RolloutStatus, err error) {
	err = adminapi.Call(f.controlSocket(), "GET", "/v1/fleet/roll", nil, &s)
	return s, err
}

// residentMemory returns the resident memory of each front's process in KiB, in ascending order. Processes that have exited are left
// out.
func (h *Harness) residentMemory() (all []int) {
	for _, f := range h.fronts {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.pid()))
		if err != nil {
			continue
		}
		var size, resident int
		if _, err := fmt.Sscan(string(b), &size, &resident); err == nil {
			all = append(all, resident*os.Getpagesize()>>10)
		}
	}
	slices.Sort(all)
	return all
}

// cpuTime returns the CPU time that all threads of the fronts' processes have used since the processes started. The difference
// between two calls is valid only if no process exited in between.
func (h *Harness) cpuTime() (sum time.Duration) {
	for _, f := range h.fronts {
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", f.pid())) // the pattern is well-formed
		for _, t := range tasks {
			b, err := os.ReadFile(t)
			var ns int64
			if err != nil {
				continue // the thread has exited
			}
			if _, err := fmt.Sscan(string(b), &ns); err == nil {
				sum += time.Duration(ns)
			}
		}
	}
	return sum
}
