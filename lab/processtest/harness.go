// Package processtest is the process test harness: it starts several processes of the built program with fake servers, an endpoint
// service and clients on loopback, puts a fault proxy on every link between two fronts, injects the faults that a script names, and
// checks the histories, statuses, audit logs and answers against the invariants of a fleet.
//
// A Harness owns all that it starts: processes, proxies, fake servers and the block of ports; Run stops them before it returns.
// Everything that a script leaves to chance is drawn from one random source, from the goroutine that plays the steps: a script and a
// seed give the same faults each time. For tests and measurements only.
package processtest

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Harness runs one script. Script, Seed, Program and Dir are to be set before Run; it runs once.
type Harness struct {
	Script  *Script
	Seed    uint64
	Program string    // the built dapplerouter
	Dir     string    // for configurations, histories, audit logs and the processes' logs
	Out     io.Writer // progress, line by line; nil for none

	backends
	fronts     []*Front
	network    network
	ports      portBlock
	rnd        *rand.Rand // only for the goroutine of Run
	started    time.Time
	background sync.WaitGroup // ends of faults and operators' commands

	mu       sync.Mutex // guards Out, and expected.unmet and expected.mustVersions
	expected expectations
}

// expectations are what the steps of a script require of the run.
type expectations struct {
	mustVersions    []uint64 // published with "must", and give a group up
	mustHalt        []string // voters whose disks lost something
	unmet           []string // what a step expected and did not find
	truncatedAudits int      // audit logs whose last line was truncated
}

// Run plays the script and checks what came of it. The error is that of a harness that could not be set up, or of a step that could
// not be carried out; invariants that did not hold are in the result.
func (h *Harness) Run() (*Result, error) {
	h.rnd = rand.New(rand.NewPCG(h.Seed, 5))
	if h.Out == nil {
		h.Out = io.Discard
	}
	defer h.tearDown()
	if err := h.startBackends(h.Script); err != nil {
		return nil, err
	}
	if err := h.startFronts(); err != nil {
		return nil, err
	}
	h.logf("-", "%d fronts serve; the script begins", len(h.fronts))
	o := observations{began: time.Now()}
	callsBefore, probesBefore, cpuBefore := h.endpoints.callCount(), h.servers.Probes.Load(), h.cpuTime()
	clients := h.startClients(h.Script.Clients)
	if err := h.playSteps(o.began); err != nil {
		return nil, err
	}
	h.background.Wait()
	o.usage.EndpointCalls, o.usage.Probes = h.endpoints.callCount()-callsBefore, h.servers.Probes.Load()-probesBefore
	o.requests = clients.stop()
	o.usage.CPU = h.cpuTime() - cpuBefore
	o.unsettled = h.waitUntilSettled()
	o.statuses = h.statuses()
	o.usage.ResidentKiB, o.usage.Watches = h.residentMemory(), h.endpoints.watchCount()
	if !h.Script.WithoutFleet {
		time.Sleep(50 * time.Millisecond) // for histories to be written
	}
	h.stopFronts()
	var err error
	if o.history, err = readHistories(h.Dir); err != nil {
		return nil, err
	}
	return h.check(o), nil
}

// startFronts starts all fronts and the proxies between them, and waits until they serve.
func (h *Harness) startFronts() error {
	if err := h.ports.reserve(h.Seed); err != nil {
		return err
	}
	addresses, err := h.ports.take(2 * h.Script.Fronts)
	if err != nil {
		return err
	}
	for i := range h.Script.Fronts {
		h.fronts = append(h.fronts, &Front{Name: frontName(i), index: i, clientAddress: addresses[2*i], meshAddress: addresses[2*i+1],
			voter: i < h.Script.Voters, dir: filepath.Join(h.Dir, frontName(i))})
	}
	if !h.Script.WithoutFleet {
		if h.network, err = startNetwork(h.fronts, h.Seed); err != nil {
			return err
		}
	}
	h.started = time.Now()
	for _, f := range h.fronts {
		if err := h.writeConfiguration(f); err != nil {
			return err
		}
		if err := h.start(f); err != nil {
			return err
		}
	}
	return h.waitUntilReady()
}

// playSteps carries the steps out, each at its time, and waits for the end of the script.
func (h *Harness) playSteps(began time.Time) error {
	steps := slices.Clone(h.Script.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.At)))
		if err := h.runStep(s); err != nil {
			return fmt.Errorf("%s: %w", s.Position, err)
		}
	}
	time.Sleep(time.Until(began.Add(h.Script.Duration)))
	return nil
}

// logf writes a line of progress about a front, or "-" for none.
func (h *Harness) logf(front, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(h.Out, "%8.3fs  %-4s %s\n", time.Since(h.started).Seconds(), front, fmt.Sprintf(format, args...)) // progress only
}

// tearDown stops all that was started, also by a run that failed half way.
func (h *Harness) tearDown() {
	h.ports.release()
	h.stopFronts()
	h.stopBackends()
}

// stopFronts ends every process, waits for it, and stops the proxies. With audit logs the processes are asked to terminate first, so
// that they write the rest of them.
func (h *Harness) stopFronts() {
	if h.Script.Rollouts.Enabled() {
		for _, f := range h.fronts {
			f.signal(syscall.SIGCONT)
			f.signal(syscall.SIGTERM)
		}
		for _, f := range h.fronts {
			if f.exited != nil {
				select {
				case <-f.exited:
				case <-time.After(8 * time.Second):
				}
			}
		}
	}
	for _, f := range h.fronts {
		f.signal(syscall.SIGCONT)
		f.signal(syscall.SIGKILL)
		if f.exited != nil {
			<-f.exited
		}
	}
	h.network.stop()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
