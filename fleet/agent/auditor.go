package agent

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/front"
)

// auditor writes audit lines to files. Lines wait in a bounded queue; what does not fit is counted, and the count is written.
type auditor struct {
	agent     *Agent
	config    *audit.Config
	segments  *disk.Segments
	queue     chan queueEntry
	missed    atomic.Uint64
	failing   bool
	index     atomic.Uint64 // of the replicated state
	written   atomic.Uint64
	exported  atomic.Uint64
	ended     chan struct{}
	collector *collector

	dating sync.Mutex // held while an entry is dated and queued
	dated  int64      // the last date

	exporting        sync.Mutex
	exportedSegments map[string]bool // exported, or removed meanwhile
	exportFailing    bool
}

// queueEntry is a line, a span or a sync, one of them, on its way to the files.
type queueEntry struct {
	line *audit.Line
	span *audit.Interval
	date int64 // of the span, Unix microseconds
	sync chan struct{}
}

const auditQueueLength = 4096

func newAuditor(a *Agent, c *audit.Config) (*auditor, error) {
	w := &auditor{agent: a, config: c, queue: make(chan queueEntry, auditQueueLength), ended: make(chan struct{}), exportedSegments: map[string]bool{}}
	var err error
	if w.segments, err = disk.OpenSegments(c.LogDir, a.name, c.SegmentBytes, c.MaxTotalBytes); err != nil {
		return nil, err
	}
	w.segments.Stamp = w.sign
	w.collector, err = newCollector(w)
	return w, err
}

// sign adds to a line which front wrote it, and when.
func (w *auditor) sign(l *audit.Line) {
	l.Front, l.Incarnation = w.agent.name, w.agent.incarnation
	if l.At == 0 {
		l.At = w.agent.wallNow()
	}
	if l.Index == 0 {
		l.Index = w.index.Load()
	}
}

// date gives an entry its date, never one before the last: lines are read in the order in which they are queued.
func (w *auditor) date(e *queueEntry) {
	at := w.agent.wallNow()
	if e.line != nil && e.line.At > 0 {
		at = e.line.At
	}
	w.dated = max(w.dated, at)
	e.date = w.dated
	if e.line != nil {
		e.line.At = w.dated
	}
}

// enqueue dates and queues an entry; it never blocks on the queue, and reports whether there was room.
func (w *auditor) enqueue(e queueEntry) bool {
	w.dating.Lock()
	defer w.dating.Unlock()
	w.date(&e)
	select {
	case w.queue <- e:
		return true
	default:
		w.missed.Add(1)
		return false
	}
}

// run writes queued entries until an empty one comes.
func (w *auditor) run() {
	defer close(w.ended)
	for e := range w.queue {
		if n := w.missed.Swap(0); n > 0 {
			w.segments.CountLost(n, "lines came faster than they could be written")
		}
		switch {
		case e.sync != nil:
			w.segments.Sync()
			close(e.sync)
		case e.line == nil && e.span == nil:
			return
		case e.span != nil:
			l, ids := w.spanLine(e.span)
			l.At = e.date
			w.write(l, ids)
		default:
			w.write(e.line, nil)
		}
	}
}

func (w *auditor) write(l *audit.Line, ids []byte) {
	w.sign(l)
	err := w.segments.Write(l, ids)
	if (err != nil) != w.failing {
		if w.failing = err != nil; w.failing {
			slog.Error("audit: lines can't be written; service goes on, and the gap will be told", "why", err)
		} else {
			slog.Info("audit: lines are written again")
		}
	}
	w.written.Add(1)
}

func (w *auditor) spanLine(s *audit.Interval) (*audit.Line, []byte) {
	l := &audit.Line{Event: audit.EventInterval, Interval: s.Number, Start: w.agent.wallMicros(s.Start), End: w.agent.wallMicros(s.End), Version: s.Version, EndpointListVersions: s.EndpointListVersions[:],
		Standby: s.Standby, Requests: len(s.IDs)}
	if s.ConfigLeaseExpiry > 0 {
		l.ConfigLeaseExpiry = w.agent.wallMicros(s.ConfigLeaseExpiry)
	}
	for _, ty := range s.Outcomes {
		l.Outcomes = append(l.Outcomes, ty[:])
	}
	var ids []byte
	ids, l.IndexHash = audit.EncodeIndex(s)
	return l, ids
}

// export copies closed segments as they come, each once.
func (w *auditor) export() {
	for {
		w.exportAll()
		select {
		case <-w.agent.ctx.Done():
			return
		case <-time.After(w.agent.config.LeaseDuration):
		}
	}
}

