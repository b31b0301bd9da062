// Package agent makes a front a member of a fleet. It runs the fleet's state machines (fleet.Node, rollout.Participant, package audit) on
// sockets and files, does the work of the leases that the front holds, and serves the admin API. What to send, which front is granted a
// lease and when a version is adopted is decided in those packages, not here.
//
// Locking: the mesh's lock guards the Node and everything that the Node's events change (the endpoint list, the rollout participant);
// Mesh.Do takes it. A goroutine that holds the lock must not wait for the front's core, and the core never waits for the lock. A call
// from the core that needs fleet state is answered from a copy, or continues in another goroutine. Every other mutex has a comment that
// says what it guards.
//
// No client request passes through this package. A front that can't reach its fleet continues to serve requests.
package agent

import (
	"context"
	"crypto/rand"
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

// Agent is a front's membership in a fleet. New opens its files and the mesh's listener, Start starts its goroutines, and Close stops
// them and closes the files.
type Agent struct {
	CoreAccess
	identity
	subsystems
	lifetime

	Prober    *Prober
	config    *fleet.Config
	settings  *deployment.Settings
	calls     disk.CreateCalls
	mesh      *mesh.Mesh
	disk      *disk.VoterFile  // nil for a follower, and until the voter's file is open
	admin     *adminapi.Server // nil without a control socket
	history   *history         // nil if no history file is configured
	endpoints *endpointFollower
	requests  pendingRequests
}

// CoreAccess gives the agent access to the front's core. Set it before Start.
type CoreAccess struct {
	Clock     func() time.Duration // the clock of the core
	StartedAt time.Time            // the wall-clock time at which Clock was 0
	Post      func(front.Event)    // sends an event to the core; never blocks
	OnStandby func(standby bool)   // called when the front enters or leaves standby; nil to ignore it
}

// identity identifies the front in the fleet by its name, which it keeps over restarts, and this process by its incarnation.
type identity struct {
	name        string
	program     string // version of the program
	incarnation uint64 // random number of this start
	seed        uint64 // of the random numbers of the front's parts
}

// subsystems are the parts that run on top of the fleet. Each exists only if the operator's file has its form.
type subsystems struct {
	rollout  *rolloutHost      // nil if its form does not exist
	audit    *auditWriter      // nil if its form does not exist
	recorder *audit.Recorder   // nil if neither form exists
	initial  front.AdoptConfig // the version and rules that the core starts with
}

// lifetime controls the agent's goroutines: they end when ctx is canceled, and Close waits for them.
type lifetime struct {
	ctx        context.Context
	cancel     context.CancelFunc
	joining    sync.WaitGroup // the goroutine that joins the fleet, before those of the mesh
	goroutines sync.WaitGroup
}

// probeSubsystem is the subsystem that probe requests to a front are addressed to; see fleet.DatagramReceived.
const probeSubsystem = "scout"

// Config holds the forms of the operator's file that concern the fleet. All fields except Fleet may be nil.
type Config struct {
	Fleet   *fleet.Config
	Rollout *rollout.Config
	Audit   *audit.Config
	Rules   *deployment.Rules
	Calls   *disk.CreateCalls // create the directories and files of the agent; nil for disk.SystemCalls
}

// New returns the agent that the forms describe and opens its files and its listener; version is the version of the program. Set
// CoreAccess before Start. The error names the file or the address that can't be used.
func New(forms Config, start *deployment.Instance, watcher *discovery.Watcher, version string) (*Agent, error) {
	a := &Agent{
		identity: identity{name: start.Name, program: version, incarnation: newIncarnation(), seed: start.Seed},
		config:   forms.Fleet,
		settings: start.Settings,
		calls:    disk.SystemCalls(),
	}
	if forms.Calls != nil {
		a.calls = *forms.Calls
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.endpoints = newEndpointFollower(a, watcher, start.Discovery)
	a.Prober = a.newProber(start.Settings.Limits.DialTimeout)
	options := a.nodeOptions()
	if err := a.newSubsystems(forms, &options); err != nil {
		return nil, err
	}
	node, err := a.newNode(options)
	if err != nil {
		return nil, err
	}
	if a.history, err = openHistory(a.calls, a.config.History, a.name, a.incarnation); err != nil {
		return nil, err
	}
	a.mesh, err = mesh.New(a.meshOptions(node))
	return a, err
}

// newIncarnation returns a random number for this start of the front: 40 bits, odd and therefore never 0.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error: it crashes the process instead
	return binary.LittleEndian.Uint64(b[:])>>24 | 1
}

// newProber returns the prober, connected to the fleet through the mesh.
func (a *Agent) newProber(probeTimeout time.Duration) *Prober {
	p := NewProber(a.config.LeaseDuration, probeTimeout)
	p.DeclareLease = func(leaseName string) {
		a.mesh.Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease(leaseName, 0) })
	}
	p.Broadcast = func(leaseName string, data []byte) bool { return a.mesh.Broadcast(leaseName, data) }
	p.RequestProbe = func(front, server string) {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) { n.SendDatagram(now, front, probeSubsystem, []byte(server)) })
	}
	p.Now = func() time.Duration { return a.mesh.Now() }
	return p
}

