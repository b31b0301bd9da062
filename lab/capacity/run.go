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

// Options say what a run starts and measures, and who receives its results.
type Options struct {
	Size
	Program     string                           // bin/dapplerouter
	Worker      func(kind string) []string       // returns the command that calls Work
	Dir         string                           // for files, logs and sockets; the caller removes it
	Progress    func(format string, args ...any) // may be nil
	Emit        func(Record) error               // receives each record once its phase is over; may be nil
	onConverged func(*testbed)                   // for tests: called once, after the fleet has converged
}

// testbed is a running fleet. It owns every process of it.
type testbed struct {
	options   Options
	settings  RunSettings
	guard     net.Listener // reserves the network's addresses against another run
	real      []*process   // by ordinal
	simulated []*process   // hosts of simulated followers
	paused    *process     // the one of them that is paused during configuration changes; nil for none
	discovery *process
	databases *process
	startedAt time.Time
	results   results
}

// How long a fleet may take to converge (convergePerFront is added for each front) and a lease to be transferred, and how often
// processes are polled.
const (
	convergeTimeout  = 90 * time.Second
	convergePerFront = 500 * time.Millisecond
	transferTimeout  = 30 * time.Second
	pollInterval     = 500 * time.Millisecond
)

// configLeaseFactor is the duration of a configuration lease in lease durations.
const configLeaseFactor = 4

// Run starts a fleet, measures it, and ends it. It returns the records of all phases that were over. The error is a SizeError
// before anything is started, a ProcessExitError where a process ended by itself, ErrNotConverged, ErrNotInForce, ErrNoReply, the
// cause of ctx, or what could not be set up.
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
	runtime.LockOSThread() // children end with the thread that started them
	defer runtime.UnlockOSThread()
	b := &testbed{options: o, startedAt: time.Now()}
	defer b.close()
	if err := b.start(ctx); err != nil {
		return b.results.all, err
	}
	if o.onConverged != nil {
		o.onConverged(b)
	}
	err = b.measurePhases(ctx)
	return b.results.all, err
}

// parallel calls for each element in a goroutine of its own, waits for all, and joins the errors.
func parallel[T any](all []T, call func(i int, x T) error) error {
	errs := make([]error, len(all))
	var done sync.WaitGroup
	for i, x := range all {
		done.Go(func() { errs[i] = call(i, x) })
	}
	done.Wait()
	return errors.Join(errs...)
}

// processes returns all children.
func (b *testbed) processes() []*process {
	return append(slices.Concat(b.real, b.simulated), b.servers()...)
}

// servers returns the fake servers that were started.
func (b *testbed) servers() (started []*process) {
	for _, p := range []*process{b.discovery, b.databases} {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

// exited returns a ProcessExitError for every process that ended by itself, joined.
func (b *testbed) exited() error {
	var errs []error
	for _, p := range b.processes() {
		errs = append(errs, p.exitedError())
	}
	return errors.Join(errs...)
}

// sleepUntil waits. The error is the cause of ctx, or a ProcessExitError.
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

// close ends every process by its id, the simulated followers first, and waits for it.
func (b *testbed) close() {
	all := append(slices.Concat(b.simulated, b.real), b.servers()...)
	for _, p := range all {
		p.terminate()
	}
	until := time.Now().Add(exitGrace)
	for _, p := range all {
		p.waitOrKill(until)
	}
	if b.guard != nil {
		_ = b.guard.Close() // nothing was ever accepted; the run is over
	}
}
