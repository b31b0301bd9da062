package processtest

import (
	"slices"
	"time"
)

// SQLSTATE codes of rejected requests. A rejected request has had no effect and may be retried.
const (
	codeTooManyConnections = "53300"
	codeCannotConnectNow   = "57P03"
)

// checkRequests checks the answer and the number of effects of each request, and counts requests by outcome. Only a request to a
// front that was restarted may have no answer. A write that succeeded has exactly one effect, a rejected write has none, and no
// request has more than one.
func (c *checker) checkRequests() {
	counts := &c.result.Requests
	counts.Sent = len(c.requests)
	for _, q := range c.requests {
		counts.countSecond(q, c.began)
		servers := c.harness.servers
		if q.group == 1 {
			servers = c.harness.rejectedGroup
		}
		effects := servers.ExecutionCount(q.id)
		switch {
		case q.connectionLost:
			counts.Unanswered++
			if !c.frontRestarted(q) {
				c.addViolation("%s had no answer from %s, which was neither killed nor terminated", q.id, q.front)
			}
		case q.code == "":
			counts.Succeeded++
			counts.Latencies = append(counts.Latencies, q.latency)
			if q.write && effects == 0 {
				c.addViolation("%s succeeded at %s but has had no effect", q.id, q.front)
			}
		case q.code == codeTooManyConnections || q.code == codeCannotConnectNow:
			counts.Rejected++
			if q.write && effects > 0 {
				c.addViolation("%s was rejected by %s but has had an effect: a retry is unsafe", q.id, q.front)
			}
		default:
			counts.Failed++
		}
		if effects > 1 {
			c.addViolation("%s has had %d effects", q.id, effects)
		}
	}
	slices.Sort(counts.Latencies)
}

// frontRestarted reports whether the process of the request's front exited or started while the request was in flight. It allows for
// 100 ms before and after the request.
func (c *checker) frontRestarted(q request) bool {
	from, to := q.sent.Add(-100*time.Millisecond), q.sent.Add(q.latency+100*time.Millisecond)
	for _, f := range c.harness.fronts {
		if f.Name != q.front {
			continue
		}
		for _, u := range f.uptimes {
			if u.ended() && u.to.After(from) && u.from.Before(to) {
				return true
			}
		}
		return len(f.uptimes) > 1 && f.uptimes[len(f.uptimes)-1].from.After(from)
	}
	return false
}

// countSecond counts a request in the second of the script in which it was sent.
func (r *Requests) countSecond(q request, began time.Time) {
	second := max(0, int(q.sent.Sub(began)/time.Second))
	for len(r.PerSecond) <= second {
		r.PerSecond = append(r.PerSecond, Second{})
	}
	s := &r.PerSecond[second]
	s.Sent++
	if q.code == "" && !q.connectionLost {
		s.Succeeded++
	}
}
