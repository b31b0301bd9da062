package agent

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// collector fetches other fronts' audits into this one's folder, and serves its own audit to those that ask.
type collector struct {
	auditor   *auditor
	gatherer  *audit.Collector // nil where nothing is collected here
	questions chan collectorMessage
	replies   chan collectorMessage
}

// collectorMessage is a question or a reply of another front.
type collectorMessage struct {
	from     string
	question *audit.FetchRequest
	reply    *audit.FetchResponse
}

const collectorQueueLength = 64

func newCollector(w *auditor) (*collector, error) {
	g := &collector{auditor: w, questions: make(chan collectorMessage, collectorQueueLength), replies: make(chan collectorMessage, collectorQueueLength)}
	if w.config.CollectDir == "" {
		return g, nil
	}
	if err := os.MkdirAll(w.config.CollectDir, 0o700); err != nil {
		return nil, err
	}
	have, err := disk.ListSegments(w.config.CollectDir, "")
	if err != nil {
		return nil, err
	}
	g.gatherer = audit.NewCollector(w.config.CollectBytesPerSecond, w.agent.config.LeaseDuration, have)
	return g, nil
}

// onDatagram queues another front's message; one too many is dropped, and asked for again.
func (g *collector) onDatagram(e fleet.DatagramReceived) {
	q, r := audit.DecodeDatagram(e.Data)
	to := g.questions
	if r != nil {
		to = g.replies
	}
	if q == nil && r == nil {
		return
	}
	select {
	case to <- collectorMessage{e.From, q, r}:
	default:
	}
}

// serve answers questions, one after the other.
func (g *collector) serve() {
	for {
		select {
		case <-g.auditor.agent.ctx.Done():
			return
		case p := <-g.questions:
			r := g.reply(*p.question)
			g.auditor.agent.mesh.Do(func(n *fleet.Node, now time.Duration) { n.SendDatagram(now, p.from, audit.Part, r.Encode()) })
		}
	}
}

func (g *collector) reply(q audit.FetchRequest) audit.FetchResponse {
	r := audit.FetchResponse{Request: q}
	sealed := g.auditor.segments.Sealed()
	if q.Name == "" {
		r.Names = audit.SegmentsAfter(sealed, q.After)
		return r
	}
	if !slices.Contains(sealed, q.Name) {
		r.Removed = true
		return r
	}
	end := audit.LogSuffix
	if q.Index {
		end = audit.IndexSuffix
	}
	f, err := os.Open(filepath.Join(g.auditor.config.LogDir, q.Name+end))
	if err != nil {
		r.Removed = true
		return r
	}
	defer f.Close()
	if at, err := f.Stat(); err == nil {
		r.Total = at.Size()
	}
	b := make([]byte, audit.ChunkBytes)
	n, err := f.ReadAt(b, q.Offset)
	if err != nil && !errors.Is(err, io.EOF) {
		r.Removed = true
	}
	r.Data = b[:n]
	return r
}

// run asks for other fronts' segments, and stores those that arrived whole.
func (g *collector) run() {
	t := time.NewTicker(g.auditor.agent.config.LeaseDuration / 6)
	defer t.Stop()
	failing := false
	for {
		var asks []audit.PendingFetch
		select {
		case <-g.auditor.agent.ctx.Done():
			return
		case <-t.C:
		case p := <-g.replies:
			for _, f := range g.gatherer.OnResponse(g.auditor.agent.mesh.Now(), p.from, p.reply) {
				err := disk.WriteOnce(g.auditor.config.CollectDir, f.Name, f.Data)
				if err != nil && !failing {
					slog.Error("audit: what was collected can't be kept", "file", f.Name, "why", err)
				}
				failing = err != nil
			}
		}
		g.auditor.agent.mesh.Do(func(n *fleet.Node, now time.Duration) {
			var fronts []string
			for name := range n.State().Fronts {
				fronts = append(fronts, name)
			}
			asks = g.gatherer.Step(now, fronts)
			for _, a := range asks {
				n.SendDatagram(now, a.Front, audit.Part, a.Request.Encode())
			}
		})
	}
}
