// Package agent makes a front one of a fleet: it runs the fleet's cores (fleet.Node, rollout.Participant, audit) on its mesh, its
// disk and its audit files, does the work of the leases that the front holds, and serves the admin API on a Unix socket. It carries
// things between the cores and the front, and decides nothing.
//
// The mesh's lock guards the cores: whoever holds it must not wait for the front's core, and the front's core never waits for it.
// No client's request passes here, and a front whose fleet is out of reach serves on without it.
package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"log/slog"
	"sync"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/mesh"
	"dapplerouter/fleet/rollout"
	"dapplerouter/framing"
	"dapplerouter/front"
)

// Agent is a front's part in a fleet.
type Agent struct {
	config    *fleet.Config
	mesh      *mesh.Mesh
	disk      *disk.VoterFile
	endpoints *fleet.EndpointList
	directory *discovery.Watcher
	control   *adminapi.Server
	history   *history
	Prober    *Prober
	name      string
	seed      uint64

	Clock     func() time.Duration // of the front's core
	StartedAt time.Time            // Clock's zero
	Post      func(front.Event)    // hands an event to the front's core
	OnStandby func(standby bool)   // the front begins or ends its standby; nil to ignore it

	site        *deployment.Settings
	ownRules    *deployment.Rules // of the operator's file
	program     string
	incarnation uint64
	initial     front.AdoptConfig
	rollout     *rolloutHost    // nil without its form
	audit       *auditor        // nil without its form
	auditLog    *audit.Recorder // nil without either form

	ctx              context.Context
	cancel           context.CancelFunc
	mu               sync.Mutex
	discoveryAddress string // of the discovery service
	stopFollowing    context.CancelFunc
	endpointsHeardAt time.Time // when the leaseholder last said that the service is alive
	pendingRequests  map[uint64]chan fleet.RequestDone
	goroutines       sync.WaitGroup
}

// probePart is the part of a front that takes probe requests; see fleet.DatagramReceived.
const probePart = "scout"

// Config are the forms of the operator's file; all but Fleet may be nil.
type Config struct {
	Fleet   *fleet.Config
	Rollout *rollout.Config
	Audit   *audit.Config
	Rules   *deployment.Rules
}

// New makes the agent that the forms describe; version is the program's. Set Clock, StartedAt and Post before Start. The error is a
// file, a socket or an address that can't be used.
func New(forms Config, start *deployment.Instance, directory *discovery.Watcher, version string) (*Agent, error) {
	c := forms.Fleet
	a := &Agent{
		config:           c,
		site:             start.Settings,
		ownRules:         forms.Rules,
		program:          version,
		incarnation:      newIncarnation(),
		seed:             start.Seed,
		endpoints:        fleet.NewEndpointList(),
		directory:        directory,
		name:             start.Name,
		discoveryAddress: start.Discovery,
		pendingRequests:  map[uint64]chan fleet.RequestDone{},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.Prober = a.newProber(start.Settings.Limits.DialTimeout)
	options := a.nodeOptions()
	if err := a.makeParts(forms, &options); err != nil {
		return nil, err
	}
	node, err := a.newNode(options)
	if err != nil {
		return nil, err
	}
	if a.history, err = openHistory(c.History, a.name, a.incarnation); err != nil {
		return nil, err
	}
	a.mesh, err = mesh.New(a.meshOptions(node))
	return a, err
}

// newIncarnation draws the number of this start: 40 bits, odd, so never 0.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])>>24 | 1
}

// newProber makes the prober, which reaches the fleet over the mesh.
func (a *Agent) newProber(probeTimeout time.Duration) *Prober {
	p := NewProber(a.config.LeaseDuration, probeTimeout)
	p.DeclareLease = func(leaseName string) {
		a.mesh.Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease(leaseName, 0) })
	}
	p.Broadcast = func(leaseName string, data []byte) bool { return a.mesh.Broadcast(leaseName, data) }
	p.RequestProbe = func(front, server string) {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) { n.SendDatagram(now, front, probePart, []byte(server)) })
	}
	p.Now = func() time.Duration { return a.mesh.Now() }
	return p
}

// timing is that of the fleet.
func (a *Agent) timing() fleet.Timing { return fleet.Timing{LeaseDuration: a.config.LeaseDuration} }

// nodeOptions are the node's, as far as the form fleet and the site say them.
func (a *Agent) nodeOptions() fleet.Options {
	c := a.config
	o := fleet.Options{
		Fleet:              c.ID,
		Name:               a.name,
		Incarnation:        a.incarnation,
		Address:            c.Address,
		Version:            a.program,
		InitialVoters:      c.InitialVoters,
		JoinsExistingFleet: c.JoinsExistingFleet,
		Timing:             a.timing(),
		Seed:               a.seed,
		AcceptsLeases:      c.AcceptsLeases,
	}
	if z := a.site.Topology.Zone; z >= 0 && z < len(a.site.ZoneNames) {
		o.Zone = a.site.ZoneNames[z]
	}
	return o
}

// newNode makes the node, from the disk where this front is a voter.
func (a *Agent) newNode(o fleet.Options) (node *fleet.Node, err error) {
	var state *fleet.DiskState
	if a.config.VoterPath != "" {
		if a.disk, state, err = disk.OpenVoterFile(a.config.VoterPath, a.config.ID, a.name); err != nil {
			return nil, err
		}
	}
	if node, err = fleet.New(o, state); err != nil {
		return nil, err
	}
	node.DeclareLease(fleet.EndpointListLease, endpointListBound)
	if a.rollout != nil {
		a.rollout.participant.DeclareLeases(node)
	}
	node.SetMirror(fleet.EndpointListLease, a.endpoints)
	return node, nil
}