// exportAll copies closed segments that were not copied yet. After a crash a segment may be tried again: a copy that is there
// already, and is the same, counts.
func (w *auditor) exportAll() {
	if w.config.ExportDir == "" {
		return
	}
	w.exporting.Lock()
	defer w.exporting.Unlock()
	for _, name := range w.segments.Sealed() {
		if w.exportedSegments[name] {
			continue
		}
		err := disk.ExportSegment(w.config.LogDir, name, w.config.ExportDir)
		if errors.Is(err, os.ErrNotExist) {
			if _, gone := os.Stat(filepath.Join(w.config.LogDir, name+audit.LogSuffix)); gone != nil { // removed meanwhile, to keep the budget
				w.exportedSegments[name] = true
				continue
			}
		}
		if (err != nil) != w.exportFailing {
			if w.exportFailing = err != nil; w.exportFailing {
				slog.Error("audit: a segment can't be exported; it is tried again", "segment", name, "why", err)
			}
		}
		if err != nil {
			return
		}
		w.exportedSegments[name] = true
		w.exported.Add(1)
	}
}

// close writes what is queued and closes the files.
func (w *auditor) close() {
	select {
	case w.queue <- queueEntry{}:
		select {
		case <-w.ended:
		case <-time.After(2 * time.Second):
		}
	case <-time.After(time.Second):
	}
	w.segments.Close()
	w.exportAll()
}

// writeAudit queues an audit line, where there is an audit.
func (a *Agent) writeAudit(l *audit.Line) {
	if a.audit != nil {
		a.audit.enqueue(queueEntry{line: l})
	}
}

// syncAudit waits until what was queued is on disk, for a second at most.
func (a *Agent) syncAudit() {
	if a.audit == nil {
		return
	}
	done := make(chan struct{})
	if a.audit.enqueue(queueEntry{sync: done}) {
		select {
		case <-done:
		case <-time.After(time.Second):
		}
	}
}

// wallNow is the wall clock as it was at the start and has gone on since, in Unix microseconds: one that is stepped meanwhile dates
// nothing backwards.
func (a *Agent) wallNow() int64 {
	if a.Clock == nil { // it has not started
		return time.Now().UnixMicro()
	}
	return a.wallMicros(a.Clock())
}

// wallMicros is a time of the core's clock as Unix microseconds.
func (a *Agent) wallMicros(at time.Duration) int64 { return a.StartedAt.Add(at).UnixMicro() }

// CoreHooks is what the front's core needs of this agent: call it once, before the core runs. It is zero where no form needs it.
func (a *Agent) CoreHooks() (b front.FleetOptions) {
	if a.auditLog == nil {
		return b
	}
	b.Auditor = a.auditLog
	if a.rollout != nil {
		b.Clock, b.OnStandby = a.Clock, a.onStandby
	}
	return b
}

// startParts starts the parts of the forms roll and audit. The version that the front begins with goes to its core first.
func (a *Agent) startParts() {
	if a.initial.Rules != nil || a.rollout != nil {
		a.Post(a.initial)
	}
	if a.audit != nil {
		go a.audit.run()
		a.writeAudit(&audit.Line{Event: audit.EventProcessStarted, Program: a.program, RequestTypes: a.site.TypeNames, MaxClockError: a.audit.config.MaxClockError.Microseconds(), Version: a.initial.Version, RulesHash: a.initial.Rules.Digest()})
		go a.audit.export()
		a.goroutines.Go(a.audit.collector.serve)
		if a.audit.collector.gatherer != nil {
			a.goroutines.Go(a.audit.collector.run)
		}
		a.goroutines.Go(func() {
			t := time.NewTicker(audit.MaxIntervalDuration / 6)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					a.Post(front.AuditTick{})
				case <-a.ctx.Done():
					return
				}
			}
		})
	}
	if a.rollout != nil {
		a.history.noteVersion(a.mesh, "adopted", a.initial.Version)
		a.goroutines.Go(a.rollout.run)
	}
}

// noteIndex records the index of the replicated state, for the audit lines that follow.
func (a *Agent) noteIndex(n *fleet.Node) {
	if a.audit != nil {
		a.audit.index.Store(max(n.State().Index, a.audit.index.Load()))
	}
}

// auditEvent writes an event of the fleet into the audit.
func (a *Agent) auditEvent(e fleet.Event) {
	if a.audit == nil {
		return
	}
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		a.writeAudit(&audit.Line{Event: audit.EventLeaseAcquired, Lease: e.Lease, Term: e.Term})
	case fleet.LeaseEnded:
		a.writeAudit(&audit.Line{Event: audit.EventLeaseEnded, Lease: e.Lease, Term: e.Term, LeaseActions: e.Broadcasts, Reason: e.Reason})
	}
}
