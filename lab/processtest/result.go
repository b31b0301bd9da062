package processtest

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"dapplerouter/fleet"
)

// Result is what came of a run.
type Result struct {
	Violations []string // of invariants, each with the entries of the history that show it
	Began      time.Time
	Requests   Requests
	Gaps       []Gap                // in leases
	Rollouts   []RolloutTimes       // by version
	History    []fleet.HistoryEntry // of all fronts, by time
	Usage      Usage
	timeline   []string // a line for each front
}

// Requests are counts of the clients' requests. Rejected ones have had no effect; unanswered ones lost their connection to a front
// whose process ended.
type Requests struct {
	Sent, Succeeded, Rejected, Failed, Unanswered int
	Latencies                                     []time.Duration // of requests that succeeded, sorted
	PerSecond                                     []Second        // since the script began
}

// Second is one second of the clients' requests.
type Second struct{ Sent, Succeeded int }

// Percentile is a percentile of the latencies of requests that succeeded, 0 for none.
func (r *Requests) Percentile(percent int) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(len(r.Latencies)*percent/100, len(r.Latencies)-1)].Round(10 * time.Microsecond)
}

// Gap is a time in which nobody held a lease.
type Gap struct {
	Lease  string
	For    time.Duration
	At     time.Duration // since the script began
	Reason string        // why the lease before it ended
}

// RolloutTimes are the times of a version's rollout since the first front recorded it; 0 for what did not happen.
type RolloutTimes struct {
	Version     uint64
	Adoptions   int // fronts may adopt it again after a restart
	First, Last time.Duration
	InForce     time.Duration
	RolledBack  time.Duration
}

// Usage is what the fleet used. Calls, probes and CPU are of the time in which clients sent requests.
type Usage struct {
	EndpointCalls int   // to the endpoint service
	Probes        int64 // of servers
	Watches       int   // of the endpoint service, open at the end
	ResidentKiB   []int // of each front at the end, sorted
	CPU           time.Duration
}

const timelineColumn = 250 * time.Millisecond

// timeline draws a line for each front: when it ran, was paused or down, and which leases it held.
func (c *checker) timeline() (lines []string) {
	columns := int(c.harness.Script.Duration/timelineColumn) + 1
	column := func(t time.Time) int { return int(math.Floor(float64(t.Sub(c.began)) / float64(timelineColumn))) }
	for _, f := range c.harness.fronts {
		row := []byte(strings.Repeat(" ", columns))
		fill := func(i interval, mark byte) {
			last := columns - 1
			if i.ended() {
				last = min(column(i.to), last)
			}
			for at := max(0, column(i.from)); at <= last; at++ {
				row[at] = mark
			}
		}
		for _, u := range f.uptimes {
			fill(u, '-')
		}
		for _, e := range c.history {
			if e.Kind != leaseAcquired {
				continue
			}
			for _, t := range c.tenures(e.Lease) {
				if t.front == f.Name {
					fill(interval{time.UnixMicro(t.from), time.UnixMicro(t.to)}, strings.ToUpper(e.Lease)[0])
				}
			}
		}
		for _, p := range f.pauses {
			fill(p, '.')
		}
		lines = append(lines, fmt.Sprintf("%-4s|%s|", f.Name, row))
	}
	return lines
}

// maxPrinted is how many violations are printed.
const maxPrinted = 20

// Print writes the result for people.
func (r *Result) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\na column for each %v: - running, . paused, blank is down, a letter for the lease that it holds\n", timelineColumn)
	for _, l := range r.timeline {
		fmt.Fprintln(&b, l)
	}
	r.printRequests(&b)
	for _, g := range r.Gaps {
		fmt.Fprintf(&b, "nobody held %s for %v at %.1f s: %s\n", g.Lease, g.For.Round(time.Millisecond), g.At.Seconds(), g.Reason)
	}
	for _, t := range r.Rollouts {
		t.print(&b)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(&b, "result: passed")
	} else {
		fmt.Fprintf(&b, "result: failed, %d violations\n", len(r.Violations))
	}
	for i, v := range r.Violations {
		if i == maxPrinted {
			fmt.Fprintln(&b, "... and more")
			break
		}
		fmt.Fprintln(&b, v)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Result) printRequests(b *strings.Builder) {
	q, u := &r.Requests, &r.Usage
	fmt.Fprintf(b, "\n%d requests: %d succeeded, %d rejected, %d failed, %d unanswered; p50 %v, p99 %v; %d calls to the endpoint service, %d watches open at the end, %d probes\n",
		q.Sent, q.Succeeded, q.Rejected, q.Failed, q.Unanswered, q.Percentile(50), q.Percentile(99), u.EndpointCalls, u.Watches, u.Probes)
	if n := len(u.ResidentKiB); n > 0 {
		fmt.Fprintf(b, "resident at the end: median %.1f MiB a front, most %.1f\n", float64(u.ResidentKiB[n/2])/1024, float64(u.ResidentKiB[n-1])/1024)
	}
	if q.Sent > 0 {
		fmt.Fprintf(b, "processor time of all fronts: %v, %v a request\n", u.CPU.Round(time.Millisecond), (u.CPU / time.Duration(q.Sent)).Round(time.Microsecond))
	}
	b.WriteString("succeeded of sent, by second:")
	for _, s := range q.PerSecond {
		fmt.Fprintf(b, " %d/%d", s.Succeeded, s.Sent)
	}
	b.WriteString("\n")
}

func (t RolloutTimes) print(b *strings.Builder) {
	fmt.Fprintf(b, "version %d: adopted %d times, first after %v and last after %v", t.Version, t.Adoptions, t.First.Round(time.Millisecond), t.Last.Round(time.Millisecond))
	switch {
	case t.InForce > 0:
		fmt.Fprintf(b, ", in force after %v", t.InForce.Round(time.Millisecond))
	case t.RolledBack > 0:
		fmt.Fprintf(b, ", rolled back after %v", t.RolledBack.Round(time.Millisecond))
	}
	b.WriteString("\n")
}
