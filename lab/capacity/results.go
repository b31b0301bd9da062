package capacity

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// results are the records so far, and what the phases with changes are compared with.
type results struct {
	all  []Record
	idle map[string]roleUsage // by role, of the idle phase
}

// phaseUsage is what each role used in a phase, and which of it is partial and why.
type phaseUsage struct {
	byRole  map[string]roleUsage
	partial map[string]string
}

// startResult is what the start of a fleet used, and how it ended.
type startResult struct {
	usage  map[string]roleUsage
	took   time.Duration
	failed error // nil for a fleet that converged
}

// counterResource is a resource that is used over time.
type counterResource struct {
	name       string
	idleUnit   string // for a second
	changeUnit string // for a change
	scale      float64
	value      func(*roleUsage) float64
}

var counterResources = []counterResource{
	{"processor", unitCorePerSecond, "ms of a core", millisPerSecond, func(u *roleUsage) float64 { return u.cpuSeconds }},
	{"bytes sent", unitBytesPerSecond, "B", 1, func(u *roleUsage) float64 { return u.mesh.sentBytes }},
	{"bytes received", unitBytesPerSecond, "B", 1, func(u *roleUsage) float64 { return u.mesh.receivedBytes }},
	{"messages sent", "1/s", "messages", 1, func(u *roleUsage) float64 { return u.mesh.sent }},
	{"messages received", "1/s", "messages", 1, func(u *roleUsage) float64 { return u.mesh.received }},
	{"statements", "1/s", "statements", 1, func(u *roleUsage) float64 { return u.server.statements }},
	{"calls", "1/s", "calls", 1, func(u *roleUsage) float64 { return u.server.calls }},
	{"log entries", "1/s", "entries", 1, func(u *roleUsage) float64 { return u.logEntries }},
	{"slow peers let go", "1/s", "links", 1, func(u *roleUsage) float64 { return u.mesh.shed }},
}

// gaugeResource is a resource that has a level.
type gaugeResource struct {
	name, unit string
	scale      float64
	value      func(*roleUsage) float64
}

var gaugeResources = []gaugeResource{
	{"resident memory", "MiB", 1.0 / bytesPerMiB, func(u *roleUsage) float64 { return u.residentBytes }},
	{"heap in use", "MiB", 1.0 / bytesPerMiB, func(u *roleUsage) float64 { return u.heapBytes }},
	{"links", "links", 1, func(u *roleUsage) float64 { return u.mesh.links }},
	{"watches", "watches", 1, func(u *roleUsage) float64 { return u.server.watches }},
}

// minMessages of a kind for a change make a record: fewer are the difference between two idle times.
const minMessages = 0.5

// Prefixes of the resources that are messages of one kind.
const (
	kindMessages = "messages sent: "
	kindBytes    = "bytes sent: "
)

// meshResources are those that the fake servers do not have.
var meshResources = map[string]bool{"messages sent": true, "messages received": true, "links": true, "slow peers let go": true}

// serverResources are those that fronts do not have.
var serverResources = map[string]bool{"statements": true, "calls": true, "watches": true}

// applies reports whether a role has a resource.
func applies(role, resource string) bool {
	if resource == "log entries" {
		return role == RoleLeader
	}
	switch role {
	case RoleDiscovery:
		return !meshResources[resource] && resource != "statements"
	case RoleDatabases:
		return resource == "processor" || resource == "resident memory" || resource == "statements"
	case RoleSimulatedFollower:
		return !serverResources[resource]
	}
	return !serverResources[resource] && resource != "heap in use"
}

// newRecord returns a record without a resource.
func newRecord(size Size, phase, role string) Record {
	r := Record{Fleet: size.Fronts, Databases: size.Databases, Phase: phase, Role: role}
	if role == RoleSimulatedFollower {
		r.Note = simulatedNote
	}
	return r
}

// with returns a copy that has a resource.
func (r Record) with(resource, unit string, value float64) Record {
	r.Resource, r.Unit, r.Value = resource, unit, rounded(value)
	return r
}

