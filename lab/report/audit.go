// Package report writes measurements and audit logs as HTML pages, by templates. It is for bin/routertest only, and keeps no state.
package report

import (
	"cmp"
	"embed"
	"errors"
	"fmt"
	"html/template"
	"io"
	"math"
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

// bar is a use of a version on a front's row.
type bar struct {
	X, W    float64
	Colour  string
	Version uint64
	Tip     string
	Open    bool
}

// mark is the beginning of a front's standby.
type mark struct {
	X   float64
	Tip string
}

// row is a front's line of the chart.
type row struct {
	Front string
	Y     float64
	Bars  []bar
	Marks []mark
}

// tick is a label of the axis.
type tick struct {
	X     float64
	Label string
}

// version is what the fronts served on one version.
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

// event is a row of the list of events.
type event struct{ Order, When, Front, What string }

// page is what the template shows.
type page struct {
	Made          string
	Fronts, Lines int
	Violations    []audit.Finding
	Notes         []audit.Finding
	Width, Height float64
	Rows          []row
	Ticks         []tick
	Versions      []version
	Events        []event
	MoreEvents    int
	From, Until   string
	Clock         string
}

const (
	labelWidth = 120.0
	axisWidth  = 1100.0
	rowHeight  = 16.0
	tickCount  = 11
	maxEvents  = 400 // shown
)

// stamp is the time of day of a time in Unix microseconds.
func stamp(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("15:04:05.000")
}

// ErrNoInterval says that the logs hold no interval in which a front used a version.
var ErrNoInterval = errors.New("the audit logs hold no interval")

// Audit writes one page on many fronts' logs: which front used which version when, which were late, and what each version served.
// Events are ordered by cause: the index of the replicated state, then terms; clocks decide only between equal ones. The error is
// ErrNoInterval or that of w.
func Audit(w io.Writer, logs []*audit.FrontLog, findings []audit.Finding) error {
	uses := audit.VersionUses(logs)
	axis, err := newTimeline(uses)
	if err != nil {
		return err
	}
	p := newPage(logs, findings, axis)
	adoptions := map[uint64]*adoption{}
	for i, log := range logs {
		p.Lines += len(log.Lines)
		p.Rows = append(p.Rows, newRow(i, log, uses, axis))
		noteAdoptions(adoptions, log)
	}
	for _, summary := range audit.SummarizeVersions(logs, uses) {
		p.Versions = append(p.Versions, newVersion(summary, adoptions[summary.Version]))
	}
	p.Events, p.MoreEvents = eventsByCause(logs)
	return audits.Execute(w, &p)
}

// timeline places times of the logs, in Unix microseconds, on the page's axis.
type timeline struct{ from, until, maxClockError int64 }

func newTimeline(uses []audit.VersionUse) (t timeline, err error) {
	t.from = math.MaxInt64
	for _, u := range uses {
		t.from = min(t.from, u.Start)
		t.until = max(t.until, u.End)
		t.maxClockError = max(t.maxClockError, u.MaxClockError)
	}
	if t.until <= t.from {
		return t, ErrNoInterval
	}
	return t, nil
}

// x is the place of a time on the axis.
func (t timeline) x(at int64) float64 {
	return labelWidth + axisWidth*float64(at-t.from)/float64(t.until-t.from)
}

func (t timeline) ticks() (ticks []tick) {
	for i := range int64(tickCount) {
		at := t.from + (t.until-t.from)*i/(tickCount-1)
		ticks = append(ticks, tick{t.x(at), stamp(at)})
	}
	return ticks
}

// newPage returns the page without its rows.
func newPage(logs []*audit.FrontLog, findings []audit.Finding, t timeline) page {
	p := page{
		Made:   time.Now().UTC().Format(time.RFC3339),
		Fronts: len(logs),
		Width:  axisWidth + 160,
		Height: rowHeight*float64(len(logs)) + 40,
		From:   time.UnixMicro(t.from).UTC().Format(time.RFC3339),
		Until:  time.UnixMicro(t.until).UTC().Format(time.RFC3339),
		Clock:  (time.Duration(t.maxClockError) * time.Microsecond).String(),
		Ticks:  t.ticks(),
	}
	for _, f := range findings {
		if f.Violation {
			p.Violations = append(p.Violations, f)
		} else {
			p.Notes = append(p.Notes, f)
		}
	}
	return p
}

// newRow is a front's line of the chart: a bar for each use of a version, a mark for each beginning of its standby.
func newRow(index int, log *audit.FrontLog, uses []audit.VersionUse, t timeline) row {
	r := row{Front: log.Front, Y: 24 + rowHeight*float64(index)}
	for _, u := range uses {
		if u.Front == log.Front {
			r.Bars = append(r.Bars, newBar(u, t))
		}
	}
	for _, line := range log.Lines {
		if line.Event == audit.EventConfigLeaseExpired {
			r.Marks = append(r.Marks, mark{t.x(line.At), log.Front + " stood by from " + stamp(line.At)})
		}
	}
	return r
}

func newBar(u audit.VersionUse, t timeline) bar {
	total := uint32(0)
	for _, n := range u.Outcomes {
		total += n
	}
	return bar{
		X:       t.x(u.Start),
		W:       max(1, t.x(u.End)-t.x(u.Start)),
		Colour:  colour(u.Version),
		Version: u.Version,
		Open:    u.Open,
		Tip: fmt.Sprintf("%s on version %d, %s to %s: %d requests, %d succeeded", u.Front, u.Version, stamp(u.Start), stamp(u.End), total,
			u.Outcomes[front.StatusSucceeded]),
	}
}

// adoption is when a version was adopted first and last, in Unix microseconds, and the front that was last.
type adoption struct {
	first, last int64
	lastFront   string
}

// noteAdoptions adds a front's adoptions, by version.
func noteAdoptions(adoptions map[uint64]*adoption, log *audit.FrontLog) {
	for _, line := range log.Lines {
		if line.Event != audit.EventVersionAdopted {
			continue
		}
		a := adoptions[line.Version]
		if a == nil {
			a = &adoption{first: line.At}
			adoptions[line.Version] = a
		}
		a.first = min(a.first, line.At)
		if line.At > a.last {
			a.last, a.lastFront = line.At, log.Front
		}
	}
}

func newVersion(s audit.VersionSummary, a *adoption) version {
	v := version{
		Version:   s.Version,
		Colour:    colour(s.Version),
		Meaning:   s.RulesHash,
		First:     stamp(s.First),
		Last:      stamp(s.Last),
		Fronts:    s.Fronts,
		Succeeded: s.Outcomes[front.StatusSucceeded],
		Rejected:  s.Outcomes[front.StatusRejected],
		Other:     s.Outcomes[front.StatusFailed] + s.Outcomes[front.StatusInvalid] + s.Outcomes[front.StatusAbandoned],
	}
	if a != nil {
		v.Spread = (time.Duration(a.last-a.first) * time.Microsecond).Round(time.Millisecond).String()
		v.LastFront = a.lastFront
	}
	return v
}

func colour(version uint64) string {
	if version == 0 {
		return colours[0]
	}
	return colours[1+int(version-1)%(len(colours)-1)]
}

// eventsByCause returns the logs' events, but for intervals, by cause, and how many more there are than the page shows.
func eventsByCause(logs []*audit.FrontLog) (shown []event, more int) {
	type described struct {
		audit.Line
		description string
	}
	var all []described
	for _, log := range logs {
		for _, line := range log.Lines {
			if text := describe(&line.Line); text != "" {
				all = append(all, described{line.Line, text})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b described) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Term, b.Term), cmp.Compare(a.At, b.At))
	})
	for i, e := range all {
		if i == maxEvents {
			return shown, len(all) - i
		}
		shown = append(shown, event{fmt.Sprint(e.Index), stamp(e.At), e.Front, e.description})
	}
	return shown, 0
}

// describe says in words what a line records; "" for lines that the list of events leaves out.
func describe(line *audit.Line) string {
	switch line.Event {
	case audit.EventVersionAdopted:
		return fmt.Sprintf("acts on version %d (%s)", line.Version, line.RulesHash)
	case audit.EventVersionRejected:
		return fmt.Sprintf("rejected version %d: %s", line.Version, line.Reason)
	case audit.EventLeaseAcquired:
		return fmt.Sprintf("holds %s in term %d", line.Lease, line.Term)
	case audit.EventLeaseEnded:
		return fmt.Sprintf("holds %s no more: %s", line.Lease, line.Reason)
	case audit.EventConfigLeaseExpired:
		return "stands by: its configuration lease expired"
	case audit.EventConfigLeaseAcquired:
		return "takes requests: it has a configuration lease"
	case audit.EventProcessStarted:
		return "starts, with version " + fmt.Sprint(line.Version)
	case audit.EventProcessStopped:
		return "ends"
	case audit.EventLinesLost, audit.EventTailTruncated, audit.EventSegmentRemoved:
		return "audit: " + line.Event + " " + line.Reason
	}
	return ""
}