// meshOptions are the mesh's, with keys where the form names them.
func (a *Agent) meshOptions(node *fleet.Node) mesh.Options {
	c := a.config
	o := mesh.Options{Listen: c.Listen, PeerAddresses: c.AddressOverrides, Node: node, Timing: a.timing(), OnEvent: a.onEvent}
	if a.disk != nil {
		o.Disk = a.disk
	}
	if c.Key != "" {
		files := framing.KeyFiles{Key: c.Key, Certificate: c.Certificate, Trust: c.Trust}
		o.Keys = func(peer string) (*tls.Config, error) { return files.TLSConfig(peer) }
	}
	return o
}

// makeParts makes the parts of the forms roll and audit.
func (a *Agent) makeParts(forms Config, o *fleet.Options) (err error) {
	a.initial = front.AdoptConfig{Rules: forms.Rules}
	if forms.Rollout == nil && forms.Audit == nil {
		return nil
	}
	var sink func(audit.Interval)
	if forms.Audit != nil {
		if a.audit, err = newAuditor(a, forms.Audit); err != nil {
			return err
		}
		sink = func(s audit.Interval) { a.audit.enqueue(queueEntry{span: &s}) }
	}
	if forms.Rollout != nil {
		if o.ConfigLease, err = forms.Rollout.ConfigLeaseFor(a.config.LeaseDuration); err != nil {
			return err
		}
		if a.rollout, a.initial, err = newRolloutHost(a, forms.Rollout, o.ConfigLease); err != nil {
			return err
		}
	}
	a.auditLog = audit.NewRecorder(len(a.site.TypeNames), forms.Rollout != nil, a.initial.Version, sink)
	return nil
}

// Name is the part's name in the front's list of parts.
func (a *Agent) Name() string { return "fleet" }

// Start listens for other fronts and operators, and starts all goroutines. The error is a socket that can't be used.
func (a *Agent) Start() error {
	if a.config.Control != "" {
		s, err := adminapi.Listen(a.config.Control)
		if err != nil {
			return err
		}
		a.control = s
		a.serveControl(s)
		s.Start()
	}
	a.startParts()
	a.mesh.Run()
	a.goroutines.Go(a.watchLeaseholder)
	slog.Info("one of a fleet", "listen", a.mesh.Addr().String(), "keeper", a.config.VoterPath != "", "span", a.config.LeaseDuration)
	return nil
}

// Totals returns the counts since the start, as attributes of a log line.
func (a *Agent) Totals() []any {
	t := a.mesh.Totals()
	out := []any{"links", t.Links, "sent", t.Sent, "received", t.Received, "sent_bytes", t.SentBytes, "received_bytes", t.ReceivedBytes,
		"shed", t.Shed, "refused", t.Rejected, "dials", t.Dials, "leans", a.directory.UsesSharedList(),
		"probes_saved", a.Prober.AvoidedProbes()}
	if a.audit != nil {
		out = append(out, "audited", a.audit.written.Load(), "unaudited", a.audit.missed.Load(), "exported", a.audit.exported.Load())
	}
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		if a.rollout != nil {
			v := a.rollout.participant.Adopter.Active()
			out = append(out, "version", v, "right_left", max(0, n.ConfigLeaseExpiry(v)-now))
		}
		out = append(out, "fronts", len(n.State().Fronts), "index", n.State().Index, "alone", n.Isolated(), "gives", n.IsLeader())
	})
	return out
}

// DiscoveryMoved tells that the discovery service has another address.
func (a *Agent) DiscoveryMoved(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.discoveryAddress != address {
		a.discoveryAddress = address
		if a.stopFollowing != nil { // it goes on at the new address
			a.stopFollowing()
			a.followEndpoints()
		}
	}
}

// Drain transfers the front's leases to others, within a time.
func (a *Agent) Drain(within time.Duration) {
	if !a.mesh.Leave(within) {
		slog.Warn("fleet: duties were not handed on in time; they run out", "within", within)
	}
}

// Close ends the agent: audit lines are written, links and files are closed.
func (a *Agent) Close() {
	if a.rollout != nil {
		var acts uint64
		a.mesh.Do(func(*fleet.Node, time.Duration) { acts = a.rollout.participant.Adopter.Active() })
		a.rollout.confirm(acts)
	}
	if a.audit != nil { // what the core has counted, before it ends
		closed := make(chan struct{})
		a.Post(front.CloseAudit{OnClosed: func() { close(closed) }})
		select {
		case <-closed:
			a.writeAudit(&audit.Line{Event: audit.EventProcessStopped})
		case <-time.After(time.Second):
		}
	}
	a.cancel()
	if a.control != nil {
		a.control.Close()
	}
	a.mesh.Close()
	a.mu.Lock()
	if a.stopFollowing != nil {
		a.stopFollowing()
	}
	a.mu.Unlock()
	a.goroutines.Wait()
	if a.disk != nil {
		a.disk.Close()
	}
	if a.audit != nil {
		a.audit.close()
	}
	a.history.close()
}
