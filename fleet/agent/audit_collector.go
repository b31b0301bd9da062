package agent

import (
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
	fetches   *audit.Collector // nil if this front collects nothing; used by run only
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

// newAuditCollector returns the collector of a writer. If this front collects segments, it creates the collection directory and continues
// after the segments that are already there.
func newAuditCollector(w *auditWriter) (*auditCollector, error) {
	c := &auditCollector{writer: w, requests: make(chan fetchRequest, collectorQueueLength), responses: make(chan fetchResponse, collectorQueueLength)}
	if w.config.CollectDir == "" {
		return c, nil
	}
	if err := os.MkdirAll(w.config.CollectDir, 0o700); err != nil {
		return nil, fmt.Errorf("directory of collected audit segments: %w", err)
	}
	collected, err := disk.ListSegments(w.config.CollectDir, "")
	if err != nil {
		return nil, err
	}
	c.fetches = audit.NewCollector(w.config.CollectBytesPerSecond, w.agent.config.LeaseDuration, collected)
	return c, nil
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

// serve responds to the requests of other fronts for this front's segments, one after the other, until the agent stops.
func (c *auditCollector) serve() {
	a := c.writer.agent
	for {
		select {
		case <-a.ctx.Done():
			return
		case r := <-c.requests:
			response := c.respond(*r.request)
			a.mesh.Do(func(n *fleet.Node, now time.Duration) {
				n.SendDatagram(now, r.from, audit.Subsystem, response.Encode())
			})
		}
	}
}

// respond returns the response to a request: the names of this front's closed segments, or a chunk of one of their files.
func (c *auditCollector) respond(q audit.FetchRequest) audit.FetchResponse {
	r := audit.FetchResponse{Request: q}
	sealed := c.writer.segments.ClosedSegments()
	if q.Name == "" {
		r.Names = audit.SegmentsAfter(sealed, q.After)
		return r
	}
	if !slices.Contains(sealed, q.Name) {
		r.Removed = true
		return r
	}
	suffix := audit.LogSuffix
	if q.Index {
		suffix = audit.IndexSuffix
	}
	f, err := os.Open(filepath.Join(c.writer.config.LogDir, q.Name+suffix))
	if err != nil {
		r.Removed = true
		return r
	}
	defer func() { _ = f.Close() }() // opened for reading only
	if info, err := f.Stat(); err == nil {
		r.Total = info.Size()
	}
	b := make([]byte, audit.ChunkBytes)
	n, err := f.ReadAt(b, q.Offset)
	if err != nil && !errors.Is(err, io.EOF) {
		r.Removed = true
	}
	r.Data = b[:n]
	return r
}

// run requests the segments of other fronts, and stores those that are complete, until the agent stops.
func (c *auditCollector) run() {
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