// timing returns the timing of the fleet.
func (a *Agent) timing() fleet.Timing { return fleet.Timing{LeaseDuration: a.config.LeaseDuration} }

// nodeOptions returns the options of the node that come from the operator's form and the deployment's settings.
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
	if z := a.settings.Topology.Zone; z >= 0 && z < len(a.settings.ZoneNames) {
		o.Zone = a.settings.ZoneNames[z]
	}
	return o
}

// newNode creates the node. If this front is a voter, it opens the voter file and restores the node from it. If the file's disk is full
// or failing, the node has no voter until joinAfterVoterFile starts it.
func (a *Agent) newNode(o fleet.Options) (node *fleet.Node, err error) {
	var state *fleet.DiskState
	if a.config.VoterPath != "" {
		a.disk, state, err = a.calls.OpenVoterFile(a.config.VoterPath, a.config.ID, a.name)
		if err != nil && !disk.IsTransient(err) {
			return nil, err
		}
		if err != nil {
			slog.Error("fleet: voter file can't be opened; retrying, this front takes no part in its fleet until then; make room or repair the disk", "file", a.config.VoterPath, "err", err)
		}
	}
	if node, err = fleet.New(o, state); err != nil {
		return nil, err
	}
	node.DeclareLease(fleet.EndpointListLease, maxDiscoverySilence)
	if a.rollout != nil {
		a.rollout.participant.DeclareLeases(node)
	}
	node.SetMirror(fleet.EndpointListLease, a.endpoints.list)
	return node, nil
}

// meshOptions returns the options of the mesh, including the TLS keys if the form names them.
func (a *Agent) meshOptions(node *fleet.Node) mesh.Options {
	c := a.config
	o := mesh.Options{Listen: c.Listen, PeerAddresses: c.AddressOverrides, Node: node, Timing: a.timing(), OnEvent: a.onEvent, OnDropped: a.onDroppedEvents}
	if a.disk != nil {
		o.Disk = a.disk
	}
	if c.Key != "" {
		files := framing.KeyFiles{Key: c.Key, Certificate: c.Certificate, Trust: c.Trust}
		o.Keys = files.TLSConfig
	}
	return o
}

// newSubsystems creates the subsystems whose forms exist, and sets the node options that they require.
func (a *Agent) newSubsystems(forms Config, o *fleet.Options) (err error) {
	a.initial = front.AdoptConfig{Rules: forms.Rules}
	if forms.Rollout == nil && forms.Audit == nil {
		return nil
	}
	var sink func(audit.Interval)
	if forms.Audit != nil {
		if a.audit, err = newAuditWriter(a, forms.Audit); err != nil {
			return err
		}
		sink = func(s audit.Interval) { a.audit.enqueue(queueEntry{interval: &s}) }
	}
	if forms.Rollout != nil {
		if o.ConfigLease, err = forms.Rollout.ConfigLeaseFor(a.config.LeaseDuration); err != nil {
			return err
		}
		a.rollout = newRolloutHost(a, forms.Rollout, forms.Rules)
		if a.initial, err = a.rollout.restore(o.ConfigLease); err != nil {
			return err
		}
	}
	a.recorder = audit.NewRecorder(len(a.settings.TypeNames), forms.Rollout != nil, a.initial.Version, sink)
	return nil
}
