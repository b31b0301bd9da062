package processtest

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// acting is a time in which a front may begin something on a version, as it told itself.
type acting struct {
	front    string
	version  uint64
	from, to int64
}

// slack is what a front needs to notice, once it goes on, that it stood still: until then it begins nothing, but has not told.
const slack = 250 * time.Millisecond

// actings puts together who acted on what: from a version's adoption until the front told that it acts on another alone, stood
// by, stood still or ended.
func (r *Rig) actings(all []HistoryLine) (out []acting) {
	open := map[string]map[uint64]int64{} // by front and incarnation: versions, since when
	newest := map[string]uint64{}
	names := map[string]string{}
	end := func(key string, v uint64, to int64) {
		if from, ok := open[key][v]; ok {
			out = append(out, acting{names[key], v, from, to})
			delete(open[key], v)
		}
	}
	for _, m := range all {
		key := fmt.Sprint(m.Front, "/", m.Incarnation)
		names[key] = m.Front
		if open[key] == nil {
			open[key] = map[uint64]int64{}
		}
		switch m.Kind {
		case "adopted":
			newest[key] = m.Number
			open[key][m.Number] = m.At
		case "acts":
			for _, v := range versions(open[key]) {
				if v != m.Number {
					end(key, v, m.At)
				}
			}
		case "stands by":
			for _, v := range versions(open[key]) {
				end(key, v, m.At)
			}
		case "acts again":
			open[key][newest[key]] = m.At
		}
	}
	for key, vs := range open {
		for v, from := range vs {
			out = append(out, acting{names[key], v, from, 1 << 62})
		}
	}
	// A process that ended or stood still acts no more.
	var cut []acting
	for _, a := range out {
		for _, f := range r.fronts {
			if f.Name != a.front {
				continue
			}
			for _, l := range f.lives {
				if !l.to.IsZero() && l.from.UnixMicro() <= a.from && a.from <= l.to.UnixMicro() {
					a.to = min(a.to, l.to.UnixMicro())
				}
			}
			for _, g := range f.gaps {
				if from := g.from.UnixMicro(); a.from < from && from < a.to {
					if to := g.to.Add(slack).UnixMicro(); !g.to.IsZero() && to < a.to {
						cut = append(cut, acting{a.front, a.version, to, a.to})
					}
					a.to = from
				}
			}
		}
		cut = append(cut, a)
	}
	slices.SortFunc(cut, func(a, b acting) int { return cmp.Compare(a.from, b.from) })
	return cut
}

func versions(m map[uint64]int64) []uint64 { return slices.Sorted(maps.Keys(m)) }

// Rolled is how a version came to the fleet, reckoned from the moment at which the first front heard of it.
type Rolled struct {
	Version       uint64
	Fronts        int           // that took it up
	First, Last   time.Duration // adoption
	InForce, Back time.Duration // 0 where it did not come to that
}

// rolled puts together how versions came to the fleet.
func rolled(all []HistoryLine) (out []Rolled) {
	began := map[uint64]int64{}
	at := map[uint64]int{}
	for _, m := range all {
		since := func(v uint64) time.Duration { return time.Duration(m.At-began[v]) * time.Microsecond }
		switch {
		case m.Kind == "turned" && m.Term != 0 && began[m.Term] == 0:
			began[m.Term], at[m.Term] = m.At, len(out)
			out = append(out, Rolled{Version: m.Term})
		case m.Kind == "adopted" && began[m.Number] != 0:
			r := &out[at[m.Number]]
			if r.Fronts++; r.First == 0 {
				r.First = since(m.Number)
			}
			r.Last = since(m.Number)
		case m.Kind == "turned" && m.Name == "steady" && began[m.Number] != 0 && out[at[m.Number]].InForce == 0:
			out[at[m.Number]].InForce = since(m.Number)
		case m.Kind == "turned" && m.Name == "going back" && began[m.Term] != 0 && out[at[m.Term]].Back == 0:
			out[at[m.Term]].Back = since(m.Term)
		}
	}
	return out
}

