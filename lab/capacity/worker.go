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

// workerCores is how many processors a process of hollow fronts may use at once.
const workerCores = 2

// worker answers requests of one kind.
type worker interface {
	serve(q Request) (Reply, error)
}

// Work is a worker process: it answers requests until its input ends, which it does with whoever started it.
func Work(kind string, in io.Reader, out io.Writer) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	runtime.GOMAXPROCS(workerCores)
	var w worker
	switch kind {
	case FollowerWorker:
		w = &followerHost{}
	case DiscoveryWorker:
		w = &discoveryServer{}
	case DatabaseWorker:
		w = &databaseHost{}
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
		r, err := w.serve(q)
		if err != nil {
			r = Reply{Error: err.Error()}
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
	c.SampledAt, c.CPUSeconds = time.Now().UnixMicro(), cpu.Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.HeapBytes = int64(m.HeapInuse)
	c.ResidentBytes, err = resident(os.Getpid())
	return c, err
}

// followerHost is a worker that holds hollow fronts.
type followerHost struct{ followers []*simulatedFollower }

func (w *followerHost) serve(q Request) (r Reply, err error) {
	switch q.Operation {
	case opStart:
		for _, i := range q.Ordinals {
			h, err := startSimulatedFollower(q.Settings, i)
			if err != nil {
				return r, err
			}
			w.followers = append(w.followers, h)
		}
	case opCounters:
		r.Counters, err = w.counters()
	case opArrivals:
		for _, h := range w.followers {
			at := int64(0)
			if q.Version != 0 {
				at = h.versionArrival(q.Version)
			} else {
				at = h.listArrival(q.Index)
			}
			r.Arrivals = append(r.Arrivals, at)
		}
	default:
		err = fmt.Errorf("hollow fronts don't do %q", q.Operation)
	}
	return r, err
}

// counters adds up the fronts'.
func (w *followerHost) counters() (c Counters, err error) {
	if c, err = ownCounters(); err != nil {
		return c, err
	}
	c.Fronts = len(w.followers)
	for i, h := range w.followers {
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
			c.UsingSharedList++
		}
		if i == 0 || x.ListIndex < c.MinListIndex {
			c.MinListIndex = x.ListIndex
		}
	}
	return c, nil
}
