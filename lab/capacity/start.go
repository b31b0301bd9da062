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

// takeNetwork finds loopback numbers that no other run has.
func (b *bench) takeNetwork() (err error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		if b.guard, err = net.Listen("tcp", network+".0.254:7500"); err == nil {
			b.shared.Network = network
			return nil
		}
	}
	return fmt.Errorf("no loopback network is free: %w", err)
}

func (b *bench) start(ctx context.Context) error {
	o := b.o
	b.shared = Shared{Dir: o.Dir, Fronts: o.Fronts, Zones: o.Zones, Span: o.Span, Right: rightSpans * o.Span}
	if err := b.takeNetwork(); err != nil {
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
	if err := b.startHollow(ctx); err != nil {
		return err
	}
	if err := b.starting(b.settle(ctx)); err != nil {
		return err
	}
	for lease, to := range map[string]int{fleet.EndpointListLease: endpointsReal, rollout.Lease: rolloutsReal} {
		if err := b.transfer(ctx, lease, to); err != nil {
			return err
		}
	}
	return b.settle(ctx)
}

// starting emits what the start of the fleet cost, be it that it did not settle.
func (b *bench) starting(unsettled error) error {
	after, err := b.sample()
	if err != nil {
		return errors.Join(unsettled, err)
	}
	is, err := b.look()
	if err != nil {
		return errors.Join(unsettled, err)
	}
	before := make([]sample, len(after))
	for i, s := range after {
		before[i] = sample{process: s.process, Counters: Counters{At: b.began.UnixMicro()}}
	}
	records := b.results.starting(b.o.Size, spentBetween(before, after, is), time.Since(b.began), unsettled)
	return errors.Join(unsettled, b.emit(records))
}

// startServers starts the fake databases and discovery.
func (b *bench) startServers() (err error) {
	if b.databases, err = b.startWorker(DatabaseWorker, "databases"); err != nil {
		return err
	}
	r, err := b.databases.ask(Request{Do: doStart, Databases: b.o.Databases})
	if err != nil {
		return err
	}
	if b.discovery, err = b.startWorker(DiscoveryWorker, "discovery"); err != nil {
		return err
	}
	r, err = b.discovery.ask(Request{Do: doStart, Entries: endpoints(r.Addresses, b.o.Zones)})
	b.shared.Discovery = r.Address
	return err
}

func (b *bench) startWorker(kind, name string) (*process, error) {
	folder, _, _ := strings.Cut(name, " ") // of "hollow-2 (n57 to n104)"
	return startProcess(name, filepath.Join(b.o.Dir, folder), b.o.Worker(kind), nil, true)
}

// startReal starts a process of the program.
func (b *bench) startReal(i int) error {
	dir := b.shared.folder(i)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	configFile, operatorFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.sexp")
	if err := os.WriteFile(configFile, []byte(b.shared.configText(i)), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operatorFile, []byte(b.shared.operatorText(i, true)), 0o600); err != nil {
		return err
	}
	env := []string{"EDGE_CONFIG=" + configFile, "DAPPLEROUTER_FILE=" + operatorFile}
	p, err := startProcess("real front "+frontName(i), dir, []string{b.o.Program, "serve"}, env, false)
	if err == nil {
		b.real = append(b.real, p)
	}
	return err
}

// startHollow starts the hollow processes, one after the other: what a start of all at once costs is no part of a run.
func (b *bench) startHollow(ctx context.Context) error {
	for k, ordinals := range b.o.split() {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		name := fmt.Sprintf("hollow-%d (%s to %s)", k+1, frontName(ordinals[0]), frontName(ordinals[len(ordinals)-1]))
		p, err := b.startWorker(HollowWorker, name)
		if err != nil {
			return err
		}
		b.hollow = append(b.hollow, p)
		if _, err := p.ask(Request{Do: doStart, Shared: &b.shared, Ordinals: ordinals}); err != nil {
			return err
		}
		b.o.Progress("%d of %d fronts are started", ordinals[len(ordinals)-1]+1, b.o.Fronts)
	}
	if b.o.CutOff > 0 {
		b.cutOff = b.hollow[len(b.hollow)-1]
	}
	return nil
}
