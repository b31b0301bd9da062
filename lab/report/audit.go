// Package report renders audit logs as an HTML page from a template. Only bin/routertest uses it. It keeps no state.
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
var templateFiles embed.FS

// auditTemplate is the template of the audit page. Its data is a page.
var auditTemplate = template.Must(template.ParseFS(templateFiles, "audit.html"))

// colours are the colours of versions. The first is for version 0, which is a front's own configuration file. The others are reused in
// turn.
var colours = []string{"#c8ccd0", "#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377"}

// bar is a chart bar on a front's row. It shows an interval in which the front used a version.
type bar struct {
	X, W    float64
	Colour  string
	Version uint64
	Tooltip string
	Open    bool // the log does not record how the interval ended
}

// mark is a chart mark on a front's row. It shows when the front began to stand by.
type mark struct {
	X       float64
	Tooltip string
}

// row is the row of one front in the chart.
type row struct {
	Front string
	Y     float64
	Bars  []bar
	Marks []mark
}

// tick is a tick of the time axis.
type tick struct {
	X     float64
	Label string
}

// version is a row of the table of versions. It summarizes what all fronts served on one version.
type version struct {
	Version             uint64
	Colour, RulesHash   string
	First, Last         string
	Fronts              int
	Succeeded, Rejected uint32
	Other               uint32
	AdoptionSpan        string // time between the first and the last adoption
	LastFront           string // the front that adopted the version last
}

// event is a row of the table of events.
type event struct{ Index, Time, Front, Description string }

// page is the data of the template.
type page struct {
	GeneratedAt   string
	Fronts, Lines int
	Violations    []audit.Finding
	Notes         []audit.Finding
	Width, Height float64
	Rows          []row
	Ticks         []tick
	Versions      []version
	Events        []event
	MoreEvents    int // number of events that the page does not show
	From, Until   string
	MaxClockError string
}

// Dimensions of the chart in pixels, and limits of the page.
const (
	labelWidth = 120.0
	axisWidth  = 1100.0
	rowHeight  = 16.0
	tickCount  = 11
	maxEvents  = 400 // maximum number of events that the page shows
)

// formatTime formats a time in Unix microseconds as a UTC time of day.
func formatTime(micros int64) string {
	return time.UnixMicro(micros).UTC().Format("15:04:05.000")
}

// ErrNoInterval means that the logs contain no interval in which a front used a version.
var ErrNoInterval = errors.New("the audit logs hold no interval")

// Audit writes an HTML page about the audit logs of many fronts to w. The page shows which front used which version at what time, which
// fronts adopted a version late, and the outcomes of the requests on each version. It orders events causally: by the index of the
// replicated state, then by term, and only then by the fronts' clocks. The error is ErrNoInterval or an error of w.
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
		addAdoptions(adoptions, log)
	}
	for _, summary := range audit.SummarizeVersions(logs, uses) {
		p.Versions = append(p.Versions, newVersion(summary, adoptions[summary.Version]))
	}
	p.Events, p.MoreEvents = causallyOrderedEvents(logs)
	return auditTemplate.Execute(w, &p)
}

// timeline is the time axis of the chart. Its times are Unix microseconds, and maxClockError is in microseconds.
type timeline struct{ from, until, maxClockError int64 }

// newTimeline returns an axis that covers all uses of versions. The error is ErrNoInterval.
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

// x returns the horizontal position of a time on the axis.
func (t timeline) x(at int64) float64 {
	return labelWidth + axisWidth*float64(at-t.from)/float64(t.until-t.from)
}

// ticks returns the ticks of the axis, evenly spaced.
func (t timeline) ticks() (ticks []tick) {
	for i := range int64(tickCount) {
		at := t.from + (t.until-t.from)*i/(tickCount-1)
		ticks = append(ticks, tick{t.x(at), formatTime(at)})
	}
	return ticks
}

