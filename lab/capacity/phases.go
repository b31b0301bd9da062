package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// arrivalTimeout is the timeout for a change to reach every simulated follower.
const arrivalTimeout = 30 * time.Second

// measurePhases runs the phases one after the other, and emits the records of each phase at its end.
func (b *testbed) measurePhases(ctx context.Context) error {
	latency := &wakeLatency{}
	measuring, stop := context.WithCancel(ctx)
	var sampling sync.WaitGroup
	defer sampling.Wait()
	defer stop()
	latency.swap()
	sampling.Go(func() { latency.run(measuring) })
	for _, phase := range []func(context.Context) ([]Record, error){b.measureIdle, b.measureEntryChanges, b.measureSnapshots, b.measureConfigurations} {
		latency.swap()
		records, err := phase(ctx)
		if err != nil {
			return err
		}
		r := timeRecord(b.options.Size, records[0].Phase, timing{resource: "the machine wakes the supervisor late by", times: latency.swap()})
		r.Role = roleSupervisor
		if err := b.emit(append(records, r)); err != nil {
			return err
		}
	}
	return nil
}

// emit adds records to the results and passes them to Options.Emit.
func (b *testbed) emit(records []Record) error {
	for _, r := range records {
		r.Format = RecordFormat
		b.results.all = append(b.results.all, r)
		if b.options.Emit != nil {
			if err := b.options.Emit(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// measure takes a sample of the counters before and after it calls run, and returns each role's usage in between. The usage of a role
// that moved to another front in between is marked as partial.
func (b *testbed) measure(ctx context.Context, run func(ctx context.Context) error) (u phaseUsage, err error) {
	rolesBefore, err := b.pollRoles()
	if err != nil {
		return u, err
	}
	before, err := b.sample()
	if err != nil {
		return u, err
	}
	if err := run(ctx); err != nil {
		return u, err
	}
	after, err := b.sample()
	if err != nil {
		return u, err
	}
	rolesAfter, err := b.pollRoles()
	if err != nil {
		return u, err
	}
	return phaseUsage{byRole: usageBetween(before, after, rolesAfter), partial: roleChanges(rolesBefore, rolesAfter)}, nil
}

// measureIdle measures the fleet while nothing changes.
func (b *testbed) measureIdle(ctx context.Context) ([]Record, error) {
	b.options.Progress("idle for %v", b.options.Duration)
	usage, err := b.measure(ctx, func(ctx context.Context) error {
		return b.sleepUntil(ctx, time.Now().Add(b.options.Duration))
	})
	if err != nil {
		return nil, err
	}
	return b.results.idleRecords(b.options.Size, usage), nil
}

func (b *testbed) measureEntryChanges(ctx context.Context) ([]Record, error) {
	return b.measureListChanges(ctx, PhaseEntryChange, opEntryChange)
}

func (b *testbed) measureSnapshots(ctx context.Context) ([]Record, error) {
	return b.measureListChanges(ctx, PhaseSnapshot, opSnapshot)
}

// measureListChanges makes discovery change the endpoint list at the rate that the size specifies, and measures when each change
// reached every simulated follower.
func (b *testbed) measureListChanges(ctx context.Context, phase, operation string) ([]Record, error) {
	n := b.options.changes()
	b.options.Progress("%s: %d changes in %v", phase, n, b.options.Duration)
	var changes []Reply
	usage, err := b.measure(ctx, func(ctx context.Context) error {
		startedAt := time.Now()
		for k := range n {
			if err := b.sleepUntil(ctx, b.dueTime(startedAt, k)); err != nil {
				return err
			}
			r, err := b.discovery.call(Request{Operation: operation})
			if err != nil {
				return err
			}
			changes = append(changes, r)
		}
		return b.sleepUntil(ctx, startedAt.Add(b.options.Duration))
	})
	if err != nil {
		return nil, err
	}
	h, missing, err := b.waitForArrivals(ctx, changes)
	if err != nil {
		return nil, err
	}
	return append(b.results.changeRecords(b.options.Size, phase, n, usage),
		timeRecord(b.options.Size, phase, timing{resource: "from discovery to a hollow front", changes: n, times: h, missing: missing})), nil
}

// dueTime returns when change k of a phase is due. Changes are spread evenly over the duration of the phase.
func (b *testbed) dueTime(startedAt time.Time, k int) time.Time {
	return startedAt.Add(b.options.Duration * time.Duration(k) / time.Duration(b.options.changes()))
}

// waitForArrivals waits until each change has reached every simulated follower, for at most arrivalTimeout. It returns how long each
// arrival took, and how many arrivals are missing.
func (b *testbed) waitForArrivals(ctx context.Context, changes []Reply) (h *hdrhistogram.Histogram, missing int, err error) {
	for until := time.Now().Add(arrivalTimeout); ; {
		h, missing = newHistogram(), 0
		for _, c := range changes {
			arrivals, err := b.pollArrivals(c.Index)
			if err != nil {
				return nil, 0, err
			}
			missing += recordTimes(h, c.ChangedAt, arrivals)
		}
		if missing == 0 || time.Now().After(until) {
			return h, missing, nil
		}
		if err := b.sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
			return nil, 0, err
		}
	}
}

// pollArrivals returns when an endpoint list arrived at each simulated follower, in Unix microseconds; 0 means not yet.
func (b *testbed) pollArrivals(index int64) ([]int64, error) {
	byProcess := make([][]int64, len(b.simulated))
	err := parallel(b.simulated, func(i int, p *process) error {
		r, err := p.call(Request{Operation: opArrivals, Index: index})
		byProcess[i] = r.Arrivals
		return err
	})
	var all []int64
	for _, arrivals := range byProcess {
		all = append(all, arrivals...)
	}
	return all, err
}

// recordTimes adds the time from one moment to each arrival to a histogram. It returns the number of arrivals that are 0, which means
// not yet. The moments are Unix microseconds.
func recordTimes(h *hdrhistogram.Histogram, from int64, arrivals []int64) (missing int) {
	for _, at := range arrivals {
		if at == 0 {
			missing++
			continue
		}
		recordTime(h, max(1, min(at-from, maxTime)))
	}
	return missing
}
