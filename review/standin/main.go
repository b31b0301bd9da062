// Command standin plays the cases of the review: it starts the project's program as separate processes, takes the place of clients, stores
// and discovery on loopback, and judges what they saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// setup is what a case is given.
type setup struct {
	root, run, dir, keep string
	trouble              bool
	rec                  *record
}

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]func(*setup) int{}

func main() {
	runtime.LockOSThread() // the system ends the fronts with the thread that started them
	name := flag.String("case", "", "the case")
	root := flag.String("root", "", "the root of the repository")
	run := flag.String("run", "", "the run line of the deploy file")
	out := flag.String("record", "", "the file of the record")
	keep := flag.String("keep", "", "a folder that keeps the fronts' files and logs")
	flag.Parse()
	play := cases[*name]
	if play == nil || *root == "" || *run == "" || *out == "" {
		fmt.Fprintln(os.Stderr, "usage: standin -case NAME -root DIR -run LINE -record FILE")
		os.Exit(cannot)
	}
	os.Exit(func() (code int) {
		rec, err := newRecord(*out)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return cannot
		}
		defer rec.close()
		dir := *keep
		if dir == "" {
			if dir, err = os.MkdirTemp("", "review"); err != nil {
				return cannot
			}
			defer os.RemoveAll(dir)
		}
		absolute, err := filepath.Abs(*root)
		if err != nil {
			return cannot
		}
		s := &setup{root: absolute, run: *run, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
		defer func() {
			if p := recover(); p != nil {
				rec.say("the case could not run: %v", p)
				code = cannot
			}
		}()
		return play(s)
	}())
}
