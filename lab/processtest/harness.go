// Package processtest is a fault-injection test harness for a fleet of real processes. It starts several processes of the built
// program, fake servers, a fake endpoint service and clients, all on loopback. Every link between two fronts passes through a fault
// proxy. The harness injects the faults that a script lists. Then it checks the histories, statuses, audit logs and answers against
// the invariants of a fleet.
//
// A Harness owns everything that it starts: processes, proxies, fake servers and a block of ports. Run stops all of it before it
// returns. Everything that a script leaves to chance is drawn from one random source, which only the goroutine that runs the steps
// uses. So the same script and seed inject the same faults each time. The package is for tests and measurements only.
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

// Harness runs one script. The caller sets Script, Seed, Program and Dir before Run, and calls Run only once.
type Harness struct {
	Script  *Script
	Seed    uint64
	Program string    // path of the built dapplerouter
	Dir     string    // directory for configurations, histories, audit logs and the processes' logs
	Out     io.Writer // receives progress lines; nil discards them

	backends
	fronts     []*Front
	network    network
	ports      portBlock
	rnd        *rand.Rand // used only by the goroutine of Run
	started    time.Time
	background sync.WaitGroup // delayed ends of faults, and operator commands

	mu       sync.Mutex // guards Out, expected.unmet and expected.mandatoryVersions
	expected expectations
}

// expectations holds what the steps of a script require of the run.
type expectations struct {
	mandatoryVersions []uint64 // versions that were published as mandatory and whose rules reject the requests of a server group
	mustHalt          []string // names of voters whose disks lost state
	unmet             []string // messages about expectations of steps that were not met
	truncatedAudits   int      // number of audit logs whose last line was truncated
}

// Run runs the script and checks the outcome. It returns an error if the harness could not be set up or a step could not be carried
// out. Violated invariants are not errors: the result lists them.
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
	callsBefore, probesBefore, cpuBefore := h.endpoints.callCount(), h.servers.HealthChecks.Load(), h.cpuTime()
	clients := h.startClients(h.Script.Clients)
	if err := h.runSteps(o.began); err != nil {
		return nil, err
	}
	h.background.Wait()
	o.usage.EndpointCalls, o.usage.Probes = h.endpoints.callCount()-callsBefore, h.servers.HealthChecks.Load()-probesBefore
	o.requests = clients.stop()
	o.usage.CPU = h.cpuTime() - cpuBefore
	o.unsettled = h.waitUntilSettled()
	o.statuses = h.statuses()
	o.usage.ResidentKiB, o.usage.Watches = h.residentMemory(), h.endpoints.watchCount()
	if !h.Script.WithoutFleet {
		time.Sleep(50 * time.Millisecond) // lets the fronts write their histories
	}
	h.stopFronts()
	var err error
	if o.history, err = readHistories(h.Dir); err != nil {
		return nil, err
	}
	return h.check(o), nil
}

// startFronts starts all fronts and the proxies between them, and waits until all fronts serve clients.
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
	return h.waitUntilReady(readyTimeout)
}

// runSteps carries out each step at its time, and returns at the end of the script's duration.
func (h *Harness) runSteps(began time.Time) error {
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

// logf writes a progress line about a front; "-" stands for no particular front.
func (h *Harness) logf(front, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(h.Out, "%8.3fs  %-4s %s\n", time.Since(h.started).Seconds(), front, fmt.Sprintf(format, args...)) // progress only
}

// tearDown stops everything that was started. It also works after a run that failed during its setup.
func (h *Harness) tearDown() {
	h.ports.release()
	h.stopFronts()
	h.stopBackends()
}

// stopFronts kills every front's process, waits until it has exited, and stops the proxies. With audit logs the processes receive
// SIGTERM first, so that they can write the remaining audit lines.
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

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
