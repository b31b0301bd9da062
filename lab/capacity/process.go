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

const (
	exitGrace    = 3 * time.Second  // for a process to end by itself before it is killed
	replyTimeout = 90 * time.Second // of a worker; the start of many simulated followers takes longest
)

// maxLogLine bounds a log line that is quoted in an error, in bytes.
const maxLogLine = 300

// process is a child of this one.
type process struct {
	name    string // with what it holds: "hollow-2 (n57 to n104)"
	cmd     *exec.Cmd
	logPath string
	ended   chan struct{} // closed once it has ended
	exit    string        // how it ended; valid once ended is closed

	mu      sync.Mutex // guards the pipes: one request at a time
	in      io.WriteCloser
	replies *json.Decoder
}

// child is what startProcess starts.
type child struct {
	name    string
	dir     string // for its log
	command []string
	env     []string // beside this process's own
	worker  bool     // it answers requests over its standard input and output
}

// startProcess starts a child. The child ends with the thread that started it, so the caller is locked to its own
// (runtime.LockOSThread).
func startProcess(c child) (*process, error) {
	p := &process{name: c.name, ended: make(chan struct{}), logPath: filepath.Join(c.dir, "log")}
	if err := os.MkdirAll(c.dir, 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.logPath, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child writes through a descriptor of its own
	p.cmd = exec.Command(c.command[0], c.command[1:]...)
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), c.env...), log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // an interrupt at the terminal is the supervisor's to pass on
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

// reap waits for the process to end.
func (p *process) reap() {
	defer close(p.ended)
	state, err := p.cmd.Process.Wait()
	if err != nil {
		p.exit = err.Error()
		return
	}
	p.exit = state.String()
}

// call sends a request to a worker and returns its reply. The error is a WorkerError, ErrNoReply, or a ProcessExitError where the
// process has ended. After ErrNoReply the worker must not be called again: its late reply would be taken for the next one.
func (p *process) call(q Request) (r Reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err = json.NewEncoder(p.in).Encode(q); err == nil {
		r, err = p.readReply()
	}
	if err != nil {
		select {
		case <-p.ended:
			return r, p.newExitError()
		case <-time.After(exitGrace):
			return r, fmt.Errorf("%s: request %s: %w", p.name, q.Operation, err)
		}
	}
	if r.Error != "" {
		return r, &WorkerError{Worker: p.name, Message: r.Error}
	}
	return r, nil
}

// readReply waits for a reply, for replyTimeout at most.
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

// exitedError returns a ProcessExitError where the process has ended, and nil while it runs.
func (p *process) exitedError() error {
	select {
	case <-p.ended:
		return p.newExitError()
	default:
		return nil
	}
}

func (p *process) newExitError() error {
	return &ProcessExitError{Process: p.name, Exit: p.exit, LastLog: lastLogLine(p.logPath)}
}

// lastLogLine returns the line of a log that says most likely why a process ended.
func lastLogLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for _, l := range lines { // a Go program that panics writes the reason before the stacks
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			return l
		}
	}
	last := lines[len(lines)-1]
	return last[max(0, len(last)-maxLogLine):]
}

// setPaused stops the process from running, or lets it go on.
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

// terminate asks the process to end. Errors are dropped: they mean that it has ended already, and waitOrKill sees to the rest.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a paused process cannot end
	if p.in != nil {
		_ = p.in.Close()
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// waitOrKill waits until the process has ended, and kills it at a time.
func (p *process) waitOrKill(at time.Time) {
	select {
	case <-p.ended:
	case <-time.After(time.Until(at)):
		_ = p.cmd.Process.Kill() // the error says that it has just ended
		<-p.ended
	}
}
