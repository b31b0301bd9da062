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

func (b *testbed) status(i int) (s agent.Status, err error) {
	err = adminapi.Call(b.settings.adminSocket(i), "GET", "/v1/fleet", nil, &s)
	return s, err
}

// waitConverged waits until every front knows the fleet and the endpoint list, and all leases are held.
func (b *testbed) waitConverged(ctx context.Context) error {
	began := time.Now()
	most := convergeTimeout + time.Duration(b.options.Fronts)*convergePerFront
	for last := ""; ; {
		lacks := b.unconverged()
		if lacks == "" {
			b.options.Progress("the fleet has settled after %v", time.Since(began).Round(time.Second))
			return nil
		}
		if lacks != last {
			b.options.Progress("waiting: %s", lacks)
		}
		last = lacks
		if time.Since(began) > most {
			return fmt.Errorf("the fleet has not settled after %v: %s", most, lacks)
		}
		if err := b.sleepUntil(ctx, time.Now().Add(2*pollInterval)); err != nil {
			return err
		}
	}
}

// unconverged says what a fleet that has settled has, "" for nothing.
func (b *testbed) unconverged() string {
	leans, least := 0, int64(1)
	var mu sync.Mutex
	err := forEach(b.simulated, func(_ int, p *process) error {
		r, err := p.call(Request{Operation: opCounters})
		mu.Lock()
		defer mu.Unlock()
		leans, least = leans+r.Counters.UsingSharedList, min(least, r.Counters.MinListIndex)
		return err
	})
	if err != nil {
		return err.Error()
	}
	if n := b.options.simulated(); leans < n || least < 1 {
		return fmt.Sprintf("%d of %d hollow fronts have the endpoint list from the fleet", leans, n)
	}
	for i := range b.real {
		s, err := b.status(i)
		switch {
		case err != nil:
			return frontName(i) + " has no control socket yet"
		case s.Isolated:
			return frontName(i) + " hears nobody"
		case len(s.Fronts) < b.options.Fronts:
			return fmt.Sprintf("%s knows of %d of %d fronts", frontName(i), len(s.Fronts), b.options.Fronts)
		case !s.FollowsFleet:
			return frontName(i) + " follows the endpoint list by itself"
		}
		held := 0
		for _, d := range s.Leases {
			if d.Leaseholder != "" {
				held++
			}
		}
		if want := 2 + b.options.groups(); held < want {
			return fmt.Sprintf("%s knows of %d of %d leases", frontName(i), held, want)
		}
	}
	return ""
}

// transferLease gives a lease to a real front. The leader refuses one whose report it has not heard yet: it is asked again.
func (b *testbed) transferLease(ctx context.Context, lease string, to int) error {
	b.options.Progress("the lease of %s is transferred to %s", lease, frontName(to))
	q := url.Values{"lease": {lease}, "to": {frontName(to)}}
	for until := time.Now().Add(transferTimeout); ; {
		s, err := b.status(to)
		if err != nil {
			return err
		}
		if holder(s, lease) == frontName(to) {
			return nil
		}
		err = adminapi.Call(b.settings.adminSocket(to), "POST", "/v1/fleet/transfer", q, new(map[string]any))
		if err != nil && time.Now().After(until) {
			return fmt.Errorf("the lease of %s can't be transferred to %s: %w", lease, frontName(to), err)
		}
		if err := b.sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
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
