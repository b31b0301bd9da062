package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// site describes the settings of a small deployment, with the figures of the first brief's bookings.
type site struct {
	zones  []string
	fronts int
}

// settings returns the settings of a front, with the names of the wire.
func (s site) settings(zone string, ordinal int) map[string]any {
	const ms = 1_000_000
	class := func(name string, aim, deadline int, effect, group string, window int, worth float64) map[string]any {
		return map[string]any{"Name": name, "Aim": aim * ms, "Deadline": deadline * ms, "Effect": effect, "Group": group, "Window": window * ms,
			"Worth": worth, "LateWorth": 0.0, "Stream": false}
	}
	return map[string]any{
		"Zones": s.zones, "Locality": zone, "FleetSize": s.fronts, "Ordinal": ordinal, "Discovery": "push", "Tick": 5 * ms,
		"Classes": []any{
			class("slot-browse", 250, 1000, "read_like", "all", 5000, 1),
			class("my-bookings", 200, 600, "read_like", "all", 5000, 3),
			class("book-table", 600, 2000, "idempotency_key", "cell", 2000, 6),
			class("pass-purchase", 600, 2000, "non_idempotent", "cell", 2000, 6),
		},
		"FamilyInfo": map[string]any{"ReadLevel": []string{"lag_bound", "causal", "mutate", "mutate"}, "StalenessBound": []int{3000 * ms, 0, 0, 0},
			"RoleListed": "trailing", "Checks": "await", "HoldsFor": 50 * ms, "WriteMarks": "kept", "TellsPosition": true},
		"Rules": map[string]any{"AnswerSlack": 20 * ms, "StopSendingWithin": 2000 * ms, "Cold": 17000 * ms, "Fall": 2000 * ms,
			"FallMultiple": 2.5, "StartCapacity": 0.2, "AskEvery": 10000 * ms},
		"Limits": map[string]any{"AttemptsCap": 10, "MayProbe": true, "Cancel": true, "DialTimeout": 250 * ms, "ConnIdle": 30000 * ms,
			"RetryAfter": true, "MaxRetryAfter": 1000 * ms, "MayDuplicate": false, "Peers": false},
		"Stats": map[string]any{"Fields": []string{"x0", "x1", "active"}, "Source": "pull"},
	}
}

// front is a process of the program.
type front struct {
	rec       *record
	name      string
	listen    string
	discovery string
	dir       string
	file      string // the operator's file, "" for none
	arguments string // behind the command of the deploy file
	cmd       *exec.Cmd
	exited    chan struct{}
}

// newFront reserves an address and writes the configuration of a front.
func newFront(rec *record, dir, name, zone string, s site, ordinal int, discoveryAddress string, known list) (*front, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	f := &front{rec: rec, name: name, listen: listen, discovery: discoveryAddress, dir: filepath.Join(dir, name)}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discoveryAddress, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512}, "known": known, "settings": s.settings(zone, ordinal)})
	if err != nil {
		return nil, err
	}
	return f, os.WriteFile(filepath.Join(f.dir, "config.json"), config, 0o600)
}

// setFile gives the front an operator's file.
func (f *front) setFile(text string) error {
	f.file = filepath.Join(f.dir, "operator.sexp")
	return os.WriteFile(f.file, []byte(text), 0o600)
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// runCommand returns the command run of the deploy file, which lies in the present folder.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		rest, ok := strings.CutPrefix(line, `run = "`)
		if !ok {
			continue
		}
		if end := strings.IndexByte(rest, '"'); end >= 0 {
			return rest[:end], nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run")
}

// start starts the process with the command of the deploy file and waits until it answers an empty query.
func (f *front) start() error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	f.cmd = exec.Command("/bin/sh", "-c", strings.TrimSpace(command+" "+f.arguments))
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.Env = append(os.Environ(), "EDGE_NAME="+f.name, "EDGE_LISTEN="+f.listen, "EDGE_DISCOVERY="+f.discovery,
		"EDGE_CONFIG="+filepath.Join(f.dir, "config.json"), "EDGE_LOG=debug")
	if f.file != "" && f.arguments == "" {
		f.cmd.Env = append(f.cmd.Env, "DAPPLEROUTER_FILE="+f.file)
	}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.rec.printf("front %s started, pid %d", f.name, f.cmd.Process.Pid)
	f.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		f.rec.printf("front %s ended: %v", f.name, err)
		close(exited)
	}(f.cmd, f.exited)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-f.exited:
			return fmt.Errorf("front %s ended at its start", f.name)
		default:
		}
		if c, err := dial(f.rec, f); err == nil {
			_ = c.conn.Close()
			return nil
		}
	}
	return fmt.Errorf("front %s is not ready", f.name)
}

// signal sends a signal to the process.
func (f *front) signal(s syscall.Signal) {
	f.rec.printf("front %s gets %v", f.name, s)
	_ = f.cmd.Process.Signal(s)
}

// stop ends the process if it runs.
func (f *front) stop() {
	if f.cmd == nil || f.cmd.Process == nil {
		return
	}
	select {
	case <-f.exited:
		return
	default:
	}
	_ = f.cmd.Process.Signal(syscall.SIGKILL)
	<-f.exited
}
