package capacity

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"time"

	"dapplerouter/fleet/agent"
)

// workerCores is the number of processors that a worker process may use at once.
const workerCores = 2

// worker implements one kind of worker process. It serves one request at a time.
type worker interface {
	// serve carries out one request. Work sends an error to the supervisor as the reply's Error.
	serve(q Request) (Reply, error)
}

// Work runs a worker process. It answers requests until its input ends. The input ends when the supervisor closes the pipe to stop the
// worker, and also when the supervisor exits. The error is ErrUnknownWorker, or an error of reading a request or writing a reply.
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
		return fmt.Errorf("%w: %q", ErrUnknownWorker, kind)
	}
	requests, replies := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for {
		var q Request
		if err := requests.Decode(&q); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("decode request: %w", err)
		}
		r, err := w.serve(q)
		if err != nil {
			r = Reply{Error: err.Error()}
		}
		if err := replies.Encode(r); err != nil {
			return fmt.Errorf("encode reply: %w", err)
		}
	}
}

// ownCounters returns the counters of this process, without those of the fronts that it hosts.
func ownCounters() (c Counters, err error) {
	cpu, err := cpuTime()
	if err != nil {
		return c, err
	}
	c.SampledAt, c.CPUSeconds = time.Now().UnixMicro(), cpu.Seconds()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.HeapBytes = int64(m.HeapInuse)
	c.ResidentBytes, err = residentMemory(os.Getpid())
	return c, err
}

// followerHost is a worker that hosts simulated followers.
type followerHost struct{ followers []*simulatedFollower }

func (w *followerHost) serve(q Request) (r Reply, err error) {
	switch q.Operation {
	case opStart:
		err = w.start(q.Settings, q.Ordinals)
	case opCounters:
		r.Counters, err = w.counters()
	case opArrivals:
		for _, f := range w.followers {
			if q.Version != 0 {
				r.Arrivals = append(r.Arrivals, f.versionArrival(q.Version))
			} else {
				r.Arrivals = append(r.Arrivals, f.listArrival(q.Index))
			}
		}
	default:
		err = fmt.Errorf("simulated followers: %w: %q", ErrUnknownOperation, q.Operation)
	}
	return r, err
}

// start starts one simulated follower for each ordinal.
func (w *followerHost) start(s *RunSettings, ordinals []int) error {
	for _, i := range ordinals {
		f, err := startSimulatedFollower(s, i)
		if err != nil {
			return err
		}
		w.followers = append(w.followers, f)
	}
	return nil
}

// counters returns the counters of this process, and the sums of its followers' counters.
func (w *followerHost) counters() (c Counters, err error) {
	if c, err = ownCounters(); err != nil {
		return c, err
	}
	c.Fronts = len(w.followers)
	for i, f := range w.followers {
		own := f.agent.Counters()
		c.addMesh(meshCounters(own))
		c.addKinds(own.Kinds)
		if own.FollowsFleet {
			c.UsingSharedList++
		}
		if i == 0 || own.ListIndex < c.MinListIndex {
			c.MinListIndex = own.ListIndex
		}
	}
	return c, nil
}

// meshCounters extracts the mesh counters from a front's counters.
func meshCounters(c agent.Counters) MeshCounters {
	return MeshCounters{Links: c.Links, Sent: c.Sent, Received: c.Received, SentBytes: c.SentBytes, ReceivedBytes: c.ReceivedBytes,
		Shed: c.SlowLinksClosed, Dials: c.Dials}
}
