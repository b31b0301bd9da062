package capacity

import (
	"context"
	"errors"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Options are what a run is made of.
type Options struct {
	Size
	Program     string                           // bin/dapplerouter
	Worker      func(kind string) []string       // the command that calls Work
	Dir         string                           // for files, logs and sockets; the caller's to remove
	Progress    func(format string, args ...any) // nil for nobody
	Emit        func(Record) error               // hears each record once its phase is over
	onConverged func(*testbed)                   // tests: called once the fleet has settled
}

// testbed is a fleet that runs.
type testbed struct {
	options   Options
	settings  RunSettings
	guard     net.Listener // holds the network's numbers against another run
	real      []*process   // by ordinal
	simulated []*process
	paused    *process // the one of them that stands still during configuration changes; nil for none
	discovery *process
	databases *process
	startedAt time.Time
	results   results
}

// convergeTimeout is how long a fleet may take to come up, beside settlePerFront.
const (
	convergeTimeout  = 90 * time.Second
	convergePerFront = 500 * time.Millisecond
	transferTimeout  = 30 * time.Second
	pollInterval     = 500 * time.Millisecond
)

// configLeaseFactor is how many lease durations a front's right to act on a configuration lasts.
const configLeaseFactor = 4

// Run starts the fleet, measures it, and ends it. The error is a Refusal before anything is started, a Death where a process
// ended by itself, or what could not be set up; records of phases that were over before stand.
func Run(ctx context.Context, o Options) (all []Record, err error) {
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	if err := o.Check(machine); err != nil {
		return nil, err
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	b := &testbed{options: o, startedAt: time.Now()}
	defer b.close()
	if err := b.start(ctx); err != nil {
		return b.results.all, err
	}
	if o.onConverged != nil {
		o.onConverged(b)
	}
	err = b.phases(ctx)
	return b.results.all, err
}

// forEach calls for all at once and joins what is wrong.
func forEach[T any](all []T, call func(i int, x T) error) error {
	errs := make([]error, len(all))
	var done sync.WaitGroup
	for i, x := range all {
		done.Go(func() { errs[i] = call(i, x) })
	}
	done.Wait()
	return errors.Join(errs...)
}

// processes are all children.
func (b *testbed) processes() (all []*process) {
	all = slices.Concat(b.real, b.simulated)
	for _, p := range []*process{b.discovery, b.databases} {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// exited names every process that ended by itself.
func (b *testbed) exited() error {
	var errs []error
	for _, p := range b.processes() {
		errs = append(errs, p.exitedError())
	}
	return errors.Join(errs...)
}

// sleepUntil sleeps; the error is an interrupt or a process that ended.
func (b *testbed) sleepUntil(ctx context.Context, until time.Time) error {
	for {
		if err := b.exited(); err != nil {
			return err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(min(left, pollInterval)):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// close ends every process by its id, the hollow ones first, and waits.
func (b *testbed) close() {
	all := slices.Concat(b.simulated, b.real)
	for _, p := range []*process{b.discovery, b.databases} {
		if p != nil {
			all = append(all, p)
		}
	}
	for _, p := range all {
		p.terminate()
	}
	until := time.Now().Add(exitGrace)
	for _, p := range all {
		p.waitOrKill(until)
	}
	if b.guard != nil {
		b.guard.Close()
	}
}
