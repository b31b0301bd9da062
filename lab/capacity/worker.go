package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"time"
)

// hollowCores is how many processors a process of hollow fronts may use at once.
const hollowCores = 2

// worker answers requests of one kind.
type worker interface {
	answer(q Request) (Reply, error)
}

// Work is a worker process: it answers requests until its input ends, which it does with whoever started it.
func Work(kind string, in io.Reader, out io.Writer) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	runtime.GOMAXPROCS(hollowCores)
	var w worker
	switch kind {
	case HollowWorker:
		w = &hollowFronts{}
	case DiscoveryWorker:
		w = &discoveryServer{}
	case DatabaseWorker:
		w = &databases{}
	default:
		return fmt.Errorf("no worker is called %q", kind)
	}
	questions, answers := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for {
		var q Request
		if err := questions.Decode(&q); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("a request that can't be read: %w", err)
		}
		r, err := w.answer(q)
		if err != nil {
			r = Reply{Fault: err.Error()}
		}
		if err := answers.Encode(r); err != nil {
			return err
		}
	}
}

// ownCounters are those of this process, without its fronts'.
func ownCounters() (c Counters, err error) {
	cpu, err := cpuTime()
	if err != nil {
		return c, err
	}
	c.At, c.CPU = time.Now().UnixMicro(), cpu.Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.Heap = int64(m.HeapInuse)
	c.Resident, err = resident(os.Getpid())
	return c, err
}

// hollowFronts is a worker that holds hollow fronts.
type hollowFronts struct{ fronts []*hollow }

func (w *hollowFronts) answer(q Request) (r Reply, err error) {
	switch q.Do {
	case doStart:
		for _, i := range q.Ordinals {
			h, err := startHollow(q.Shared, i)
			if err != nil {
				return r, err
			}
			w.fronts = append(w.fronts, h)
		}
	case doCounters:
		r.Counters, err = w.counters()
	case doArrivals:
		for _, h := range w.fronts {
			at := int64(0)
			if q.Version != 0 {
				at = h.versionAt(q.Version)
			} else {
				at = h.listAt(q.Index)
			}
			r.Arrivals = append(r.Arrivals, at)
		}
	default:
		err = fmt.Errorf("hollow fronts don't do %q", q.Do)
	}
	return r, err
}

// counters adds up the fronts'.
func (w *hollowFronts) counters() (c Counters, err error) {
	if c, err = ownCounters(); err != nil {
		return c, err
	}
	c.Fronts = len(w.fronts)
	for i, h := range w.fronts {
		x := h.agent.Counters()
		c.Links += x.Links
		c.Sent += x.Sent
		c.Received += x.Received
		c.SentBytes += x.SentBytes
		c.ReceivedBytes += x.ReceivedBytes
		c.Shed += x.Shed
		c.Dials += x.Dials
		c.addKinds(x.Kinds)
		if x.FollowsFleet {
			c.Leaning++
		}
		if i == 0 || x.ListIndex < c.LeastIndex {
			c.LeastIndex = x.ListIndex
		}
	}
	return c, nil
}
