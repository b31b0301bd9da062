package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Timeouts for child processes.
const (
	exitTimeout  = 3 * time.Second  // for a process to exit by itself before it is killed
	replyTimeout = 90 * time.Second // for a worker to reply; starting many simulated followers takes longest
)

// maxLogLine is the maximum length in bytes of a log line that is quoted in an error.
const maxLogLine = 300

// process is a child process of the supervisor. A worker also has pipes for requests and replies.
type process struct {
	name       string // a host of simulated followers is named with its fronts, as in "hollow-2 (n57 to n104)"
	cmd        *exec.Cmd
	logPath    string
	exited     chan struct{} // closed once the process has exited
	exitStatus string        // exit status; valid once exited is closed

	mu      sync.Mutex // guards in and replies, so that there is only one request at a time
	in      io.WriteCloser
	replies *json.Decoder
}

// processSpec describes a child process to be started.
type processSpec struct {
	name    string
	dir     string // directory for its log
	command []string
	env     []string // added to this process's environment
	worker  bool     // answers requests over its standard input and output
}

// startProcess starts a child process. The kernel kills the child when the thread that started it exits, so the caller must have locked
// its goroutine to its thread with runtime.LockOSThread.
func startProcess(c processSpec) (*process, error) {
	p := &process{name: c.name, exited: make(chan struct{}), logPath: filepath.Join(c.dir, "log")}
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.logPath, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor of the log
	p.cmd = exec.Command(c.command[0], c.command[1:]...)
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), c.env...), log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // own group: an interrupt reaches only the supervisor
	if c.worker {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if p.in, err = p.cmd.StdinPipe(); err != nil {
			return nil, err
		}
		p.replies = json.NewDecoder(out)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", c.name, err)
	}
	go p.reap()
	return p, nil
}

// reap waits until the process has exited and records its exit status.
func (p *process) reap() {
	defer close(p.exited)
	state, err := p.cmd.Process.Wait()
	if err != nil {
		p.exitStatus = err.Error()
		return
	}
	p.exitStatus = state.String()
}

// call sends a request to a worker and returns its reply. The error is a WorkerError if the worker could not carry out the request, a
// ProcessExitError if the process has exited, or ErrNoReply. After ErrNoReply the worker must not be called again, because its late
// reply would be mistaken for the reply to the next request.
func (p *process) call(q Request) (r Reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err = json.NewEncoder(p.in).Encode(q); err == nil {
		r, err = p.readReply()
	}
	if err != nil {
		select {
		case <-p.exited:
			return r, p.newExitError()
		case <-time.After(exitTimeout):
			return r, fmt.Errorf("%s: request %s: %w", p.name, q.Operation, err)
		}
	}
	if r.Error != "" {
		return r, &WorkerError{Worker: p.name, Message: r.Error}
	}
	return r, nil
}

// readReply reads the next reply. It returns ErrNoReply after replyTimeout.
func (p *process) readReply() (Reply, error) {
	type result struct {
		reply Reply
		err   error
	}
	received := make(chan result, 1)
	go func() {
		var r result
		r.err = p.replies.Decode(&r.reply)
		received <- r
	}()
	select {
	case r := <-received:
		return r.reply, r.err
	case <-time.After(replyTimeout):
		return Reply{}, fmt.Errorf("%w within %v", ErrNoReply, replyTimeout)
	}
}

// exitedError returns a ProcessExitError if the process has exited, and nil while it runs.
func (p *process) exitedError() error {
	select {
	case <-p.exited:
		return p.newExitError()
	default:
		return nil
	}
}

// newExitError returns a ProcessExitError for a process that has exited.
func (p *process) newExitError() error {
	return &ProcessExitError{Process: p.name, Exit: p.exitStatus, LastLog: lastLogLine(p.logPath)}
}

// lastLogLine returns the line of a log that most likely says why the process exited: the reason of a Go panic or fatal error, or
// otherwise the end of the last line. It returns "" if the log cannot be read.
func lastLogLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for _, l := range lines { // a Go program that panics writes the reason before the stack traces
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			return l
		}
	}
	last := lines[len(lines)-1]
	return last[max(0, len(last)-maxLogLine):]
}

// setPaused suspends the process with SIGSTOP or resumes it with SIGCONT.
func (p *process) setPaused(paused bool) error {
	sig := syscall.SIGCONT
	if paused {
		sig = syscall.SIGSTOP
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("%v to %s: %w", sig, p.name, err)
	}
	return nil
}

// terminate asks the process to exit. Errors are ignored: they mean that the process has already exited, and waitOrKill kills a
// process that remains.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a paused process cannot exit
	if p.in != nil {
		_ = p.in.Close()
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// waitOrKill waits until the process has exited, and kills it at the given time if it still runs.
func (p *process) waitOrKill(at time.Time) {
	select {
	case <-p.exited:
	case <-time.After(time.Until(at)):
		_ = p.cmd.Process.Kill() // fails only if the process has just exited
		<-p.exited
	}
}
