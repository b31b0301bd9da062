package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func nowMicro() int64 { return time.Now().UnixMicro() }

// results are what was measured so far.
type results struct {
	all  []Record
	idle map[string]roleUsage // by role: what a second at rest costs one front
}

// roleUsage is what a role's processes spent between two samples, of all their fronts.
type roleUsage struct {
	fronts        int
	frontSeconds  float64 // between the samples, summed over fronts
	cpu           float64 // seconds
	sent          float64
	received      float64
	sentBytes     float64
	receivedBytes float64
	statements    float64
	calls         float64
	links         float64 // at the end
	residentBytes float64
	heapBytes     float64
	watches       float64
	logEntries    float64
	shed          float64
	kinds         map[string]kindUsage // of messages sent
}

// kindUsage is what was sent of one kind of message.
type kindUsage struct{ messages, bytes float64 }

// usageBetween adds up by role; the roles are those at the end.
func usageBetween(before, after []sample, current roles) map[string]roleUsage {
	first := map[string]sample{}
	for _, s := range before {
		first[s.process] = s
	}
	byRole := map[string]roleUsage{}
	for _, s := range after {
		earlier, ok := first[s.process]
		role := s.role
		if s.real >= 0 {
			role = current.of(s.real)
		}
		if !ok || role == noRole {
			continue
		}
		n := max(1, s.Fronts)
		usage := byRole[role]
		usage.fronts += n
		usage.frontSeconds += float64(s.SampledAt-earlier.SampledAt) / 1e6 * float64(n)
		usage.cpu += s.CPUSeconds - earlier.CPUSeconds
		usage.sent += float64(s.Sent - earlier.Sent)
		usage.received += float64(s.Received - earlier.Received)
		usage.sentBytes += float64(s.SentBytes - earlier.SentBytes)
		usage.receivedBytes += float64(s.ReceivedBytes - earlier.ReceivedBytes)
		usage.statements += float64(s.Statements - earlier.Statements)
		usage.calls += float64(s.Calls - earlier.Calls)
		usage.links += float64(s.Links)
		usage.residentBytes += float64(s.ResidentBytes)
		usage.heapBytes += float64(s.HeapBytes)
		usage.watches += float64(s.Watches)
		usage.logEntries += float64(s.LogIndex - earlier.LogIndex)
		usage.shed += float64(s.Shed - earlier.Shed)
		usage.addKinds(earlier.Kinds, s.Kinds)
		byRole[role] = usage
	}
	return byRole
}

func (s *roleUsage) addKinds(before, after map[string]KindCounters) {
	if s.kinds == nil {
		s.kinds = map[string]kindUsage{}
	}
	for kind, k := range after {
		x := s.kinds[kind]
		x.messages += float64(k.Messages - before[kind].Messages)
		x.bytes += float64(k.Bytes - before[kind].Bytes)
		s.kinds[kind] = x
	}
}

// kindNames are the kinds that a role sent, sorted.
func (s *roleUsage) kindNames() []string { return slices.Sorted(maps.Keys(s.kinds)) }

// counterResource is a resource that is spent over time.
type counterResource struct {
	name       string
	idleUnit   string // unit a second
	changeUnit string // unit a change
	scale      float64
	value      func(roleUsage) float64
}

var counterResources = []counterResource{
	{"processor", unitCorePerSecond, "ms of a core", millisPerSecond, func(s roleUsage) float64 { return s.cpu }},
	{"bytes sent", unitBytesPerSecond, "B", 1, func(s roleUsage) float64 { return s.sentBytes }},
	{"bytes received", unitBytesPerSecond, "B", 1, func(s roleUsage) float64 { return s.receivedBytes }},
	{"messages sent", "1/s", "messages", 1, func(s roleUsage) float64 { return s.sent }},
	{"messages received", "1/s", "messages", 1, func(s roleUsage) float64 { return s.received }},
	{"statements", "1/s", "statements", 1, func(s roleUsage) float64 { return s.statements }},
	{"calls", "1/s", "calls", 1, func(s roleUsage) float64 { return s.calls }},
	{"log entries", "1/s", "entries", 1, func(s roleUsage) float64 { return s.logEntries }},
	{"slow peers let go", "1/s", "links", 1, func(s roleUsage) float64 { return s.shed }},
}

// gaugeResource is a resource that is held.
type gaugeResource struct {
	name, unit string
	scale      float64
	value      func(roleUsage) float64
}

var gaugeResources = []gaugeResource{
	{"resident memory", "MiB", 1.0 / bytesPerMiB, func(s roleUsage) float64 { return s.residentBytes }},
	{"heap in use", "MiB", 1.0 / bytesPerMiB, func(s roleUsage) float64 { return s.heapBytes }},
	{"links", "links", 1, func(s roleUsage) float64 { return s.links }},
	{"watches", "watches", 1, func(s roleUsage) float64 { return s.watches }},
}

// minMessages of a kind for a change are told; fewer are the difference between two times of rest.
const minMessages = 0.5

// The beginnings of the names of what was sent of one kind of message.
const (
	kindMessages = "messages sent: "
	kindBytes    = "bytes sent: "
)

