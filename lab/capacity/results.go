package capacity

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// results holds the records so far and the usage in the idle phase. The records of phases with changes show the usage beyond it.
type results struct {
	all  []Record
	idle map[string]roleUsage // by role
}

// phaseUsage is the usage of each role in a phase.
type phaseUsage struct {
	byRole  map[string]roleUsage
	partial map[string]string // reasons why the usage of a role is partial, by role
}

// startResult is the usage of a fleet during its start, and the outcome of the start.
type startResult struct {
	usage    map[string]roleUsage // by role
	duration time.Duration
	err      error // nil for a fleet that converged
}

// counterResource is a resource whose usage accumulates over time.
type counterResource struct {
	name       string
	idleUnit   string  // unit of the usage per second
	changeUnit string  // unit of the usage per change
	scale      float64 // converts value to the unit
	value      func(*roleUsage) float64
}

// counterResources lists the counter resources in the order of the records.
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

// gaugeResource is a resource whose usage is a level at a moment.
type gaugeResource struct {
	name, unit string
	scale      float64 // converts value to the unit
	value      func(*roleUsage) float64
}

// gaugeResources lists the gauge resources in the order of the records.
var gaugeResources = []gaugeResource{
	{"resident memory", "MiB", 1.0 / bytesPerMiB, func(u *roleUsage) float64 { return u.residentBytes }},
	{"heap in use", "MiB", 1.0 / bytesPerMiB, func(u *roleUsage) float64 { return u.heapBytes }},
	{"links", "links", 1, func(u *roleUsage) float64 { return u.mesh.links }},
	{"watches", "watches", 1, func(u *roleUsage) float64 { return u.server.watches }},
}

// minMessages is the least number of messages of one kind per change that makes a record. A smaller number is noise: the idle traffic
// varies by as much between two phases.
const minMessages = 0.5

// Prefixes of the names of resources that count the messages of one kind.
const (
	kindMessages = "messages sent: "
	kindBytes    = "bytes sent: "
)

// meshResources are the resources that the fake servers do not have.
var meshResources = map[string]bool{"messages sent": true, "messages received": true, "links": true, "slow peers let go": true}

// serverResources are the resources that fronts do not have.
var serverResources = map[string]bool{"statements": true, "calls": true, "watches": true}

// hasResource reports whether a resource is measured for a role.
func hasResource(role, resource string) bool {
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

// newRecord returns a record of a role in a phase. Its resource is not set yet.
func newRecord(size Size, phase, role string) Record {
	r := Record{Fleet: size.Fronts, Databases: size.Databases, Phase: phase, Role: role}
	if role == RoleSimulatedFollower {
		r.Note = simulatedNote
	}
	return r
}

// withResource returns a copy of the record with a resource and its value.
func (r Record) withResource(resource, unit string, value float64) Record {
	r.Resource, r.Unit, r.Value = resource, unit, rounded(value)
	return r
}

// idleRecords returns the records of the idle phase. Counters are per front and second, and gauges per front. It stores the usage for
// changeRecords.
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
			if hasResource(role, resource) {
				all = append(all, base.withResource(resource, unit, value))
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

// startRecords returns the records of the start phase: the usage per front until the fleet converged or failed to converge.
func startRecords(size Size, start startResult) (all []Record) {
	partial := ""
	if start.err != nil {
		partial = start.err.Error()
	}
	fleet := newRecord(size, PhaseStart, roleFleet)
	fleet.Fronts, fleet.Partial = size.Fronts, partial
	all = append(all, fleet.withResource("time until it has settled", "s", start.duration.Seconds()))
	for _, role := range roleOrder {
		u, ok := start.usage[role]
		if !ok {
			continue
		}
		base := newRecord(size, PhaseStart, role)
		base.Fronts, base.Partial = u.fronts, partial
		for _, c := range counterResources {
			if hasResource(role, c.name) {
				all = append(all, base.withResource(c.name, c.changeUnit, u.perFront(c.value(&u)*c.scale)))
			}
		}
		for _, kind := range u.kindNames() {
			all = append(all, base.withResource(kindMessages+kind, "messages", u.perFront(u.kinds[kind].messages)),
				base.withResource(kindBytes+kind, "B", u.perFront(u.kinds[kind].bytes)))
		}
	}
	return all
}

// changeRecords returns the records of a phase with changes: the usage per front and change beyond the usage in the idle phase.
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
			if hasResource(role, resource) {
				all = append(all, base.withResource(resource, unit, value))
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

// timing is a duration that was measured several times.
type timing struct {
	resource string // the record's resource, which names the start and the end of the duration
	changes  int    // number of changes; 0 if the duration is not that of a change
	times    *hdrhistogram.Histogram
	missing  int // measurements that took too long
}

// timeRecord returns the record of a timing. Its value is the longest time.
func timeRecord(size Size, phase string, t timing) Record {
	q := quantiles(t.times)
	r := newRecord(size, phase, roleFleet)
	r.Resource, r.Unit, r.Value, r.Quantiles = t.resource, unitMilliseconds, q.Max, q
	r.Changes, r.Missing, r.Fronts = t.changes, t.missing, size.Fronts
	return r
}
