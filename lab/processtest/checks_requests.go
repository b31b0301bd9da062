package processtest

import (
	"slices"
	"time"
)

// SQLSTATE codes of rejected requests: they have had no effect, and may be sent again.
const (
	codeTooManyConnections = "53300"
	codeCannotConnectNow   = "57P03"
)

// checkRequests checks that each request has one final answer and one effect at most, and counts them.
func (c *checker) checkRequests() {
	counts := &c.result.Requests
	counts.Sent = len(c.requests)
	for _, q := range c.requests {
		counts.countSecond(q, c.began)
		servers := c.harness.servers
		if q.group == 1 {
			servers = c.harness.givenUp
		}
		effects := servers.Succeeded(q.id)
		switch {
		case q.connectionLost:
			counts.Unanswered++
			if !c.frontRestarted(q) {
				c.violated("%s had no answer from %s, which was neither killed nor terminated", q.id, q.front)
			}
		case q.code == "":
			counts.Succeeded++
			counts.Latencies = append(counts.Latencies, q.latency)
			if q.write && effects == 0 {
				c.violated("%s succeeded at %s and has had no effect", q.id, q.front)
			}
		case q.code == codeTooManyConnections || q.code == codeCannotConnectNow:
			counts.Rejected++
			if q.write && effects > 0 {
				c.violated("%s was rejected by %s and has had an effect: a retry is not harmless", q.id, q.front)
			}
		default:
			counts.Failed++
		}
		if effects > 1 {
			c.violated("%s has had %d effects", q.id, effects)
		}
	}
	slices.Sort(counts.Latencies)
}

// frontRestarted reports whether a front's process ended or started while a request was in flight.
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
