package processtest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"dapplerouter/fleet"
)

// Moment is a line of a front's history.
type HistoryLine = fleet.HistoryEntry

// Verdict is what came of a run.
type Verdict struct {
	Broke      []string // what must hold and did not, each with the history's lines
	Began      time.Time
	Requests   int
	Succeeded  int
	Rejected   int
	RolledBack int
	Unanswered int             // by fronts that were killed or stopped
	Gaps       []Gap           // of duties
	History    []HistoryLine   // all that was told, in order
	Calls      int             // to the list's service
	Probes     int64           // of members
	Took       []time.Duration // of committed requests, sorted
	Slices     []Slice         // what was served, by second
	Watches    int             // of the list's service, open at the end
	Memory     []int           // resident KiB of each front at the end, sorted
	CPU        time.Duration   // of all fronts while clients asked
	Rolls      []Rolled
	chart      []string
}

// Gap is a time in which nobody held a duty.
type Gap struct {
	Lease   string
	For     time.Duration
	At      time.Duration // since the script began
	Because string
}

// Slice is a second of the clients' requests.
type Slice struct{ Asked, Succeeded int }

// history reads what all fronts told; a line cut off by a kill is passed over.
func (r *Rig) history() (all []HistoryLine, err error) {
	dirs, err := os.ReadDir(r.Dir)
	if err != nil {
		return nil, err
	}
	for _, d := range dirs {
		f, err := os.Open(r.Dir + "/" + d.Name() + "/history.jsonl")
		if err != nil {
			continue
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			var m HistoryLine
			if json.Unmarshal(in.Bytes(), &m) == nil {
				all = append(all, m)
			}
		}
		f.Close()
	}
	slices.SortStableFunc(all, func(a, b HistoryLine) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// hold is a time in which a front held a duty, as it told itself: from its word to the end that it told or, where it told
// none, to the latest end that it was promised.
type hold struct {
	who      string
	term     uint64
	from, to int64
	first    HistoryLine
	why      string
}

// holds puts a duty's holds together. A front that was killed holds nothing from then on.
func (r *Rig) holds(all []HistoryLine, lease string) (out []*hold) {
	open := map[string]*hold{}
	for _, m := range all {
		key := fmt.Sprint(m.Front, "/", m.Incarnation, "/", m.Term)
		switch {
		case m.Lease != lease:
		case m.Kind == "held":
			h := &hold{who: m.Front, term: m.Term, from: m.At, to: m.Until, first: m}
			open[key] = h
			out = append(out, h)
		case m.Kind == "kept" && open[key] != nil:
			open[key].to = max(open[key].to, m.Until)
		case m.Kind == "ended" && open[key] != nil:
			open[key].to, open[key].why = min(open[key].to, m.At), m.Reason
			delete(open, key)
		}
	}
	for _, h := range out {
		for _, f := range r.fronts {
			for _, l := range f.lives {
				if f.Name == h.who && !l.to.IsZero() && l.from.UnixMicro() <= h.from && h.from <= l.to.UnixMicro() && l.to.UnixMicro() < h.to {
					h.to, h.why = l.to.UnixMicro(), "its process ended"
				}
			}
		}
	}
	return out
}

// judge reads everything against what must hold.
func (r *Rig) judge(began time.Time, requests []request, all []HistoryLine, seen []seen, rested string) *Verdict {
	v := &Verdict{Began: began, Requests: len(requests), History: all, Calls: r.Calls, Probes: r.Probes}
	broke := func(format string, args ...any) { v.Broke = append(v.Broke, fmt.Sprintf(format, args...)) }
	if rested != "" {
		broke("left alone, the fleet did not come back: %s", rested)
	}
	for _, unmet := range r.unmet {
		broke("%s", unmet)
	}
	for _, name := range r.mustHalt {
		if !slices.ContainsFunc(all, func(m HistoryLine) bool { return m.Front == name && m.Kind == "keeper halted" }) {
			broke("%s came back with a disk that had lost something, and was not refused", name)
		}
	}
	// One front's word for each term.
	granted := map[string]HistoryLine{}
	acts := map[string]HistoryLine{}
	leases := map[string]bool{}
	for _, m := range all {
		switch m.Kind {
		case "held":
			leases[m.Lease] = true
		case "granted":
			if m.Name == "" { // let go: the term stays
				continue
			}
			key := fmt.Sprint(m.Lease, "/", m.Term)
			if was, ok := granted[key]; ok && was.Name != m.Name {
				broke("two fronts were granted %s in term %d:\n  %s\n  %s", m.Lease, m.Term, was, m)
			}
			granted[key] = m
		case "came":
			key := fmt.Sprint(m.Front, "/", m.Incarnation, "/", m.Lease)
			if was, ok := acts[key]; ok && was.Term > m.Term {
				broke("%s accepted an act of an older term:\n  %s\n  %s", m.Front, was, m)
			}
			acts[key] = m
		}
	}
	for _, d := range sorted(leases) {
		hs := r.holds(all, d)
		slices.SortStableFunc(hs, func(a, b *hold) int { return cmp.Compare(a.from, b.from) })
		for i, h := range hs {
			for _, o := range hs[i+1:] {
				if o.from < h.to && o.term != h.term {
					broke("%s was held by %s until %d and by %s from %d:\n  %s\n  %s", d, h.who, h.to, o.who, o.from, h.first, o.first)
				}
			}
			if i+1 < len(hs) && hs[i+1].from > h.to && h.from > began.UnixMicro() || i+1 < len(hs) && h.to > began.UnixMicro() && hs[i+1].from > h.to {
				v.Gaps = append(v.Gaps, Gap{d, time.Duration(hs[i+1].from-h.to) * time.Microsecond,
					time.UnixMicro(h.to).Sub(began), cmp.Or(r.because(h), h.why, "it ran out")})
			}
		}
		if !linear(all, d) {
			broke("the register of %s is not linearizable: no one order of what its holders were told explains it", d)
		}
	}
	// Records of one index are one record: same terms and holders.
	for i, a := range seen {
		for _, b := range seen[i+1:] {
			if a.Index == b.Index && fmt.Sprint(bare(a)) != fmt.Sprint(bare(b)) {
				broke("%s and %s differ about record %d: %v, %v", a.Name, b.Name, a.Index, bare(a), bare(b))
			}
		}
	}
	// Every request one final answer, and one effect at most.
	for _, t := range requests {
		v.slice(t, began)
		did := r.group.Succeeded(t.id)
		if t.group == 1 {
			did = r.other.Succeeded(t.id)
		}
		switch {
		case t.broken:
			v.Unanswered++
			if !r.hurt(t) {
				broke("%s got no answer from %s, which was neither killed nor ended", t.id, t.front)
			}
		case t.code == "":
			v.Succeeded++
			v.Took = append(v.Took, t.took)
			if t.write && did == 0 {
				broke("%s was answered as committed by %s and was not", t.id, t.front)
			}
		case t.code == "53300" || t.code == "57P03":
			v.Rejected++
			if t.write && did > 0 {
				broke("%s was declined by %s and has run: trying again is not harmless", t.id, t.front)
			}
		default:
			v.RolledBack++
		}
		if did > 1 {
			broke("%s took effect %d times", t.id, did)
		}
	}
	v.Rolls = rolled(all)
	r.judgeVersions(began, requests, all, broke)
	slices.Sort(v.Took)
	v.chart = r.chart(began, all)
	return v
}

// bare is what a record says of duties, whoever tells it.
func bare(s seen) (out []string) {
	for _, d := range s.Leases {
		out = append(out, fmt.Sprint(d.Lease, d.Holder, d.Term))
	}
	return out
}

// hurt tells whether a front's process ended while a request was at it.
func (r *Rig) hurt(t request) bool {
	from, to := t.at.Add(-100*time.Millisecond), t.at.Add(t.took+100*time.Millisecond)
	for _, f := range r.fronts {
		if f.Name != t.front {
			continue
		}
		for _, l := range f.lives {
			if !l.to.IsZero() && l.to.After(from) && l.from.Before(to) {
				return true
			}
		}
		return len(f.lives) > 1 && f.lives[len(f.lives)-1].from.After(from)
	}
	return false
}

// because says why a hold ended, where the script did it.
func (r *Rig) because(h *hold) string {
	for _, f := range r.fronts {
		if f.Name != h.who {
			continue
		}
		for _, g := range f.gaps {
			if g.from.UnixMicro() < h.to && (g.to.IsZero() || g.to.UnixMicro() > h.to) {
				return "it stood still"
			}
		}
	}
	return ""
}

func (v *Verdict) slice(t request, began time.Time) {
	at := int(t.at.Sub(began) / time.Second)
	for len(v.Slices) <= max(at, 0) {
		v.Slices = append(v.Slices, Slice{})
	}
	s := &v.Slices[max(at, 0)]
	s.Asked++
	if t.code == "" && !t.broken {
		s.Succeeded++
	}
}

// linear looks for one order of a duty's lease register, as it was told: a first hold of a term takes the register to it
// from an older one; a renewal is good only while the register is at its term.
func linear(all []HistoryLine, lease string) bool {
	type in struct {
		take bool
		term uint64
	}
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			s, i := state.(uint64), input.(in)
			if i.take {
				return i.term > s, i.term
			}
			return i.term == s, s
		},
	}
	var ops []porcupine.Operation
	first := map[uint64]bool{}
	for _, m := range all {
		if m.Lease != lease || m.Kind != "held" && m.Kind != "kept" {
			continue
		}
		op := porcupine.Operation{ClientId: len(ops), Input: in{!first[m.Term], m.Term}, Call: m.Since, Return: m.At}
		first[m.Term] = true
		ops = append(ops, op)
	}
	return porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) != porcupine.Illegal
}

