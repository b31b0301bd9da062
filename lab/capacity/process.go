package capacity

import (
	"encoding/json"
	"errors"
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
	replyTimeout = 90 * time.Second // for a worker's answer; a start of many hollow fronts is the longest
)

// process is a child of this one.
type process struct {
	name    string // with what it holds: "hollow-2 (n57 to n104)"
	cmd     *exec.Cmd
	logPath string
	ended   chan struct{} // closed once it has ended
	exitErr error         // of Wait, once ended

	mu      sync.Mutex // one question at a time
	in      io.WriteCloser
	replies *json.Decoder
}

// ProcessExitError is a process that ended before it was told to.
type ProcessExitError struct {
	Process string
	Exit    string
	Log     string // the end of what it wrote
}

func (d *ProcessExitError) Error() string {
	text := fmt.Sprintf("%s ended during the run (%s); its measurements are not counted", d.Process, d.Exit)
	if d.Log != "" {
		text += "; it wrote last: " + d.Log
	}
	return text
}

// startProcess starts a child; with pipes it is a worker that is asked by ask. The child ends with the thread that started it, so
// whoever calls is locked to its own (runtime.LockOSThread).
func startProcess(name, dir string, command, env []string, pipes bool) (*process, error) {
	p := &process{name: name, ended: make(chan struct{}), logPath: filepath.Join(dir, "log")}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.logPath, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), env...), log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // an interrupt at the terminal is the supervisor's to pass on
	if pipes {
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
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		state, err := p.cmd.Process.Wait()
		if err == nil && !state.Success() {
			err = errors.New(state.String())
		}
		p.exitErr = err
		close(p.ended)
	}()
	return p, nil
}

// call puts a question to a worker. The error is a Death where it has ended.
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
			return r, fmt.Errorf("%s does not answer: %w", p.name, err)
		}
	}
	if r.Error != "" {
		return r, fmt.Errorf("%s: %s", p.name, r.Error)
	}
	return r, nil
}

// readReply waits for a worker's; one that has not come in time is an error, and the worker is not to be asked again.
func (p *process) readReply() (Reply, error) {
	type answer struct {
		r   Reply
		err error
	}
	came := make(chan answer, 1)
	go func() {
		var a answer
		a.err = p.replies.Decode(&a.r)
		came <- a
	}()
	select {
	case a := <-came:
		return a.r, a.err
	case <-time.After(replyTimeout):
		return Reply{}, fmt.Errorf("nothing came in %v", replyTimeout)
	}
}

// exitedError is a Death where the process has ended.
func (p *process) exitedError() error {
	select {
	case <-p.ended:
		return p.newExitError()
	default:
		return nil
	}
}

func (p *process) newExitError() error {
	exit := "exit status 0"
	if p.exitErr != nil {
		exit = p.exitErr.Error()
	}
	return &ProcessExitError{Process: p.name, Exit: exit, Log: lastLine(p.logPath)}
}

// lastLine is the end of a log, for a message.
func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for _, l := range lines { // a Go program that breaks says why first
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			return l
		}
	}
	last := lines[len(lines)-1]
	return last[max(0, len(last)-300):]
}

// setPaused stops the process from running, or lets it go on.
func (p *process) setPaused(on bool) error {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	return p.cmd.Process.Signal(sig)
}

// terminate begins its end, end finishes it by force where it takes too long.
func (p *process) terminate() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	if p.in != nil {
		p.in.Close()
		return
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
}

func (p *process) waitOrKill(until time.Time) {
	select {
	case <-p.ended:
	case <-time.After(time.Until(until)):
		p.cmd.Process.Kill()
		<-p.ended
	}
}