// applies tells whether a role has a resource: servers have no mesh, fronts no watches or statements of their own.
func applies(role, resource string) bool {
	server := map[string]bool{"messages sent": true, "messages received": true, "links": true, "slow peers let go": true}
	if resource == "log entries" {
		return role == RoleLeader
	}
	switch role {
	case RoleDiscovery:
		return !server[resource] && resource != "statements"
	case RoleDatabases:
		return resource == "processor" || resource == "resident memory" || resource == "statements"
	case RoleSimulatedFollower:
		return resource != "statements" && resource != "calls" && resource != "watches"
	}
	return resource != "statements" && resource != "calls" && resource != "watches" && resource != "heap in use"
}

// roleNote says how a role's figure was taken.
func roleNote(role string) string {
	if role == RoleSimulatedFollower {
		return simulatedNote
	}
	return ""
}

// idleRecords makes the records of the phase at rest.
func (r *results) idleRecords(size Size, by map[string]roleUsage, partial map[string]string) (all []Record) {
	r.idle = by
	for _, role := range roleOrder {
		s, ok := by[role]
		if !ok {
			continue
		}
		add := func(resource, unit string, value float64) {
			if applies(role, resource) {
				all = append(all, Record{Fleet: size.Fronts, Databases: size.Databases, Phase: PhaseIdle, Role: role, Resource: resource, Unit: unit, Value: rounded(value), Fronts: s.fronts,
					Partial: partial[role], Note: roleNote(role)})
			}
		}
		for _, f := range counterResources {
			add(f.name, f.idleUnit, f.value(s)*f.scale/s.frontSeconds)
		}
		for _, kind := range s.kindNames() {
			add(kindMessages+kind, "1/s", s.kinds[kind].messages/s.frontSeconds)
			add(kindBytes+kind, unitBytesPerSecond, s.kinds[kind].bytes/s.frontSeconds)
		}
		for _, l := range gaugeResources {
			add(l.name, l.unit, l.value(s)*l.scale/float64(s.fronts))
		}
	}
	return all
}

// startRecords makes those of the start: what each front spent from its first moment until the fleet had settled, or had not.
func (r *results) startRecords(size Size, by map[string]roleUsage, took time.Duration, unsettled error) (all []Record) {
	why := ""
	if unsettled != nil {
		why = unsettled.Error()
	}
	add := func(role, resource, unit string, value float64, fronts int) {
		all = append(all, Record{Fleet: size.Fronts, Databases: size.Databases, Phase: PhaseStart, Role: role, Resource: resource, Unit: unit,
			Value: rounded(value), Fronts: fronts, Partial: why, Note: roleNote(role)})
	}
	add(roleFleet, "time until it has settled", "s", took.Seconds(), size.Fronts)
	for _, role := range roleOrder {
		s, ok := by[role]
		if !ok {
			continue
		}
		for _, f := range counterResources {
			if applies(role, f.name) {
				add(role, f.name, f.changeUnit, f.value(s)*f.scale/float64(s.fronts), s.fronts)
			}
		}
		for _, kind := range s.kindNames() {
			add(role, kindMessages+kind, "messages", s.kinds[kind].messages/float64(s.fronts), s.fronts)
			add(role, kindBytes+kind, "B", s.kinds[kind].bytes/float64(s.fronts), s.fronts)
		}
	}
	return all
}

// changeRecords makes those of a phase with changes: what was spent beyond rest, for one change.
func (r *results) changeRecords(size Size, phase string, changes int, by map[string]roleUsage, partial map[string]string) (all []Record) {
	for _, role := range roleOrder {
		s, ok := by[role]
		rest, known := r.idle[role]
		if !ok || !known {
			continue
		}
		add := func(resource, unit string, value float64) {
			if applies(role, resource) {
				all = append(all, Record{Fleet: size.Fronts, Databases: size.Databases, Phase: phase, Role: role, Resource: resource, Unit: unit, Value: rounded(value), Fronts: s.fronts,
					Changes: changes, Partial: partial[role], Note: roleNote(role)})
			}
		}
		for _, f := range counterResources {
			beyond := f.value(s)/s.frontSeconds - f.value(rest)/rest.frontSeconds
			elapsed := s.frontSeconds / float64(s.fronts)
			add(f.name, f.changeUnit, beyond*elapsed*f.scale/float64(changes))
		}
		for _, kind := range s.kindNames() {
			beyond := func(of func(kindUsage) float64) float64 {
				each := of(s.kinds[kind])/s.frontSeconds - of(rest.kinds[kind])/rest.frontSeconds
				return each * s.frontSeconds / float64(s.fronts) / float64(changes)
			}
			messages := beyond(func(k kindUsage) float64 { return k.messages })
			if math.Abs(messages) < minMessages {
				continue
			}
			add(kindMessages+kind, "messages", messages)
			add(kindBytes+kind, "B", beyond(func(k kindUsage) float64 { return k.bytes }))
		}
		add("resident memory", "MiB", s.residentBytes/bytesPerMiB/float64(s.fronts))
	}
	return all
}

// timeRecord makes the record of a histogram.
func timeRecord(size Size, phase, resource string, changes int, h *hdrhistogram.Histogram, missing int) Record {
	q := quantiles(h)
	return Record{Fleet: size.Fronts, Databases: size.Databases, Phase: phase, Role: roleFleet, Resource: resource, Unit: unitMilliseconds, Value: q.Max, Changes: changes,
		Fronts: size.Fronts, Quantiles: q, Missing: missing}
}
