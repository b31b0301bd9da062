package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/testsupport/fakeserver"
)

// Processes: their starts, their signals, what they take.

// start starts a front's process; its log is kept.
func (r *Rig) start(f *Front) error {
	return r.launch(f, nil)
}

func (r *Rig) launch(f *Front, env []string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.Program, "serve")
	cmd.Env = append([]string{"EDGE_CONFIG=" + filepath.Join(f.dir, "config.json"), "TMPDIR=" + f.dir}, env...)
	if !r.Script.Off {
		cmd.Env = append(cmd.Env, "DAPPLEROUTER_FILE="+f.file())
	}
	cmd.Stderr, cmd.Stdout = log, log
	err = cmd.Start()
	log.Close()
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cmd, f.ended, f.stopped = cmd, make(chan struct{}), false
	f.lives = append(f.lives, life{from: time.Now()})
	go func(ended chan struct{}) {
		cmd.Wait()
		f.mu.Lock()
		f.lives[len(f.lives)-1].to = time.Now()
		f.mu.Unlock()
		close(ended)
	}(f.ended)
	return nil
}

// ready waits until every front serves a client and, in a fleet, hears it.
func (r *Rig) ready() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		bad := ""
		for _, f := range r.fronts {
			c, err := fakeserver.Dial(f.clients)
			if err != nil {
				bad = f.Name + " does not listen"
				break
			}
			a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=up%d,c=browse,d=2000,cluster=0 */", time.Now().UnixNano()))
			c.Close()
			if err != nil || a.Code != "" {
				bad = f.Name + " does not serve"
				break
			}
		}
		if bad == "" && !r.Script.Off {
			bad = r.whole()
		}
		if bad == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after 20 s %s; its log: %s", bad, filepath.Join(r.Dir, "n*", "log"))
		}
	}
}

// seen is what a front's control socket says.
type seen struct {
	Name, Halted string
	Leader       string `json:"gives"`
	Alone, Leans bool
	Index        uint64
	Fronts       []struct{ Name string }
	Leases       []struct {
		Lease  string `json:"duty"`
		Holder string
		Term   uint64
		Left   float64 `json:"left_s"`
	} `json:"duties"`
}

func (f *Front) seen() (s seen, err error) {
	err = adminapi.Call(f.socket(), "GET", "/v1/fleet", nil, &s)
	return s, err
}

func (f *Front) signal(s os.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd != nil && f.lives[len(f.lives)-1].to.IsZero() {
		f.cmd.Process.Signal(s)
	}
}

// memory is what the fronts hold of the machine, in KiB, sorted.
func (r *Rig) memory() (all []int) {
	for _, f := range r.fronts {
		f.mu.Lock()
		pid := f.cmd.Process.Pid
		f.mu.Unlock()
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		var size, resident int
		if err != nil {
			continue
		}
		if _, err := fmt.Sscan(string(b), &size, &resident); err == nil {
			all = append(all, resident*os.Getpagesize()>>10)
		}
	}
	slices.Sort(all)
	return all
}

// cpu is what the fronts' processes have used of processors since their starts, all threads. It means something only where
// none of them ended in between.
func (r *Rig) cpu() (sum time.Duration) {
	for _, f := range r.fronts {
		f.mu.Lock()
		pid := f.cmd.Process.Pid
		f.mu.Unlock()
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
		for _, t := range tasks {
			b, err := os.ReadFile(t)
			var ns int64
			if err == nil {
				fmt.Sscan(string(b), &ns)
			}
			sum += time.Duration(ns)
		}
	}
	return sum
}
