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
	Program  string                           // bin/dapplerouter
	Worker   func(kind string) []string       // the command that calls Work
	Dir      string                           // for files, logs and sockets; the caller's to remove
	Progress func(format string, args ...any) // nil for nobody
	Emit     func(Record) error               // hears each record once its phase is over
	settled  func(*bench)                     // tests: called once the fleet has settled
}

// bench is a fleet that runs.
type bench struct {
	o         Options
	shared    Shared
	guard     net.Listener // holds the network's numbers against another run
	real      []*process   // by ordinal
	hollow    []*process
	cutOff    *process // the one of them that stands still during configuration changes; nil for none
	discovery *process
	databases *process
	began     time.Time
	results   results
}

// settleTime is how long a fleet may take to come up, beside settlePerFront.
const (
	settleTime     = 90 * time.Second
	settlePerFront = 500 * time.Millisecond
	transferTime   = 30 * time.Second
	pollEvery      = 500 * time.Millisecond
)

// rightSpans is how many lease durations a front's right to act on a configuration lasts.
const rightSpans = 4

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
	b := &bench{o: o, began: time.Now()}
	defer b.close()
	if err := b.start(ctx); err != nil {
		return b.results.all, err
	}
	if o.settled != nil {
		o.settled(b)
	}
	err = b.phases(ctx)
	return b.results.all, err
}

// each calls for all at once and joins what is wrong.
func each[T any](all []T, call func(i int, x T) error) error {
	errs := make([]error, len(all))
	var done sync.WaitGroup
	for i, x := range all {
		done.Go(func() { errs[i] = call(i, x) })
	}
	done.Wait()
	return errors.Join(errs...)
}

// processes are all children.
func (b *bench) processes() (all []*process) {
	all = slices.Concat(b.real, b.hollow)
	for _, p := range []*process{b.discovery, b.databases} {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// deaths names every process that ended by itself.
func (b *bench) deaths() error {
	var errs []error
	for _, p := range b.processes() {
		errs = append(errs, p.dead())
	}
	return errors.Join(errs...)
}

// wait sleeps; the error is an interrupt or a process that ended.
func (b *bench) wait(ctx context.Context, until time.Time) error {
	for {
		if err := b.deaths(); err != nil {
			return err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(min(left, pollEvery)):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// close ends every process by its id, the hollow ones first, and waits.
func (b *bench) close() {
	all := slices.Concat(b.hollow, b.real)
	for _, p := range []*process{b.discovery, b.databases} {
		if p != nil {
			all = append(all, p)
		}
	}
	for _, p := range all {
		p.askToEnd()
	}
	until := time.Now().Add(endGrace)
	for _, p := range all {
		p.end(until)
	}
	if b.guard != nil {
		b.guard.Close()
	}
}