// chart is a line a front: who lived, stood still, was gone and held what, a column every quarter of a second.
func (r *Rig) chart(began time.Time, all []HistoryLine) (out []string) {
	const column = 250 * time.Millisecond
	n := int(r.Script.For/column) + 1
	for _, f := range r.fronts {
		row := []byte(strings.Repeat(" ", n))
		at := func(t time.Time) int { return int(math.Floor(float64(t.Sub(began)) / float64(column))) }
		fill := func(l life, c byte) {
			to := n - 1
			if !l.to.IsZero() {
				to = min(at(l.to), n-1)
			}
			for i := max(0, at(l.from)); i <= to; i++ {
				row[i] = c
			}
		}
		for _, l := range f.lives {
			fill(l, '-')
		}
		for _, m := range all {
			if m.Kind != "held" {
				continue
			}
			for _, h := range r.holds(all, m.Lease) {
				if h.who == f.Name {
					fill(life{time.UnixMicro(h.from), time.UnixMicro(h.to)}, strings.ToUpper(m.Lease)[0])
				}
			}
		}
		for _, l := range f.gaps {
			fill(l, '.')
		}
		out = append(out, fmt.Sprintf("%-4s|%s|", f.Name, row))
	}
	return out
}

// Percentile is a percentile of what committed requests took.
func (v *Verdict) Percentile(percent int) time.Duration {
	if len(v.Took) == 0 {
		return 0
	}
	return v.Took[min(len(v.Took)*percent/100, len(v.Took)-1)].Round(10 * time.Microsecond)
}

