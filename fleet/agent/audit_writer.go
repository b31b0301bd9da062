package agent

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// auditWriter writes audit lines to segments. Lines wait in a bounded queue. Lines that do not fit are counted, and the count is recorded
// as a gap. Only the goroutine of run writes.
type auditWriter struct {
	agent     *Agent
	config    *audit.Config
	segments  *disk.Segments
	collector *auditCollector
	exports   segmentExports

	queue      chan queueEntry
	queuedIDs  atomic.Int64 // request ids of the intervals in the queue
	timestamps entryTimestamps
	lost       atomic.Uint64 // lines that did not fit into the queue and are not recorded as a gap yet
	written    atomic.Uint64
	index      atomic.Uint64 // index of the replicated state
	failing    bool          // the last write failed; used by run only
	stopped    chan struct{} // closed when run returns
}

// queueEntry is an entry of the writer's queue: exactly one of a line, an interval or a request to sync. An entry without any of them
// ends the writer.
type queueEntry struct {
	line      *audit.Line
	interval  *audit.Interval
	timestamp int64         // time of the entry, Unix microseconds
	sync      chan struct{} // closed after the sync
}

// entryTimestamps assigns timestamps to entries, so that they never decrease in the order of the queue.
type entryTimestamps struct {
	mu   sync.Mutex // held while an entry gets its timestamp and is queued
	last int64      // timestamp of the last entry
}

const (
	auditQueueLength  = 4096            // entries
	maxQueuedIDs      = 8 << 20         // request ids, 8 bytes each, of the intervals in the queue
	syncTimeout       = time.Second     // how long syncAudit waits
	closeQueueTimeout = time.Second     // how long close waits for room in the queue
	closeWriteTimeout = 2 * time.Second // how long close then waits until the queued entries are written
)

// newAuditWriter opens the front's audit log and creates its collector. A log on a disk that is full or failing is opened by run. The
// writer runs from start to close.
func newAuditWriter(a *Agent, c *audit.Config) (*auditWriter, error) {
	w := &auditWriter{agent: a, config: c, queue: make(chan queueEntry, auditQueueLength), stopped: make(chan struct{})}
	w.exports.done = map[string]bool{}
	w.segments = disk.NewSegments(c.LogDir, a.name, c.SegmentBytes, c.MaxTotalBytes)
	w.segments.Stamp, w.segments.Calls = w.stamp, a.calls
	switch err := w.segments.Open(); {
	case err == nil:
	case disk.IsTransient(err):
		slog.Error("audit: log can't be opened; retrying, requests are still served; make room or repair the disk", "dir", c.LogDir, "err", err)
	default:
		return nil, err
	}
	var err error
	w.collector, err = newAuditCollector(w)
	return w, err
}

// start starts the goroutines of the writer, and queues the line that records the start of the process.
func (w *auditWriter) start() {
	a := w.agent
	go w.run() // close ends it and waits for stopped
	a.writeAudit(&audit.Line{
		Event:         audit.EventProcessStarted,
		Program:       a.program,
		RequestTypes:  a.settings.TypeNames,
		MaxClockError: w.config.MaxClockError.Microseconds(),
		Version:       a.initial.Version,
		RulesHash:     a.initial.Rules.Digest(),
	})
	go w.runExports() // close does not wait for it: an export directory on a server that is unreachable may block it
	a.goroutines.Go(w.collector.serve)
	if w.config.CollectDir != "" {
		a.goroutines.Go(w.collector.run)
	}
}

// stamp sets the front, the time and the index of the replicated state of a line, as far as they are not set yet.
func (w *auditWriter) stamp(l *audit.Line) {
	l.Front, l.Incarnation = w.agent.name, w.agent.incarnation
	if l.At == 0 {
		l.At = w.agent.wallNow()
	}
	if l.Index == 0 {
		l.Index = w.index.Load()
	}
}

