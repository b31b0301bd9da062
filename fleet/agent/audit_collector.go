package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// auditCollector fetches the audit segments of other fronts into this front's collection directory, and sends this front's own segments
// to fronts that request them.
type auditCollector struct {
	writer    *auditWriter
	fetches   *audit.Collector // nil if this front collects nothing, and until the directory is open; used by run only
	requests  chan fetchRequest
	responses chan fetchResponse
}

// fetchRequest is another front's request for the names of this front's segments, or for a part of one.
type fetchRequest struct {
	from    string
	request *audit.FetchRequest
}

// fetchResponse is another front's response to a request of this front.
type fetchResponse struct {
	from     string
	response *audit.FetchResponse
}

// collectorQueueLength is how many requests, and how many responses, may wait.
const collectorQueueLength = 64

// newAuditCollector returns the collector of a writer. If this front collects segments, it opens the collection directory; one on a disk
// that is full or failing is opened by run.
func newAuditCollector(w *auditWriter) (*auditCollector, error) {
	c := &auditCollector{writer: w, requests: make(chan fetchRequest, collectorQueueLength), responses: make(chan fetchResponse, collectorQueueLength)}
	if w.config.CollectDir == "" {
		return c, nil
	}
	switch err := c.openDirectory(); {
	case disk.IsTransient(err):
		slog.Error("audit: collection can't begin; retrying; make room or repair the disk", "err", err)
	case err != nil:
		return nil, err
	}
	return c, nil
}

// openDirectory creates the collection directory, if necessary, and continues after the segments that are already there.
func (c *auditCollector) openDirectory() error {
	config := c.writer.config
	if err := c.writer.agent.calls.MkdirAll(config.CollectDir, 0o700); err != nil {
		return fmt.Errorf("directory of collected audit segments: %w", err)
	}
	collected, err := disk.ListSegments(config.CollectDir, "")
	if err != nil {
		return err
	}
	c.fetches = audit.NewCollector(config.CollectBytesPerSecond, c.writer.agent.config.LeaseDuration, collected)
	return nil
}

// awaitDirectory opens the collection directory, if it is not open yet. It retries until it succeeds, and returns false if the directory
// can't be used or the agent stops.
func (c *auditCollector) awaitDirectory() bool {
	if c.fetches != nil {
		return true
	}
	err := c.writer.agent.retryWhileDiskFails(c.openDirectory)
	if err != nil && !errors.Is(err, context.Canceled) {
		slog.Error("audit: collection directory can't be used; nothing is collected until a restart", "err", err)
	}
	return err == nil
}

// onDatagram queues another front's request or response. If the queue is full the message is dropped; the requesting front repeats its
// request.
func (c *auditCollector) onDatagram(e fleet.DatagramReceived) {
	request, response := audit.DecodeDatagram(e.Data)
	switch {
	case response != nil:
		select {
		case c.responses <- fetchResponse{e.From, response}:
		default:
		}
	case request != nil:
		select {
		case c.requests <- fetchRequest{e.From, request}:
		default:
		}
	}
}

// serve responds to the requests of other fronts for this front's segments, one after the other, until the agent stops. It leaves a request
// without a response that can't be answered now.
func (c *auditCollector) serve() {
	a := c.writer.agent
	for {
		select {
		case <-a.ctx.Done():
			return
		case r := <-c.requests:
			response, ok := c.respond(*r.request)
			if !ok {
				continue
			}
			a.mesh.Do(func(n *fleet.Node, now time.Duration) {
				n.SendDatagram(now, r.from, audit.Subsystem, response.Encode())
			})
		}
	}
}

// respond returns the response to a request: the names of this front's closed segments, or a chunk of one of their files. ok is false while
// the log is not open or its disk fails: the other front then repeats its request, and does not take a segment for removed.
func (c *auditCollector) respond(q audit.FetchRequest) (r audit.FetchResponse, ok bool) {
	r.Request = q
	if !c.writer.segments.Opened() {
		return r, false
	}
	closed := c.writer.segments.ClosedSegments()
	if q.Name == "" {
		r.Names = audit.SegmentsAfter(closed, q.After)
		return r, true
	}
	if !slices.Contains(closed, q.Name) {
		r.Removed = true
		return r, true
	}
	err := c.readChunk(&r)
	r.Removed = err != nil
	return r, !disk.IsTransient(err)
}

// readChunk reads the chunk that a response's request asks for.
func (c *auditCollector) readChunk(r *audit.FetchResponse) error {
	suffix := audit.LogSuffix
	if r.Request.Index {
		suffix = audit.IndexSuffix
	}
	f, err := os.Open(filepath.Join(c.writer.config.LogDir, r.Request.Name+suffix))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	if info, err := f.Stat(); err == nil {
		r.Total = info.Size()
	}
	b := make([]byte, audit.ChunkBytes)
	n, err := f.ReadAt(b, r.Request.Offset)
	r.Data = b[:n]
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// run requests the segments of other fronts, and stores those that are complete, until the agent stops.
func (c *auditCollector) run() {
	if !c.awaitDirectory() {
		return
	}
	a := c.writer.agent
	t := time.NewTicker(a.config.LeaseDuration / 6)
	defer t.Stop()
	failing := false
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		case r := <-c.responses:
			for _, f := range c.fetches.OnResponse(a.mesh.Now(), r.from, r.response) {
				err := disk.WriteOnce(c.writer.config.CollectDir, f.Name, f.Data)
				if err != nil && !failing {
					slog.Error("audit: collected segment not stored", "file", f.Name, "err", err)
				}
				failing = err != nil
			}
		}
		a.mesh.Do(c.sendRequests)
	}
}

// sendRequests sends the requests that are due now.
func (c *auditCollector) sendRequests(n *fleet.Node, now time.Duration) {
	fronts := slices.Collect(maps.Keys(n.State().Fronts))
	for _, fetch := range c.fetches.Step(now, fronts) {
		n.SendDatagram(now, fetch.Front, audit.Subsystem, fetch.Request.Encode())
	}
}
