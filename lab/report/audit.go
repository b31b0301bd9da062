// Package report writes what was measured or told as pages for people, by templates. For bin/routertest only.
package report

import (
	"cmp"
	"embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"dapplerouter/fleet/audit"
	"dapplerouter/front"
)

//go:embed *.html
var pages embed.FS

var audits = template.Must(template.ParseFS(pages, "audit.html"))

// colours of versions, in turn; 0 is each front's own file.
var colours = []string{"#c8ccd0", "#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377"}

type bar struct {
	X, W    float64
	Colour  string
	Version uint64
	Tip     string
	Open    bool
}

type mark struct {
	X   float64
	Tip string
}

type row struct {
	Front string
	Y     float64
	Bars  []bar
	Marks []mark
	Lag   string
}

type tick struct {
	X     float64
	Label string
}

type version struct {
	Version             uint64
	Colour, Meaning     string
	First, Last         string
	Fronts              int
	Succeeded, Rejected uint32
	Other               uint32
	Spread              string // from its first adoption to its last
	LastFront           string
}

type happening struct{ Order, When, Front, What string }

// page is what the template shows.
type page struct {
	Made          string
	Fronts, Lines int
	Wrong, Notes  []audit.Finding
	Width, Height float64
	Rows          []row
	Ticks         []tick
	Versions      []version
	Happened      []happening
	MoreHappened  int
	From, Until   string
	Clock         string
}

const (
	wide      = 1100.0
	rowHeight = 16.0
	mostMade  = 400 // happenings shown
)

func stamp(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("15:04:05.000")
}

// Audit writes one page on many fronts' logs: who acted on what, when, who lagged, what was served by each version. What
// happened is ordered by what caused what: the record's index, then terms; clocks only among what has the same.
func Audit(w io.Writer, all []*audit.FrontLog, found []audit.Finding) error {
	uses := audit.VersionUses(all)
	p := page{Made: time.Now().UTC().Format(time.RFC3339), Fronts: len(all), Width: wide + 160, Height: rowHeight*float64(len(all)) + 40}
	for _, f := range found {
		if f.Violation {
			p.Wrong = append(p.Wrong, f)
		} else {
			p.Notes = append(p.Notes, f)
		}
	}
	from, until, clock := int64(1)<<62, int64(0), int64(0)
	for _, u := range uses {
		from, until, clock = min(from, u.Start), max(until, u.End), max(clock, u.MaxClockError)
	}
	if until <= from {
		return fmt.Errorf("the logs tell of no time")
	}
	p.From, p.Until, p.Clock = time.UnixMicro(from).UTC().Format(time.RFC3339), time.UnixMicro(until).UTC().Format(time.RFC3339), (time.Duration(clock) * time.Microsecond).String()
	x := func(at int64) float64 { return 120 + wide*float64(at-from)/float64(until-from) }
	for i := range 11 {
		at := from + (until-from)*int64(i)/10
		p.Ticks = append(p.Ticks, tick{x(at), stamp(at)})
	}
	first := map[uint64]int64{} // adoption, by version
	latest := map[uint64]int64{}
	lastOf := map[uint64]string{}
	for i, j := range all {
		r := row{Front: j.Front, Y: 24 + rowHeight*float64(i)}
		for _, u := range uses {
			if u.Front == j.Front {
				total := uint32(0)
				for _, n := range u.Outcomes {
					total += n
				}
				r.Bars = append(r.Bars, bar{X: x(u.Start), W: max(1, x(u.End)-x(u.Start)), Colour: colour(u.Version), Version: u.Version, Open: u.Open,
					Tip: fmt.Sprintf("%s on version %d, %s to %s: %d requests, %d committed", u.Front, u.Version, stamp(u.Start), stamp(u.End), total, u.Outcomes[front.StatusSucceeded])})
			}
		}
		for _, l := range j.Lines {
			p.Lines++
			switch l.Event {
			case audit.EventConfigLeaseExpired:
				r.Marks = append(r.Marks, mark{x(l.At), j.Front + " stood by from " + stamp(l.At)})
			case audit.EventVersionAdopted:
				if at, ok := first[l.Version]; !ok || l.At < at {
					first[l.Version] = l.At
				}
				if l.At > latest[l.Version] {
					latest[l.Version], lastOf[l.Version] = l.At, j.Front
				}
			}
		}
		p.Rows = append(p.Rows, r)
	}
	for _, v := range audit.SummarizeVersions(all, uses) {
		x := version{Version: v.Version, Colour: colour(v.Version), Meaning: v.RulesHash, First: stamp(v.First), Last: stamp(v.Last), Fronts: v.Fronts,
			Succeeded: v.Outcomes[front.StatusSucceeded], Rejected: v.Outcomes[front.StatusRejected], Other: v.Outcomes[front.StatusFailed] + v.Outcomes[front.StatusInvalid] + v.Outcomes[front.StatusAbandoned]}
		if at, ok := first[v.Version]; ok {
			x.Spread = (time.Duration(latest[v.Version]-at) * time.Microsecond).Round(time.Millisecond).String()
			x.LastFront = lastOf[v.Version]
		}
		p.Versions = append(p.Versions, x)
	}
	p.Happened, p.MoreHappened = happened(all)
	return audits.Execute(w, &p)
}

func colour(version uint64) string {
	if version == 0 {
		return colours[0]
	}
	return colours[1+int(version-1)%(len(colours)-1)]
}

// happened is what fronts told beside their spans, by what caused what.
func happened(all []*audit.FrontLog) (out []happening, more int) {
	type one struct {
		audit.Line
		what string
	}
	var lines []one
	for _, j := range all {
		for _, p := range j.Lines {
			what := ""
			switch p.Event {
			case audit.EventVersionAdopted:
				what = fmt.Sprintf("acts on version %d (%s)", p.Version, p.RulesHash)
			case audit.EventVersionRejected:
				what = fmt.Sprintf("refused version %d: %s", p.Version, p.Reason)
			case audit.EventLeaseAcquired:
				what = fmt.Sprintf("holds %s in term %d", p.Lease, p.Term)
			case audit.EventLeaseEnded:
				what = fmt.Sprintf("holds %s no more: %s", p.Lease, p.Reason)
			case audit.EventConfigLeaseExpired:
				what = "stands by: its right ran out"
			case audit.EventConfigLeaseAcquired:
				what = "takes requests: it has a right"
			case audit.EventProcessStarted:
				what = "starts, with version " + fmt.Sprint(p.Version)
			case audit.EventProcessStopped:
				what = "ends"
			case audit.EventLinesLost, audit.EventTailTruncated, audit.EventSegmentRemoved:
				what = "audit: " + p.Event + " " + p.Reason
			default:
				continue
			}
			lines = append(lines, one{p.Line, what})
		}
	}
	slices.SortStableFunc(lines, func(a, b one) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Term, b.Term), cmp.Compare(a.At, b.At))
	})
	for i, l := range lines {
		if i == mostMade {
			return out, len(lines) - i
		}
		out = append(out, happening{fmt.Sprint(l.Index), stamp(l.At), l.Front, l.what})
	}
	return out, 0
}