// Print writes what came of a run, for people.
func (v *Verdict) Print(w io.Writer) {
	fmt.Fprintln(w, "\na column each 250 ms: - lives, . stands still, blank is down, a letter for the duty that it holds")
	for _, l := range v.chart {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintf(w, "\n%d requests: %d committed, %d declined, %d rolled back, %d at fronts that died; p50 %v, p99 %v; %d calls to the list's service, %d watches open at the end, %d probes\n",
		v.Requests, v.Succeeded, v.Rejected, v.RolledBack, v.Unanswered, v.Percentile(50), v.Percentile(99), v.Calls, v.Watches, v.Probes)
	if n := len(v.Memory); n > 0 {
		fmt.Fprintf(w, "resident at the end: median %.1f MiB a front, most %.1f\n", float64(v.Memory[n/2])/1024, float64(v.Memory[n-1])/1024)
	}
	if v.Requests > 0 {
		fmt.Fprintf(w, "processor time of all fronts: %v, %v a request\n", v.CPU.Round(time.Millisecond), (v.CPU / time.Duration(v.Requests)).Round(time.Microsecond))
	}
	fmt.Fprint(w, "committed of asked, by second:")
	for _, s := range v.Slices {
		fmt.Fprintf(w, " %d/%d", s.Succeeded, s.Asked)
	}
	fmt.Fprintln(w)
	for _, g := range v.Gaps {
		fmt.Fprintf(w, "nobody held %s for %v at %.1f s: %s\n", g.Lease, g.For.Round(time.Millisecond), g.At.Seconds(), g.Because)
	}
	for _, x := range v.Rolls {
		fmt.Fprintf(w, "version %d: taken up %d times, first %v and last %v behind its publishing", x.Version, x.Fronts, x.First.Round(time.Millisecond), x.Last.Round(time.Millisecond))
		switch {
		case x.InForce > 0:
			fmt.Fprintf(w, ", in force after %v", x.InForce.Round(time.Millisecond))
		case x.Back > 0:
			fmt.Fprintf(w, ", taken back after %v", x.Back.Round(time.Millisecond))
		}
		fmt.Fprintln(w)
	}
	if len(v.Broke) == 0 {
		fmt.Fprintln(w, "verdict: held")
		return
	}
	fmt.Fprintf(w, "verdict: broke, %d times\n", len(v.Broke))
	for i, b := range v.Broke {
		if i == 20 {
			fmt.Fprintln(w, "... and more")
			break
		}
		fmt.Fprintln(w, b)
	}
}
