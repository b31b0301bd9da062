package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// arrivalTimeout is how long a change may take to reach every simulated follower.
const arrivalTimeout = 30 * time.Second

// measurePhases measures one phase after the other, and emits each one's records once it is over.
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

// emit keeps records and passes them to the caller of Run.
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

// measure calls run between two samples, and returns what each role used. A role whose front changed is partial.
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

// measureListChanges has discovery make changes at the rate of the size, and measures when each reached every simulated follower.
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

// dueTime returns when the change k of a phase is due: changes are spread evenly over its duration.
func (b *testbed) dueTime(startedAt time.Time, k int) time.Time {
	return startedAt.Add(b.options.Duration * time.Duration(k) / time.Duration(b.options.changes()))
}

// waitForArrivals waits until each change reached every simulated follower, for arrivalTimeout at most, and returns how long each
// took and how many are missing.
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

// pollArrivals asks all simulated followers when an endpoint list arrived; 0 stands for not yet.
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

// recordTimes adds the times from a moment until arrivals, all in microseconds, and returns how many have not arrived.
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
