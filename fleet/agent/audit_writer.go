package agent

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// auditWriter writes audit lines to segment files. Lines wait in a bounded queue; those that do not fit are counted, and the count is
// written as a gap. One goroutine writes: run.
type auditWriter struct {
	agent     *Agent
	config    *audit.Config
	segments  *disk.Segments
	collector *auditCollector
	exports   segmentExports

	queue   chan queueEntry
	dating  entryDates
	lost    atomic.Uint64 // lines that did not fit and are not written as a gap yet
	written atomic.Uint64
	index   atomic.Uint64 // of the replicated state
	failing bool          // of run: the last write failed
	stopped chan struct{} // closed when run returns
}

// queueEntry is a line, an interval or a sync, one of them, on its way to the files; none of them ends the writer.
type queueEntry struct {
	line     *audit.Line
	interval *audit.Interval
	date     int64 // of the interval, Unix microseconds
	sync     chan struct{}
}

// entryDates dates entries in the order in which they are queued.
type entryDates struct {
	mu   sync.Mutex // held while an entry is dated and queued
	last int64
}

const (
	auditQueueLength = 4096
	syncTimeout      = time.Second
	// Bounds of what close waits for: room in the queue, and what is queued to be written.
	closeQueueTimeout = time.Second
	closeWriteTimeout = 2 * time.Second
)

func newAuditWriter(a *Agent, c *audit.Config) (*auditWriter, error) {
	w := &auditWriter{agent: a, config: c, queue: make(chan queueEntry, auditQueueLength), stopped: make(chan struct{})}
	w.exports.done = map[string]bool{}
	var err error
	if w.segments, err = disk.OpenSegments(c.LogDir, a.name, c.SegmentBytes, c.MaxTotalBytes); err != nil {
		return nil, err
	}
	w.segments.Stamp = w.stamp
	w.collector, err = newAuditCollector(w)
	return w, err
}

// start starts the writer's goroutines and queues the line that says that the process started.
func (w *auditWriter) start() {
	a := w.agent
	go w.run() // ends with close, which waits for stopped
	a.writeAudit(&audit.Line{
		Event:         audit.EventProcessStarted,
		Program:       a.program,
		RequestTypes:  a.settings.TypeNames,
		MaxClockError: w.config.MaxClockError.Microseconds(),
		Version:       a.initial.Version,
		RulesHash:     a.initial.Rules.Digest(),
	})
	go w.export() // not waited for: a folder on a server that is away may hold it up
	a.goroutines.Go(w.collector.serve)
	if w.collector.fetches != nil {
		a.goroutines.Go(w.collector.run)
	}
}

// stamp adds to a line which front wrote it, and when.
func (w *auditWriter) stamp(l *audit.Line) {
	l.Front, l.Incarnation = w.agent.name, w.agent.incarnation
	if l.At == 0 {
		l.At = w.agent.wallNow()
	}
	if l.Index == 0 {
		l.Index = w.index.Load()
	}
}

// date gives an entry its date, never one before the last; w.dating.mu must be held.
func (w *auditWriter) date(e *queueEntry) {
	at := w.agent.wallNow()
	if e.line != nil && e.line.At > 0 {
		at = e.line.At
	}
	w.dating.last = max(w.dating.last, at)
	e.date = w.dating.last
	if e.line != nil {
		e.line.At = w.dating.last
	}
}

// enqueue dates and queues an entry; it never blocks on the queue, and reports whether there was room.
func (w *auditWriter) enqueue(e queueEntry) bool {
	w.dating.mu.Lock()
	defer w.dating.mu.Unlock()
	w.date(&e)
	select {
	case w.queue <- e:
		return true
	default:
		w.lost.Add(1)
		return false
	}
}

// run writes queued entries until an empty one comes.
func (w *auditWriter) run() {
	defer close(w.stopped)
	for e := range w.queue {
		if n := w.lost.Swap(0); n > 0 {
			w.segments.CountLost(n, "lines came faster than they could be written")
		}
		switch {
		case e.sync != nil:
			if err := w.segments.Sync(); err != nil {
				slog.Warn("audit: sync failed", "err", err)
			}
			close(e.sync)
		case e.line == nil && e.interval == nil:
			return
		case e.interval != nil:
			l, index := w.intervalLine(e.interval)
			l.At = e.date
			w.write(l, index)
		default:
			w.write(e.line, nil)
		}
	}
}

func (w *auditWriter) write(l *audit.Line, index []byte) {
	w.stamp(l)
	err := w.segments.Write(l, index)
	if (err != nil) != w.failing {
		if w.failing = err != nil; w.failing {
			slog.Error("audit: writing failed; requests are served on, and the gap will be recorded", "err", err)
		} else {
			slog.Info("audit: writing resumed")
		}
	}
	w.written.Add(1)
}

// intervalLine is an interval's line, and its part of the segment's index.
func (w *auditWriter) intervalLine(s *audit.Interval) (l *audit.Line, index []byte) {
	l = &audit.Line{
		Event:                audit.EventInterval,
		Interval:             s.Number,
		Start:                w.agent.wallMicros(s.Start),
		End:                  w.agent.wallMicros(s.End),
		Version:              s.Version,
		EndpointListVersions: s.EndpointListVersions[:],
		Standby:              s.Standby,
		Requests:             len(s.IDs),
	}
	if s.ConfigLeaseExpiry > 0 {
		l.ConfigLeaseExpiry = w.agent.wallMicros(s.ConfigLeaseExpiry)
	}
	for _, ofType := range s.Outcomes {
		l.Outcomes = append(l.Outcomes, ofType[:])
	}
	index, l.IndexHash = audit.EncodeIndex(s)
	return l, index
}

// close writes what is queued, closes the files and exports the last segment.
func (w *auditWriter) close() {
	select {
	case w.queue <- queueEntry{}:
		select {
		case <-w.stopped:
		case <-time.After(closeWriteTimeout):
		}
	case <-time.After(closeQueueTimeout):
	}
	if err := w.segments.Close(); err != nil {
		slog.Warn("audit: segment not closed", "err", err)
	}
	w.exportAll()
}

// writeAudit queues an audit line, where there is an audit.
func (a *Agent) writeAudit(l *audit.Line) {
	if a.audit != nil {
		a.audit.enqueue(queueEntry{line: l})
	}
}

// syncAudit waits until what was queued is on disk, for syncTimeout at most.
func (a *Agent) syncAudit() {
	if a.audit == nil {
		return
	}
	done := make(chan struct{})
	if a.audit.enqueue(queueEntry{sync: done}) {
		select {
		case <-done:
		case <-time.After(syncTimeout):
		}
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
