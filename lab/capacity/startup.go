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

// reserveNetwork finds loopback numbers that no other run has.
func (b *testbed) reserveNetwork() (err error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		if b.guard, err = net.Listen("tcp", network+".0.254:7500"); err == nil {
			b.settings.Network = network
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free: %w", err)
}

func (b *testbed) start(ctx context.Context) error {
	o := b.options
	b.settings = RunSettings{Dir: o.Dir, Fronts: o.Fronts, Zones: o.Zones, LeaseDuration: o.LeaseDuration, ConfigLeaseDuration: configLeaseFactor * o.LeaseDuration}
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

// emitStart emits what the start of the fleet cost, be it that it did not settle.
func (b *testbed) emitStart(unsettled error) error {
	after, err := b.sample()
	if err != nil {
		return errors.Join(unsettled, err)
	}
	is, err := b.pollRoles()
	if err != nil {
		return errors.Join(unsettled, err)
	}
	before := make([]sample, len(after))
	for i, s := range after {
		before[i] = sample{process: s.process, Counters: Counters{SampledAt: b.startedAt.UnixMicro()}}
	}
	records := b.results.startRecords(b.options.Size, usageBetween(before, after, is), time.Since(b.startedAt), unsettled)
	return errors.Join(unsettled, b.emit(records))
}

// startServers starts the fake databases and discovery.
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

func (b *testbed) startWorker(kind, name string) (*process, error) {
	folder, _, _ := strings.Cut(name, " ") // of "hollow-2 (n57 to n104)"
	return startProcess(name, filepath.Join(b.options.Dir, folder), b.options.Worker(kind), nil, true)
}

// startReal starts a process of the program.
func (b *testbed) startReal(i int) error {
	dir := b.settings.folder(i)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	configFile, operatorFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.sexp")
	if err := os.WriteFile(configFile, []byte(b.settings.configText(i)), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operatorFile, []byte(b.settings.operatorText(i, true)), 0o600); err != nil {
		return err
	}
	env := []string{"EDGE_CONFIG=" + configFile, "DAPPLEROUTER_FILE=" + operatorFile}
	p, err := startProcess("real front "+frontName(i), dir, []string{b.options.Program, "serve"}, env, false)
	if err == nil {
		b.real = append(b.real, p)
	}
	return err
}

// startSimulated starts the hollow processes, one after the other: what a start of all at once costs is no part of a run.
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
		b.options.Progress("%d of %d fronts are started", ordinals[len(ordinals)-1]+1, b.options.Fronts)
	}
	if b.options.PausedOneIn > 0 {
		b.paused = b.simulated[len(b.simulated)-1]
	}
	return nil
}
