package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// networkAttempts is the number of loopback networks that reserveNetwork tries. The first one depends on the process ID.
const networkAttempts = 200

// reserveNetwork reserves a loopback network that no other run uses.
func (b *testbed) reserveNetwork() (err error) {
	for i := range networkAttempts {
		network := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%networkAttempts)
		if b.networkLock, err = net.Listen("tcp", fmt.Sprintf("%s.0.254:%d", network, meshPort)); err == nil {
			b.settings.Network = network
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free: %w", err)
}

// start starts all processes, waits until the fleet has converged, and emits the records of the start phase. Then it transfers the
// leases to the fronts that are measured as their leaseholders.
func (b *testbed) start(ctx context.Context) error {
	o := b.options
	b.settings = RunSettings{Dir: o.Dir, Fronts: o.Fronts, Zones: o.Zones, LeaseDuration: o.LeaseDuration,
		ConfigLeaseDuration: configLeaseFactor * o.LeaseDuration}
	if err := b.reserveNetwork(); err != nil {
		return err
	}
	if err := b.startServers(); err != nil {
		return err
	}
	for i := range realFronts {
		if err := b.startReal(i); err != nil {
			return err
		}
	}
	if err := b.startSimulated(ctx); err != nil {
		return err
	}
	if err := b.emitStart(b.waitConverged(ctx)); err != nil {
		return err
	}
	for lease, to := range map[string]int{fleet.EndpointListLease: endpointsOrdinal, rollout.Lease: rolloutsOrdinal} {
		if err := b.transferLease(ctx, lease, to); err != nil {
			return err
		}
	}
	return b.waitConverged(ctx)
}

// emitStart emits the records of the start phase. Failed is the error of a fleet that did not converge, or nil. The records are emitted
// in both cases, and failed is returned, joined with any other error.
func (b *testbed) emitStart(failed error) error {
	after, err := b.sample()
	if err != nil {
		return errors.Join(failed, err)
	}
	current, err := b.pollRoles()
	if err != nil {
		return errors.Join(failed, err)
	}
	before := make([]sample, len(after))
	for i, s := range after {
		before[i] = sample{process: s.process, Counters: Counters{SampledAt: b.startedAt.UnixMicro()}}
	}
	records := startRecords(b.options.Size, startResult{
		usage: usageBetween(before, after, current), duration: time.Since(b.startedAt), err: failed})
	return errors.Join(failed, b.emit(records))
}

// startServers starts the fake databases, and the fake discovery server that lists them.
func (b *testbed) startServers() (err error) {
	if b.databases, err = b.startWorker(DatabaseWorker, "databases"); err != nil {
		return err
	}
	r, err := b.databases.call(Request{Operation: opStart, Databases: b.options.Databases})
	if err != nil {
		return err
	}
	if b.discovery, err = b.startWorker(DiscoveryWorker, "discovery"); err != nil {
		return err
	}
	r, err = b.discovery.call(Request{Operation: opStart, Entries: endpointList(r.Addresses, b.options.Zones)})
	b.settings.Discovery = r.Address
	return err
}

// startWorker starts a worker process of a kind. Its directory is named after the first word of its name.
func (b *testbed) startWorker(kind, name string) (*process, error) {
	dirName, _, _ := strings.Cut(name, " ") // for example "hollow-2" of "hollow-2 (n57 to n104)"
	return startProcess(processSpec{name: name, dir: filepath.Join(b.options.Dir, dirName), command: b.options.Worker(kind), worker: true})
}

// startReal starts the real front with ordinal i as a process of the program.
func (b *testbed) startReal(i int) error {
	dir := b.settings.frontDir(i)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	configFile, operatorFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.sexp")
	if err := os.WriteFile(configFile, []byte(b.settings.configText(i)), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operatorFile, []byte(b.settings.operatorText(i)), 0o600); err != nil {
		return err
	}
	p, err := startProcess(processSpec{name: "real front " + frontName(i), dir: dir, command: []string{b.options.Program, "serve"},
		env: []string{"EDGE_CONFIG=" + configFile, "DAPPLEROUTER_FILE=" + operatorFile}})
	if err != nil {
		return err
	}
	b.real = append(b.real, p)
	return nil
}

// startSimulated starts the worker processes of the simulated followers one after the other. The cost of starting them all at once is
// not measured.
func (b *testbed) startSimulated(ctx context.Context) error {
	for k, ordinals := range b.options.ordinalsByProcess() {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		name := fmt.Sprintf("hollow-%d (%s to %s)", k+1, frontName(ordinals[0]), frontName(ordinals[len(ordinals)-1]))
		p, err := b.startWorker(FollowerWorker, name)
		if err != nil {
			return err
		}
		b.simulated = append(b.simulated, p)
		if _, err := p.call(Request{Operation: opStart, Settings: &b.settings, Ordinals: ordinals}); err != nil {
			return err
		}
		b.options.Progress("%d of %d fronts started", ordinals[len(ordinals)-1]+1, b.options.Fronts)
	}
	if b.options.PausedOneIn > 0 {
		b.paused = b.simulated[len(b.simulated)-1]
	}
	return nil
}
