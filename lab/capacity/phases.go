package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// arrivalTimeout is how long a change of the endpoint list may take to every front.
const arrivalTimeout = 30 * time.Second

// phases measures one after the other, and emits each one's records once it is over.
func (b *testbed) phases(ctx context.Context) error {
	late := &wakeLatency{}
	watched, end := context.WithCancel(ctx)
	defer end()
	late.swap()
	go late.run(watched)
	for _, phase := range []func(context.Context) ([]Record, error){b.measureIdle, b.measureEntryChanges, b.measureSnapshots, b.measureConfigurations} {
		late.swap()
		records, err := phase(ctx)
		if err != nil {
			return err
		}
		q := timeRecord(b.options.Size, records[0].Phase, "the machine wakes the supervisor late by", 0, late.swap(), 0)
		q.Role = roleSupervisor
		if err := b.emit(append(records, q)); err != nil {
			return err
		}
	}
	return nil
}

// emit keeps records and hands them on.
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

// measure runs something between two samples and gives what each role spent; a role that changed hands is partial.
func (b *testbed) measure(ctx context.Context, run func(ctx context.Context) error) (by map[string]roleUsage, partial map[string]string, err error) {
	was, err := b.pollRoles()
	if err != nil {
		return nil, nil, err
	}
	before, err := b.sample()
	if err != nil {
		return nil, nil, err
	}
	if err := run(ctx); err != nil {
		return nil, nil, err
	}
	after, err := b.sample()
	if err != nil {
		return nil, nil, err
	}
	is, err := b.pollRoles()
	if err != nil {
		return nil, nil, err
	}
	return usageBetween(before, after, is), roleChanges(was, is), nil
}

// roleChanges says which roles' figures are not whole, and why.
func roleChanges(was, is roles) map[string]string {
	out := map[string]string{}
	if was.leader != is.leader {
		why := fmt.Sprintf("the leader was %s and is %s", was.leader, is.leader)
		out[RoleLeader], out[RoleVoter] = why, why
	}
	if was.endpoints != is.endpoints {
		out[RoleEndpointsLeaseholder] = fmt.Sprintf("the lease was %s's and is %s's", was.endpoints, is.endpoints)
	}
	if was.rollouts != is.rollouts {
		out[RoleRolloutsLeaseholder] = fmt.Sprintf("the lease was %s's and is %s's", was.rollouts, is.rollouts)
	}
	return out
}

func (b *testbed) measureIdle(ctx context.Context) ([]Record, error) {
	b.options.Progress("at rest for %v", b.options.Duration)
	by, partial, err := b.measure(ctx, func(ctx context.Context) error {
		return b.sleepUntil(ctx, time.Now().Add(b.options.Duration))
	})
	if err != nil {
		return nil, err
	}
	return b.results.idleRecords(b.options.Size, by, partial), nil
}

func (b *testbed) measureEntryChanges(ctx context.Context) ([]Record, error) {
	return b.measureListChanges(ctx, PhaseEntryChange, opEntryChange)
}

func (b *testbed) measureSnapshots(ctx context.Context) ([]Record, error) {
	return b.measureListChanges(ctx, PhaseSnapshot, opSnapshot)
}

// measureListChanges has discovery make changes at the rate, and takes when each came to every hollow front.
func (b *testbed) measureListChanges(ctx context.Context, phase, do string) ([]Record, error) {
	n := b.options.changes()
	b.options.Progress("%s: %d changes in %v", phase, n, b.options.Duration)
	var made []Reply
	by, partial, err := b.measure(ctx, func(ctx context.Context) error {
		began := time.Now()
		for k := range n {
			if err := b.sleepUntil(ctx, began.Add(b.options.Duration*time.Duration(k)/time.Duration(n))); err != nil {
				return err
			}
			r, err := b.discovery.call(Request{Operation: do})
			if err != nil {
				return err
			}
			made = append(made, r)
		}
		return b.sleepUntil(ctx, began.Add(b.options.Duration))
	})
	if err != nil {
		return nil, err
	}
	h, missing, err := b.waitForArrivals(ctx, made)
	if err != nil {
		return nil, err
	}
	return append(b.results.changeRecords(b.options.Size, phase, n, by, partial), timeRecord(b.options.Size, phase, "from discovery to a hollow front", n, h, missing)), nil
}

// waitForArrivals waits until each of the changes came to every hollow front, and tells how long that took.
func (b *testbed) waitForArrivals(ctx context.Context, made []Reply) (h *hdrhistogram.Histogram, missing int, err error) {
	for until := time.Now().Add(arrivalTimeout); ; {
		h, missing = newTimes(), 0
		for _, m := range made {
			at, err := b.pollArrivals(Request{Operation: opArrivals, Index: m.Index})
			if err != nil {
				return nil, 0, err
			}
			missing += recordTimes(h, m.ChangedAt, at)
		}
		if missing == 0 || time.Now().After(until) {
			return h, missing, nil
		}
		if err := b.sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
			return nil, 0, err
		}
	}
}

// pollArrivals asks all hollow processes; 0 stands for a front to which it has not come.
func (b *testbed) pollArrivals(q Request) ([]int64, error) {
	parts := make([][]int64, len(b.simulated))
	err := forEach(b.simulated, func(i int, p *process) error {
		r, err := p.call(q)
		parts[i] = r.Arrivals
		return err
	})
	var all []int64
	for _, p := range parts {
		all = append(all, p...)
	}
	return all, err
}

// recordTimes puts the times since a moment into a histogram, and counts those that are lacking.
func recordTimes(h *hdrhistogram.Histogram, from int64, at []int64) (missing int) {
	for _, t := range at {
		if t == 0 {
			missing++
			continue
		}
		h.RecordValue(max(1, min(t-from, maxTime)))
	}
	return missing
}