// judgeVersions reads what fronts told of versions, what reached members, and the audits.
func (r *Rig) judgeVersions(began time.Time, requests []request, all []HistoryLine, broke func(string, ...any)) {
	if r.Script == nil || r.Script.Right == 0 {
		return
	}
	// Never three versions at once. Fronts that serve alone by their operator's will are told apart by the record: not here.
	if r.Script.Stop {
		as := r.actings(all)
		for i, a := range as {
			at := map[uint64]string{}
			for _, b := range as[:i+1] {
				if b.from <= a.from && a.from < b.to-slack.Microseconds()/10 {
					at[b.version] = b.front
				}
			}
			if len(at) > 2 {
				broke("%d versions at once at %.3f s: %v", len(at), time.UnixMicro(a.from).Sub(began).Seconds(), at)
			}
		}
	}
	// Behind the moment at which a must version is in force nothing of a group that it gives up reaches a member.
	for _, v := range r.mustBy {
		inForce := int64(0)
		for _, m := range all {
			if m.Kind == "turned" && m.Number == v && m.Name == "steady" {
				inForce = m.At
				break
			}
		}
		for _, member := range r.other.Members {
			for _, s := range member.Seen() {
				if inForce != 0 && s.At.UnixMicro() > inForce && r.Script.Stop {
					broke("%s reached %s %.3f s after version %d, which gives its group up, was in force", s.ID, member.Name,
						time.Duration(s.At.UnixMicro()-inForce).Seconds()*1000, v)
				}
			}
		}
	}
	r.judgeAudits(requests, broke)
}

// judgeAudits verifies every front's log, and looks for requests in them.
func (r *Rig) judgeAudits(requests []request, broke func(string, ...any)) {
	l, err := disk.OpenAuditLogs(r.Dir)
	if err != nil {
		broke("audits: %v", err)
		return
	}
	journals, found := audit.ReadLogs(l)
	found = append(found, l.Conflicts...)
	cuts := 0
	for _, f := range found {
		if f.Violation {
			broke("audit: %s", f)
		}
		if !f.Violation && strings.Contains(f.Message, "torn tail") {
			cuts++
		}
	}
	if cuts < r.cutAudit {
		broke("%d audits were torn, and %d tell it", r.cutAudit, cuts)
	}
	if len(journals) < len(r.fronts) {
		broke("%d fronts, and audits of %d", len(r.fronts), len(journals))
	}
	told := map[string]bool{} // spans with their front, by what Find gives
	for _, j := range journals {
		for _, p := range j.Lines {
			if p.Event == audit.EventInterval {
				told[fmt.Sprint(p.Segment, "/", p.IndexOffset-1)] = true
			}
		}
	}
	missing := 0
	for i, t := range requests {
		if i%7 != 0 || t.code != "" || t.broken || r.died(t.front) {
			continue
		}
		hits, _ := l.Find(t.id)
		if !slices.ContainsFunc(hits, func(h disk.Match) bool {
			front, _, _ := audit.ParseLogName(h.Segment + audit.LogSuffix)
			return front == t.front && told[fmt.Sprint(h.Segment, "/", h.IndexOffset)]
		}) {
			if missing++; missing < 4 {
				broke("%s was committed by %s, and its audit does not have it", t.id, t.front)
			}
		}
	}
	if collected, err := disk.OpenAuditLogs(filepath.Join(r.Dir, "collected")); err != nil || r.cutAudit > 0 && len(collected.Names()) == 0 {
		broke("audits of processes that ended were not collected (%v)", err)
	}
	if exported, err := disk.OpenAuditLogs(r.exports()); err != nil || len(exported.Names()) == 0 {
		broke("nothing was exported (%v)", err)
	}
}

// died tells whether a front's process was killed: what it had in hand of its audit is lost then, told.
func (r *Rig) died(name string) bool {
	for _, f := range r.fronts {
		if f.Name == name && len(f.lives) > 1 {
			return true
		}
	}
	return false
}