// newPage returns the page without rows, versions and events.
func newPage(logs []*audit.FrontLog, findings []audit.Finding, t timeline) page {
	p := page{
		GeneratedAt:   time.Now().UTC().Format(time.RFC3339),
		Fronts:        len(logs),
		Width:         axisWidth + 160,
		Height:        rowHeight*float64(len(logs)) + 40,
		From:          time.UnixMicro(t.from).UTC().Format(time.RFC3339),
		Until:         time.UnixMicro(t.until).UTC().Format(time.RFC3339),
		MaxClockError: (time.Duration(t.maxClockError) * time.Microsecond).String(),
		Ticks:         t.ticks(),
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

// newRow returns a front's row of the chart. It has a bar for each use of a version, and a mark each time the front began to stand by.
func newRow(index int, log *audit.FrontLog, uses []audit.VersionUse, t timeline) row {
	r := row{Front: log.Front, Y: 24 + rowHeight*float64(index)}
	for _, u := range uses {
		if u.Front == log.Front {
			r.Bars = append(r.Bars, newBar(u, t))
		}
	}
	for _, line := range log.Lines {
		if line.Event == audit.EventConfigLeaseExpired {
			r.Marks = append(r.Marks, mark{t.x(line.At), log.Front + " stood by from " + formatTime(line.At)})
		}
	}
	return r
}

// newBar returns the bar of one use of a version.
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
		Tooltip: fmt.Sprintf("%s on version %d, %s to %s: %d requests, %d succeeded", u.Front, u.Version, formatTime(u.Start),
			formatTime(u.End), total, u.Outcomes[front.StatusSucceeded]),
	}
}

// adoption holds the times of a version's first and last adoption in Unix microseconds, and the front that adopted it last.
type adoption struct {
	first, last int64
	lastFront   string
}

// addAdoptions adds the adoptions in a front's log to adoptions, which is keyed by version.
func addAdoptions(adoptions map[uint64]*adoption, log *audit.FrontLog) {
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

// newVersion returns the table row of a version. The adoption is nil if no log records one.
func newVersion(s audit.VersionSummary, a *adoption) version {
	v := version{
		Version:   s.Version,
		Colour:    colour(s.Version),
		RulesHash: s.RulesHash,
		First:     formatTime(s.First),
		Last:      formatTime(s.Last),
		Fronts:    s.Fronts,
		Succeeded: s.Outcomes[front.StatusSucceeded],
		Rejected:  s.Outcomes[front.StatusRejected],
		Other:     s.Outcomes[front.StatusFailed] + s.Outcomes[front.StatusInvalid] + s.Outcomes[front.StatusAbandoned],
	}
	if a != nil {
		v.AdoptionSpan = (time.Duration(a.last-a.first) * time.Microsecond).Round(time.Millisecond).String()
		v.LastFront = a.lastFront
	}
	return v
}

// colour returns the colour of a version.
func colour(version uint64) string {
	if version == 0 {
		return colours[0]
	}
	return colours[1+int(version-1)%(len(colours)-1)]
}

// causallyOrderedEvents returns the events of all logs in causal order, without intervals. It returns at most maxEvents of them, and
// the number of events that were left out.
func causallyOrderedEvents(logs []*audit.FrontLog) (shown []event, more int) {
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
		shown = append(shown, event{fmt.Sprint(e.Index), formatTime(e.At), e.Front, e.description})
	}
	return shown, 0
}

// describe returns a description of the event that a line records, or "" if the table of events leaves the line out.
func describe(line *audit.Line) string {
	switch line.Event {
	case audit.EventVersionAdopted:
		return fmt.Sprintf("acts on version %d (%s)", line.Version, line.RulesHash)
	case audit.EventVersionRejected:
		return fmt.Sprintf("rejected version %d: %s", line.Version, line.Reason)
	case audit.EventLeaseAcquired:
		return fmt.Sprintf("holds %s in term %d", line.Lease, line.Term)
	case audit.EventLeaseEnded:
		return fmt.Sprintf("no longer holds %s: %s", line.Lease, line.Reason)
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