// setTimestamp sets the timestamp of an entry, which is never earlier than that of the entry before; w.timestamps.mu must be held.
func (w *auditWriter) setTimestamp(e *queueEntry) {
	at := w.agent.wallNow()
	if e.line != nil && e.line.At > 0 {
		at = e.line.At
	}
	w.timestamps.last = max(w.timestamps.last, at)
	e.timestamp = w.timestamps.last
	if e.line != nil {
		e.line.At = w.timestamps.last
	}
}

// requestIDs returns how many request ids an entry holds.
func (e *queueEntry) requestIDs() int64 {
	if e.interval == nil {
		return 0
	}
	return int64(len(e.interval.IDs))
}

// enqueue sets the timestamp of an entry and queues it. It never blocks on a full queue: the line is then counted as lost, and enqueue
// returns false.
func (w *auditWriter) enqueue(e queueEntry) bool {
	w.timestamps.mu.Lock()
	defer w.timestamps.mu.Unlock()
	w.setTimestamp(&e)
	if w.hasRoom(&e) {
		select {
		case w.queue <- e:
			return true
		default:
			w.queuedIDs.Add(-e.requestIDs())
		}
	}
	if e.sync == nil {
		w.lost.Add(1)
	}
	return false
}

// hasRoom reports whether the request ids of an entry fit into the queue, and then counts them as queued; w.timestamps.mu must be held.
func (w *auditWriter) hasRoom(e *queueEntry) bool {
	ids := e.requestIDs()
	if ids > 0 && w.queuedIDs.Load()+ids > maxQueuedIDs {
		return false
	}
	w.queuedIDs.Add(ids)
	return true
}

// awaitLog opens the log, if it is not open yet. It retries until it succeeds or the log can't be used. When the agent stops, it tries once
// more, since the entries that wait in the queue are lost otherwise.
func (w *auditWriter) awaitLog() {
	if w.segments.Opened() {
		return
	}
	err := w.agent.retryWhileDiskFails(w.segments.Open)
	if errors.Is(err, context.Canceled) {
		err = w.segments.Open()
	}
	switch {
	case err == nil:
		slog.Info("audit: log opened after retries", "dir", w.config.LogDir)
	case !disk.IsTransient(err):
		slog.Error("audit: log can't be used; nothing is recorded until a restart", "dir", w.config.LogDir, "err", err)
	}
}

// run opens the log, if it is not open yet, and then writes queued entries until it receives an empty entry.
func (w *auditWriter) run() {
	defer close(w.stopped)
	w.awaitLog()
	for e := range w.queue {
		w.queuedIDs.Add(-e.requestIDs())
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
			l.At = e.timestamp
			w.write(l, index)
		default:
			w.write(e.line, nil)
		}
	}
}

// write writes a line and its part of the index. It logs when writing begins to fail, and when it succeeds again.
func (w *auditWriter) write(l *audit.Line, index []byte) {
	w.stamp(l)
	err := w.segments.Write(l, index)
	if (err != nil) != w.failing {
		if w.failing = err != nil; w.failing {
			slog.Error("audit: writing failed; requests are still served, and the gap will be recorded", "err", err)
		} else {
			slog.Info("audit: writing resumed")
		}
	}
	w.written.Add(1)
}

// intervalLine returns the line that records an interval, and the interval's part of the segment's index.
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

// close writes what is queued, closes the open segment and exports it. Its waits are bounded by closeQueueTimeout and closeWriteTimeout.
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

// writeAudit queues an audit line, if an audit is configured.
func (a *Agent) writeAudit(l *audit.Line) {
	if a.audit != nil {
		a.audit.enqueue(queueEntry{line: l})
	}
}

// syncAudit waits until all lines queued so far are on disk, for syncTimeout at most.
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

// recordIndex stores the index of the replicated state for the audit lines that follow.
func (a *Agent) recordIndex(n *fleet.Node) {
	if a.audit != nil {
		a.audit.index.Store(max(n.State().Index, a.audit.index.Load()))
	}
}

// auditEvent records the acquisition and the end of a lease in the audit log. Other events are ignored.
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
