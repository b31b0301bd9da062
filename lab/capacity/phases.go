package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// arriveTime is how long a change of the endpoint list may take to every front.
const arriveTime = 30 * time.Second

// phases measures one after the other, and emits each one's records once it is over.
func (b *bench) phases(ctx context.Context) error {
	late := &lateness{}
	watched, end := context.WithCancel(ctx)
	defer end()
	late.take()
	go late.watch(watched)
	for _, phase := range []func(context.Context) ([]Record, error){b.atRest, b.entryChanges, b.wholeLists, b.configurations} {
		late.take()
		records, err := phase(ctx)
		if err != nil {
			return err
		}
		q := times(b.o.Size, records[0].Phase, "the machine wakes the supervisor late by", 0, late.take(), 0)
		q.Role = supervisor
		if err := b.emit(append(records, q)); err != nil {
			return err
		}
	}
	return nil
}

// emit keeps records and hands them on.
func (b *bench) emit(records []Record) error {
	for _, r := range records {
		r.Format = RecordFormat
		b.results.all = append(b.results.all, r)
		if b.o.Emit != nil {
			if err := b.o.Emit(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// measured runs something between two samples and gives what each role spent; a role that changed hands is partial.
func (b *bench) measured(ctx context.Context, run func(ctx context.Context) error) (by map[string]spent, partial map[string]string, err error) {
	was, err := b.look()
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
	is, err := b.look()
	if err != nil {
		return nil, nil, err
	}
	return spentBetween(before, after, is), moved(was, is), nil
}

// moved says which roles' figures are not whole, and why.
func moved(was, is roles) map[string]string {
	out := map[string]string{}
	if was.leader != is.leader {
		why := fmt.Sprintf("the leader was %s and is %s", was.leader, is.leader)
		out[VoterLeader], out[VoterFollower] = why, why
	}
	if was.endpoints != is.endpoints {
		out[EndpointsHolder] = fmt.Sprintf("the lease was %s's and is %s's", was.endpoints, is.endpoints)
	}
	if was.rollouts != is.rollouts {
		out[RolloutsHolder] = fmt.Sprintf("the lease was %s's and is %s's", was.rollouts, is.rollouts)
	}
	return out
}

func (b *bench) atRest(ctx context.Context) ([]Record, error) {
	b.o.Progress("at rest for %v", b.o.Duration)
	by, partial, err := b.measured(ctx, func(ctx context.Context) error {
		return b.wait(ctx, time.Now().Add(b.o.Duration))
	})
	if err != nil {
		return nil, err
	}
	return b.results.atRest(b.o.Size, by, partial), nil
}

func (b *bench) entryChanges(ctx context.Context) ([]Record, error) {
	return b.listChanges(ctx, EntryChange, doChange)
}

func (b *bench) wholeLists(ctx context.Context) ([]Record, error) {
	return b.listChanges(ctx, WholeList, doWhole)
}

// listChanges has discovery make changes at the rate, and takes when each came to every hollow front.
func (b *bench) listChanges(ctx context.Context, phase, do string) ([]Record, error) {
	n := b.o.changes()
	b.o.Progress("%s: %d changes in %v", phase, n, b.o.Duration)
	var made []Reply
	by, partial, err := b.measured(ctx, func(ctx context.Context) error {
		began := time.Now()
		for k := range n {
			if err := b.wait(ctx, began.Add(b.o.Duration*time.Duration(k)/time.Duration(n))); err != nil {
				return err
			}
			r, err := b.discovery.ask(Request{Do: do})
			if err != nil {
				return err
			}
			made = append(made, r)
		}
		return b.wait(ctx, began.Add(b.o.Duration))
	})
	if err != nil {
		return nil, err
	}
	h, missing, err := b.arrivals(ctx, made)
	if err != nil {
		return nil, err
	}
	return append(b.results.perChange(b.o.Size, phase, n, by, partial), times(b.o.Size, phase, "from discovery to a hollow front", n, h, missing)), nil
}

// arrivals waits until each of the changes came to every hollow front, and tells how long that took.
func (b *bench) arrivals(ctx context.Context, made []Reply) (h *hdrhistogram.Histogram, missing int, err error) {
	for until := time.Now().Add(arriveTime); ; {
		h, missing = newTimes(), 0
		for _, m := range made {
			at, err := b.arrived(Request{Do: doArrivals, Index: m.Index})
			if err != nil {
				return nil, 0, err
			}
			missing += take(h, m.At, at)
		}
		if missing == 0 || time.Now().After(until) {
			return h, missing, nil
		}
		if err := b.wait(ctx, time.Now().Add(pollEvery)); err != nil {
			return nil, 0, err
		}
	}
}

// arrived asks all hollow processes; 0 stands for a front to which it has not come.
func (b *bench) arrived(q Request) ([]int64, error) {
	parts := make([][]int64, len(b.hollow))
	err := each(b.hollow, func(i int, p *process) error {
		r, err := p.ask(q)
		parts[i] = r.Arrivals
		return err
	})
	var all []int64
	for _, p := range parts {
		all = append(all, p...)
	}
	return all, err
}

// take puts the times since a moment into a histogram, and counts those that are lacking.
func take(h *hdrhistogram.Histogram, from int64, at []int64) (missing int) {
	for _, t := range at {
		if t == 0 {
			missing++
			continue
		}
		h.RecordValue(max(1, min(t-from, mostTime)))
	}
	return missing
}
