// Command standin runs one case of the second review: it starts the project's program by the commands of the deploy file, plays clients,
// stores, discovery and the network on loopback addresses, and checks the rule that the case names. It is called from the repository's
// root with the name of the case and its folder. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// run is the state of a case.
type run struct {
	rec     *record
	dir     string // for temporary files
	trouble bool
	fronts  []*front
	broken  []string // how the rule was broken
}

// cases are the cases by name. An error means that the case could not run.
var cases = map[string]func(*run) error{}

// maxTime bounds a case.
const maxTime = 110 * time.Second

func main() { os.Exit(mainCode()) }

func mainCode() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin NAME FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stopFronts()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r) }()
	select {
	case err = <-done:
	case <-ended:
		err = errors.New("told to end")
	case <-time.After(maxTime):
		err = fmt.Errorf("not done after %v", maxTime)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, f := range r.fronts {
			log, _ := os.ReadFile(filepath.Join(f.dir, "log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), f.name+".log"), log, 0o600)
		}
	}
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return 2
	case len(r.broken) > 0:
		for _, b := range r.broken {
			r.say("broken: %s", b)
		}
		return 1
	}
	r.say("the rule held")
	return 0
}

// say writes a line to the record and to standard output.
func (r *run) say(format string, args ...any) {
	r.rec.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// stopFronts ends all processes.
func (r *run) stopFronts() {
	for _, f := range r.fronts {
		f.stop()
	}
}

// addFront makes a front that is ended with the case.
func (r *run) addFront(name, zone string, s site, ordinal int, discoveryAddress string, known list) (*front, error) {
	f, err := newFront(r.rec, r.dir, name, zone, s, ordinal, discoveryAddress, known)
	if err == nil {
		r.fronts = append(r.fronts, f)
	}
	return f, err
}
