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

// status asks the admin API of the real front with ordinal i for its view of the fleet. A real front is a process of the program, in
// contrast to a simulated follower.
func (b *testbed) status(i int) (s agent.Status, err error) {
	err = adminapi.Call(b.settings.adminSocket(i), "GET", "/v1/fleet", nil, &s)
	return s, err
}

// waitConverged waits until every simulated follower has the endpoint list from the fleet, every real front knows all fronts, and all
// leases are held. The error is ErrNotConverged after the timeout, a ProcessExitError, or the cause of ctx.
func (b *testbed) waitConverged(ctx context.Context) error {
	startedAt := time.Now()
	timeout := convergeTimeout + time.Duration(b.options.Fronts)*convergePerFront
	for last := ""; ; {
		missing := b.unconverged()
		if missing == "" {
			b.options.Progress("fleet converged after %v", time.Since(startedAt).Round(time.Second))
			return nil
		}
		if missing != last {
			b.options.Progress("waiting: %s", missing)
		}
		last = missing
		if time.Since(startedAt) > timeout {
			return fmt.Errorf("%w after %v: %s", ErrNotConverged, timeout, missing)
		}
		if err := b.sleepUntil(ctx, time.Now().Add(2*pollInterval)); err != nil {
			return err
		}
	}
}

// unconverged returns a message about what keeps the fleet from having converged, or "" if it has. The messages become part of
// records, so they do not change.
func (b *testbed) unconverged() string {
	if missing := b.unconvergedSimulated(); missing != "" {
		return missing
	}
	for i := range b.real {
		if missing := b.unconvergedReal(i); missing != "" {
			return missing
		}
	}
	return ""
}

// unconvergedSimulated returns a message if not all simulated followers have the endpoint list from the fleet.
func (b *testbed) unconvergedSimulated() string {
	using, minIndex := 0, int64(1)
	var mu sync.Mutex // guards using and minIndex
	err := parallel(b.simulated, func(_ int, p *process) error {
		r, err := p.call(Request{Operation: opCounters})
		mu.Lock()
		defer mu.Unlock()
		using, minIndex = using+r.Counters.UsingSharedList, min(minIndex, r.Counters.MinListIndex)
		return err
	})
	if err != nil {
		return err.Error()
	}
	if n := b.options.simulated(); using < n || minIndex < 1 {
		return fmt.Sprintf("%d of %d hollow fronts have the endpoint list from the fleet", using, n)
	}
	return ""
}

// unconvergedReal returns a message if the real front with ordinal i lacks a part of the fleet's state, or "" if it has all.
func (b *testbed) unconvergedReal(i int) string {
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
	granted := 0
	for _, l := range s.Leases {
		if l.Leaseholder != "" {
			granted++
		}
	}
	if want := 2 + b.options.groups(); granted < want { // leases of the endpoint list, of rollouts, and of each group's health checks
		return fmt.Sprintf("%s knows of %d of %d leases", frontName(i), granted, want)
	}
	return ""
}

// transferLease transfers a lease to the real front with ordinal to. The leader rejects a front whose report has not arrived yet, so
// the request is retried until transferTimeout.
func (b *testbed) transferLease(ctx context.Context, lease string, to int) error {
	b.options.Progress("transferring lease %s to %s", lease, frontName(to))
	q := url.Values{"lease": {lease}, "to": {frontName(to)}}
	for until := time.Now().Add(transferTimeout); ; {
		s, err := b.status(to)
		if err != nil {
			return err
		}
		if leaseholder(s, lease) == frontName(to) {
			return nil
		}
		err = adminapi.Call(b.settings.adminSocket(to), "POST", "/v1/fleet/transfer", q, new(map[string]any))
		if err != nil && time.Now().After(until) {
			return fmt.Errorf("transfer lease %s to %s: %w", lease, frontName(to), err)
		}
		if err := b.sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
			return err
		}
	}
}

// leaseholder returns the name of the front that holds a lease according to a status, or "" for none.
func leaseholder(s agent.Status, lease string) string {
	for _, l := range s.Leases {
		if l.Lease == lease {
			return l.Leaseholder
		}
	}
	return ""
}
