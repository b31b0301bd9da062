package capacity

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet/agent"
)

func (b *bench) seen(i int) (s agent.Status, err error) {
	err = adminapi.Call(b.shared.socket(i), "GET", "/v1/fleet", nil, &s)
	return s, err
}

// settle waits until every front knows the fleet and the endpoint list, and all leases are held.
func (b *bench) settle(ctx context.Context) error {
	began := time.Now()
	most := settleTime + time.Duration(b.o.Fronts)*settlePerFront
	for last := ""; ; {
		lacks := b.lacks()
		if lacks == "" {
			b.o.Progress("the fleet has settled after %v", time.Since(began).Round(time.Second))
			return nil
		}
		if lacks != last {
			b.o.Progress("waiting: %s", lacks)
		}
		last = lacks
		if time.Since(began) > most {
			return fmt.Errorf("the fleet has not settled after %v: %s", most, lacks)
		}
		if err := b.wait(ctx, time.Now().Add(2*pollEvery)); err != nil {
			return err
		}
	}
}

// lacks says what a fleet that has settled has, "" for nothing.
func (b *bench) lacks() string {
	leans, least := 0, int64(1)
	var mu sync.Mutex
	err := each(b.hollow, func(_ int, p *process) error {
		r, err := p.ask(Request{Do: doCounters})
		mu.Lock()
		defer mu.Unlock()
		leans, least = leans+r.Counters.Leaning, min(least, r.Counters.LeastIndex)
		return err
	})
	if err != nil {
		return err.Error()
	}
	if n := b.o.hollow(); leans < n || least < 1 {
		return fmt.Sprintf("%d of %d hollow fronts have the endpoint list from the fleet", leans, n)
	}
	for i := range b.real {
		s, err := b.seen(i)
		switch {
		case err != nil:
			return frontName(i) + " has no control socket yet"
		case s.Isolated:
			return frontName(i) + " hears nobody"
		case len(s.Fronts) < b.o.Fronts:
			return fmt.Sprintf("%s knows of %d of %d fronts", frontName(i), len(s.Fronts), b.o.Fronts)
		case !s.FollowsFleet:
			return frontName(i) + " follows the endpoint list by itself"
		}
		held := 0
		for _, d := range s.Leases {
			if d.Leaseholder != "" {
				held++
			}
		}
		if want := 2 + b.o.groups(); held < want {
			return fmt.Sprintf("%s knows of %d of %d leases", frontName(i), held, want)
		}
	}
	return ""
}

// transfer gives a lease to a real front. The leader refuses one whose report it has not heard yet: it is asked again.
func (b *bench) transfer(ctx context.Context, lease string, to int) error {
	b.o.Progress("the lease of %s is transferred to %s", lease, frontName(to))
	q := url.Values{"lease": {lease}, "to": {frontName(to)}}
	for until := time.Now().Add(transferTime); ; {
		s, err := b.seen(to)
		if err != nil {
			return err
		}
		if holder(s, lease) == frontName(to) {
			return nil
		}
		err = adminapi.Call(b.shared.socket(to), "POST", "/v1/fleet/transfer", q, new(map[string]any))
		if err != nil && time.Now().After(until) {
			return fmt.Errorf("the lease of %s can't be transferred to %s: %w", lease, frontName(to), err)
		}
		if err := b.wait(ctx, time.Now().Add(pollEvery)); err != nil {
			return err
		}
	}
}

func holder(s agent.Status, lease string) string {
	for _, d := range s.Leases {
		if d.Lease == lease {
			return d.Leaseholder
		}
	}
	return ""
}
