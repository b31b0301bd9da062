package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// front is a process of the project's program.
type front struct {
	name, listen, dir, run string
	args                   string // after the run line
	env                    []string
	cmd                    *exec.Cmd
	done                   chan struct{}
	root                   string
}

// site holds what the settings of a front are made of.
type site struct {
	zones  []string
	zone   string
	size   int
	order  int
	window time.Duration
}

// writeDeadline is the deadline of book-table. A case may change it before it makes a configuration.
var writeDeadline = 2 * time.Second

// freeAddress returns a loopback address with a free port, outside the range from which the system takes ports for outgoing connections.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(14000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic("no free port")
}

// withoutReport leaves the class report out of the configurations, which ktm-booking does not have.
var withoutReport bool

// configuration returns the file of a front, with settings like those of ktm-booking.
func configuration(name, listen string, d *discovery, s site) []byte {
	known := json.RawMessage(d.snapshot())
	class := func(name, effect, group string, aim, deadline, window int64, worth, late float64) map[string]any {
		return map[string]any{"Name": name, "Aim": aim * 1e6, "Deadline": deadline * 1e6, "Effect": effect, "Group": group, "Window": window, "Worth": worth, "LateWorth": late, "Stream": false}
	}
	settings := map[string]any{
		"Zones": s.zones, "Locality": s.zone, "FleetSize": s.size, "Ordinal": s.order, "Discovery": "push", "Tick": 5000000, "Family": "replicas",
		"Classes": []any{
			class("slot-browse", "read_like", "all", 250, 1000, 0, 1, 0),
			class("my-bookings", "read_like", "all", 200, 600, 0, 3, 0),
			class("book-table", "idempotency_key", "cell", 600, writeDeadline.Milliseconds(), int64(s.window), 6, 0.3),
			class("report", "read_like", "all", 1500, 3000, 0, 6, 0),
		},
		"FamilyInfo": map[string]any{"ReadLevel": []string{"lag_bound", "causal", "mutate", "eventual"}, "StalenessBound": []int64{3000000000, 0, 0, 0}, "RoleListed": "trailing",
			"Checks": "await", "HoldsFor": 50000000, "WriteMarks": "kept", "TellsPosition": true, "Synchronous": false},
		"Clients": map[string]any{"MarksRetry": true},
		"Rules": map[string]any{"AnswerSlack": 20000000, "StopSendingWithin": 2000000000, "Cold": int64(17000000000), "Fall": 2000000000, "FallMultiple": 2.5,
			"StartCapacity": 0.2, "AskEvery": int64(10000000000)},
		"Stats": map[string]any{"Source": "pull", "Fields": []string{"x0", "x1", "inflight"}},
		"Limits": map[string]any{"AttemptsCap": 10, "MayProbe": true, "Cancel": true, "DialTimeout": 250000000, "ConnIdle": int64(30000000000), "RetryAfter": true,
			"MaxRetryAfter": 1000000000, "MayDuplicate": false, "Peers": false},
	}
	if withoutReport {
		settings["Classes"] = settings["Classes"].([]any)[:3]
		levels := settings["FamilyInfo"].(map[string]any)
		levels["ReadLevel"], levels["StalenessBound"] = levels["ReadLevel"].([]string)[:3], levels["StalenessBound"].([]int64)[:3]
	}
	b, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": d.address(), "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
	if err != nil {
		panic(err)
	}
	return b
}

// newFront writes the files of a front. operator is the operator's file.
func newFront(root, runLine, args, base, name, listen string, config []byte, operator string) *front {
	f := &front{name: name, listen: listen, dir: filepath.Join(base, name), run: runLine, args: args, root: root}
	must(os.MkdirAll(f.dir, 0o700))
	must(os.WriteFile(filepath.Join(f.dir, "config.json"), config, 0o600))
	must(os.WriteFile(filepath.Join(f.dir, "operator.sexp"), []byte(operator), 0o600))
	must(os.MkdirAll(filepath.Join(f.dir, "tmp"), 0o700))
	return f
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the process by the run line of the deploy file.
func (f *front) start() error {
	log, err := os.OpenFile(filepath.Join(f.dir, "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.cmd = exec.Command("/bin/sh", "-c", f.run+f.args)
	f.cmd.Dir = f.root
	f.cmd.Env = append(os.Environ(), "EDGE_NAME="+f.name, "EDGE_LISTEN="+f.listen, "EDGE_CONFIG="+filepath.Join(f.dir, "config.json"),
		"DAPPLEROUTER_FILE="+filepath.Join(f.dir, "operator.sexp"), "TMPDIR="+filepath.Join(f.dir, "tmp"))
	f.cmd.Env = append(f.cmd.Env, f.env...)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(f.cmd, f.done)
	return nil
}

// ready waits until the front answers an empty query.
func (f *front) ready(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := dial(f.listen); err == nil {
			a := c.query("", time.Second)
			c.close()
			if a.status == "empty" {
				return nil
			}
		}
		select {
		case <-f.done:
			return errors.New(f.name + " ended at its start")
		default:
		}
	}
	return errors.New(f.name + " is not ready")
}

func (f *front) signal(s syscall.Signal) { _ = f.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (f *front) kill() {
	if f.cmd == nil {
		return
	}
	f.signal(syscall.SIGKILL)
	f.signal(syscall.SIGCONT)
	select {
	case <-f.done:
	case <-time.After(5 * time.Second):
	}
}

// program runs a command of the program and returns its output.
func (f *front) program(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.root, "bin", "dapplerouter"), args...)
	cmd.Dir = f.root
	out, err := cmd.CombinedOutput()
	return string(out), err
}