// idleRecords makes the records of the idle phase: each resource for one front and second. It keeps the usage, which changeRecords
// needs.
func (r *results) idleRecords(size Size, phase phaseUsage) (all []Record) {
	r.idle = phase.byRole
	for _, role := range roleOrder {
		u, ok := phase.byRole[role]
		if !ok {
			continue
		}
		base := newRecord(size, PhaseIdle, role)
		base.Fronts, base.Partial = u.fronts, phase.partial[role]
		add := func(resource, unit string, value float64) {
			if applies(role, resource) {
				all = append(all, base.with(resource, unit, value))
			}
		}
		for _, c := range counterResources {
			add(c.name, c.idleUnit, u.perFrontSecond(c.value(&u)*c.scale))
		}
		for _, kind := range u.kindNames() {
			add(kindMessages+kind, "1/s", u.perFrontSecond(u.kinds[kind].messages))
			add(kindBytes+kind, unitBytesPerSecond, u.perFrontSecond(u.kinds[kind].bytes))
		}
		for _, g := range gaugeResources {
			add(g.name, g.unit, u.perFront(g.value(&u)*g.scale))
		}
	}
	return all
}

// startRecords makes the records of the start: what each front used until the fleet converged, or failed to.
func startRecords(size Size, start startResult) (all []Record) {
	partial := ""
	if start.failed != nil {
		partial = start.failed.Error()
	}
	fleet := newRecord(size, PhaseStart, roleFleet)
	fleet.Fronts, fleet.Partial = size.Fronts, partial
	all = append(all, fleet.with("time until it has settled", "s", start.took.Seconds()))
	for _, role := range roleOrder {
		u, ok := start.usage[role]
		if !ok {
			continue
		}
		base := newRecord(size, PhaseStart, role)
		base.Fronts, base.Partial = u.fronts, partial
		for _, c := range counterResources {
			if applies(role, c.name) {
				all = append(all, base.with(c.name, c.changeUnit, u.perFront(c.value(&u)*c.scale)))
			}
		}
		for _, kind := range u.kindNames() {
			all = append(all, base.with(kindMessages+kind, "messages", u.perFront(u.kinds[kind].messages)),
				base.with(kindBytes+kind, "B", u.perFront(u.kinds[kind].bytes)))
		}
	}
	return all
}

// changeRecords makes the records of a phase with changes: what one front used for one change beyond the idle phase.
func (r *results) changeRecords(size Size, phase string, changes int, usage phaseUsage) (all []Record) {
	for _, role := range roleOrder {
		u, ok := usage.byRole[role]
		idle, known := r.idle[role]
		if !ok || !known {
			continue
		}
		base := newRecord(size, phase, role)
		base.Fronts, base.Changes, base.Partial = u.fronts, changes, usage.partial[role]
		add := func(resource, unit string, value float64) {
			if applies(role, resource) {
				all = append(all, base.with(resource, unit, value))
			}
		}
		seconds := u.perFront(u.frontSeconds)
		beyondIdle := func(total, idleTotal float64) float64 {
			return (u.perFrontSecond(total) - idle.perFrontSecond(idleTotal)) * seconds / float64(changes)
		}
		for _, c := range counterResources {
			add(c.name, c.changeUnit, beyondIdle(c.value(&u), c.value(&idle))*c.scale)
		}
		for _, kind := range u.kindNames() {
			k, idleKind := u.kinds[kind], idle.kinds[kind]
			messages := beyondIdle(k.messages, idleKind.messages)
			if math.Abs(messages) < minMessages {
				continue
			}
			add(kindMessages+kind, "messages", messages)
			add(kindBytes+kind, "B", beyondIdle(k.bytes, idleKind.bytes))
		}
		add("resident memory", "MiB", u.perFront(u.residentBytes/bytesPerMiB))
	}
	return all
}

// timing is a time that was measured several times.
type timing struct {
	resource string // from when to when
	changes  int    // 0 where it is not of changes
	times    *hdrhistogram.Histogram
	missing  int // that took too long to be measured
}

// timeRecord makes the record of a time; its value is the longest.
func timeRecord(size Size, phase string, t timing) Record {
	q := quantiles(t.times)
	r := newRecord(size, phase, roleFleet)
	r.Resource, r.Unit, r.Value, r.Quantiles = t.resource, unitMilliseconds, q.Max, q
	r.Changes, r.Missing, r.Fronts = t.changes, t.missing, size.Fronts
	return r
}
