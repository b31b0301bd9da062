package processtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"dapplerouter/fleet"
)

// checkTerms checks that each term of a lease is granted to only one front. It also checks that no front accepts a broadcast of an
// older term than one that it accepted before.
func (c *checker) checkTerms() {
	granted := map[string]fleet.HistoryEntry{}
	accepted := map[string]fleet.HistoryEntry{}
	for _, e := range c.history {
		switch e.Kind {
		case leaseGranted:
			if e.Name == "" { // the lease was released, which does not change its term
				continue
			}
			key := fmt.Sprint(e.Lease, "/", e.Term)
			if earlier, ok := granted[key]; ok && earlier.Name != e.Name {
				c.addViolation("two fronts were granted %s in term %d:\n  %s\n  %s", e.Lease, e.Term, earlier, e)
			}
			granted[key] = e
		case broadcastReceived:
			key := fmt.Sprint(e.Front, "/", e.Incarnation, "/", e.Lease)
			if earlier, ok := accepted[key]; ok && earlier.Term > e.Term {
				c.addViolation("%s accepted a broadcast of an older term:\n  %s\n  %s", e.Front, earlier, e)
			}
			accepted[key] = e
		}
	}
}

// linearizabilityTimeout is the longest that checking the register of one lease may take.
const linearizabilityTimeout = 20 * time.Second

// checkLeases checks that no lease has two holders at a time and that the register of each lease is linearizable. It records the gaps
// between holders.
func (c *checker) checkLeases() {
	leases := map[string]bool{}
	for _, e := range c.history {
		if e.Kind == leaseAcquired {
			leases[e.Lease] = true
		}
	}
	for _, lease := range sortedKeys(leases) {
		tenures := c.tenures(lease)
		slices.SortStableFunc(tenures, func(a, b *tenure) int { return cmp.Compare(a.from, b.from) })
		for i, t := range tenures {
			for _, later := range tenures[i+1:] {
				if later.from < t.to && later.term != t.term {
					c.addViolation("%s was held by %s until %d and by %s from %d:\n  %s\n  %s", lease, t.front, t.to, later.front, later.from,
						t.acquired, later.acquired)
				}
			}
			if i+1 < len(tenures) {
				c.recordGap(lease, t, tenures[i+1])
			}
		}
		c.checkRegister(lease, linearizabilityTimeout)
	}
}

// recordGap records the gap between two consecutive tenures of a lease. It ignores gaps that ended before the script began.
func (c *checker) recordGap(lease string, t, next *tenure) {
	if next.from <= t.to || next.from <= c.began.UnixMicro() {
		return
	}
	c.result.Gaps = append(c.result.Gaps, Gap{
		Lease:  lease,
		For:    time.Duration(next.from-t.to) * time.Microsecond,
		At:     time.UnixMicro(t.to).Sub(c.began),
		Reason: cmp.Or(c.pauseAt(t), t.reason, "lease expired"),
	})
}

// pauseAt returns "process paused" if the tenure ended while its front was paused, and "" otherwise.
func (c *checker) pauseAt(t *tenure) string {
	for _, f := range c.harness.fronts {
		if f.Name != t.front {
			continue
		}
		for _, p := range f.pauses {
			if p.from.UnixMicro() < t.to && (!p.ended() || p.to.UnixMicro() > t.to) {
				return "process paused"
			}
		}
	}
	return ""
}

// tenure is an interval in which a front held a lease, by the front's own history. It begins with the grant. It ends when the front
// recorded its end or, without such an entry, at the latest expiry that the front was granted. Times are Unix microseconds.
type tenure struct {
	front    string
	term     uint64
	from, to int64
	acquired fleet.HistoryEntry
	reason   string // why it ended
}

// tenures returns all tenures of a lease. A tenure ends at the latest when the front's process exits.
func (c *checker) tenures(lease string) (all []*tenure) {
	open := map[string]*tenure{}
	for _, e := range c.history {
		if e.Lease != lease {
			continue
		}
		key := fmt.Sprint(e.Front, "/", e.Incarnation, "/", e.Term)
		t := open[key]
		switch {
		case e.Kind == leaseAcquired:
			t = &tenure{front: e.Front, term: e.Term, from: e.At, to: e.Until, acquired: e}
			open[key] = t
			all = append(all, t)
		case e.Kind == leaseRenewed && t != nil:
			t.to = max(t.to, e.Until)
		case e.Kind == leaseEnded && t != nil:
			t.to, t.reason = min(t.to, e.At), e.Reason
			delete(open, key)
		}
	}
	for _, t := range all {
		for _, f := range c.harness.fronts {
			if f.Name == t.front {
				t.endWithProcess(f.uptimes)
			}
		}
	}
	return all
}

// endWithProcess ends a tenure when the process that began it exited, if that was earlier. Uptimes are those of the tenure's front.
func (t *tenure) endWithProcess(uptimes []interval) {
	for _, u := range uptimes {
		if exit := u.to.UnixMicro(); u.ended() && u.from.UnixMicro() <= t.from && t.from <= exit && exit < t.to {
			t.to, t.reason = exit, "process exited"
		}
	}
}

// checkRegister checks that the register of a lease is linearizable. A check that takes longer than the timeout decides nothing, and is a
// violation too.
func (c *checker) checkRegister(lease string, timeout time.Duration) {
	switch checkLinearizability(c.history, lease, timeout) {
	case porcupine.Illegal:
		c.addViolation("the register of %s is not linearizable: no order of the recorded operations explains it", lease)
	case porcupine.Unknown:
		c.addViolation("the register of %s: not decided within %v whether it is linearizable", lease, timeout)
	}
}

// checkLinearizability returns whether the recorded operations on a lease's register are linearizable, or porcupine.Unknown if that is not
// decided within the timeout. The register holds a term. The first acquisition of a term moves the register from an older term to that
// term. A renewal succeeds only while the register holds its term.
func checkLinearizability(history []fleet.HistoryEntry, lease string, timeout time.Duration) porcupine.CheckResult {
	type operation struct {
		acquires bool
		term     uint64
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			term, op := state.(uint64), input.(operation)
			if op.acquires {
				return op.term > term, op.term
			}
			return op.term == term, term
		},
	}
	var operations []porcupine.Operation
	acquired := map[uint64]bool{}
	for _, e := range history {
		if e.Lease != lease || e.Kind != leaseAcquired && e.Kind != leaseRenewed {
			continue
		}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: operation{!acquired[e.Term], e.Term}, Call: e.Since, Return: e.At})
		acquired[e.Term] = true
	}
	return porcupine.CheckOperationsTimeout(model, operations, timeout)
}
