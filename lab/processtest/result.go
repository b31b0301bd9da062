package processtest

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"dapplerouter/fleet"
)

// Result is the outcome of a run.
type Result struct {
	Violations []string  // violated invariants, with the history entries that show them
	Began      time.Time // when the script began
	Requests   Requests
	Gaps       []Gap                // times in which a lease had no holder
	Rollouts   []RolloutTimes       // one for each version
	History    []fleet.HistoryEntry // entries of all fronts, ordered by time
	Usage      Usage
	timeline   []string // one line for each front
}

// Requests counts the clients' requests by outcome. Rejected requests have had no effect. Unanswered requests lost their connection to
// the front before a final answer.
type Requests struct {
	Sent, Succeeded, Rejected, Failed, Unanswered int
	Latencies                                     []time.Duration // of requests that succeeded, in ascending order
	PerSecond                                     []Second        // one for each second since the script began
}

// Second counts the requests that clients sent in one second, and those of them that succeeded.
type Second struct{ Sent, Succeeded int }

// Percentile returns a percentile of the latencies of requests that succeeded, or 0 if none did.
func (r *Requests) Percentile(percent int) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(len(r.Latencies)*percent/100, len(r.Latencies)-1)].Round(10 * time.Microsecond)
}

// Gap is an interval in which no front held a lease.
type Gap struct {
	Lease  string
	For    time.Duration
	At     time.Duration // since the script began
	Reason string        // why the previous holder's lease ended
}

// RolloutTimes holds the times of events in a version's rollout. They count from the moment at which the first front recorded the
// rollout. A zero time means that the event did not happen.
type RolloutTimes struct {
	Version     uint64
	Adoptions   int           // may exceed the number of fronts: a front may adopt the version again after a restart
	First, Last time.Duration // first and last adoption
	InForce     time.Duration
	RolledBack  time.Duration
}

// Usage holds the resources that the fleet used. EndpointCalls, Probes and CPU cover only the time in which clients sent requests.
type Usage struct {
	EndpointCalls int           // calls to the endpoint service
	Probes        int64         // health checks of servers
	Watches       int           // watches of the endpoint service that were open at the end
	ResidentKiB   []int         // resident memory of each front at the end, in ascending order
	CPU           time.Duration // CPU time of all fronts
}

// timelineColumn is the time that one column of the timeline covers.
const timelineColumn = 250 * time.Millisecond

// timeline draws a line for each front that shows when the front ran, was paused or was down, and which leases it held.
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

// maxPrintedViolations is the maximum number of violations that Print writes.
const maxPrintedViolations = 20

// Print writes the result as text for human readers.
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
		if i == maxPrintedViolations {
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
