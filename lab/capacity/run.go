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

// Options configures a run.
type Options struct {
	Size
	Program     string                           // path of bin/dapplerouter
	Worker      func(kind string) []string       // returns the command line of a worker process, which calls Work
	Dir         string                           // directory for files, logs and sockets; the caller removes it
	Progress    func(format string, args ...any) // receives progress messages; may be nil
	Emit        func(Record) error               // receives each record at the end of its phase; may be nil
	onConverged func(*testbed)                   // for tests: called once, after the fleet has converged
}

// testbed is a running fleet. It owns every process of the fleet.
type testbed struct {
	options     Options
	settings    RunSettings
	networkLock net.Listener // reserves the loopback network, so that no other run uses its addresses
	real        []*process   // real fronts, by ordinal
	simulated   []*process   // worker processes that host simulated followers
	paused      *process     // the element of simulated that is paused during configuration changes; nil for none
	discovery   *process
	databases   *process
	startedAt   time.Time
	results     results
}

// Timeouts and the polling interval of a run.
const (
	convergeTimeout  = 90 * time.Second // for a fleet to converge, plus convergePerFront for each front
	convergePerFront = 500 * time.Millisecond
	transferTimeout  = 30 * time.Second       // for the transfer of a lease
	pollInterval     = 500 * time.Millisecond // between two polls of the processes
)

// configLeaseFactor is the duration of a configuration lease, in multiples of the lease duration.
const configLeaseFactor = 4

// Run starts a fleet, measures it, and ends it. It returns the records of all completed phases, even if it also returns an error. The
// error is a SizeError if the size is rejected before any process is started. Otherwise it is a ProcessExitError if a process exited
// unexpectedly, ErrNotConverged, ErrNotInForce, ErrNoReply, the cause of ctx, or an error of the setup.
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
	runtime.LockOSThread() // the kernel kills the children when the thread that started them exits
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

// parallel calls the function for every element concurrently, waits for all calls, and returns their errors joined.
func parallel[T any](all []T, call func(i int, x T) error) error {
	errs := make([]error, len(all))
	var done sync.WaitGroup
	for i, x := range all {
		done.Go(func() { errs[i] = call(i, x) })
	}
	done.Wait()
	return errors.Join(errs...)
}

// processes returns all child processes.
func (b *testbed) processes() []*process {
	return append(slices.Concat(b.real, b.simulated), b.servers()...)
}

// servers returns the processes of the fake servers that were started.
func (b *testbed) servers() (started []*process) {
	for _, p := range []*process{b.discovery, b.databases} {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

// exitErrors returns a ProcessExitError for each process that has exited, all joined, or nil if all processes run.
func (b *testbed) exitErrors() error {
	var errs []error
	for _, p := range b.processes() {
		errs = append(errs, p.exitedError())
	}
	return errors.Join(errs...)
}

// sleepUntil sleeps until a time. It returns early with the cause of ctx when ctx is done, or with a ProcessExitError when a process
// exits.
func (b *testbed) sleepUntil(ctx context.Context, until time.Time) error {
	for {
		if err := b.exitErrors(); err != nil {
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

// close ends every process by its process ID, the simulated followers first, and waits until all have exited.
func (b *testbed) close() {
	all := append(slices.Concat(b.simulated, b.real), b.servers()...)
	for _, p := range all {
		p.terminate()
	}
	until := time.Now().Add(exitTimeout)
	for _, p := range all {
		p.waitOrKill(until)
	}
	if b.networkLock != nil {
		_ = b.networkLock.Close() // no connection was ever accepted, and the run is over
	}
}
