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
	rest map[string]spent // by role: what a second at rest costs one front
}

// spent is what a role's processes spent between two samples, of all their fronts.
type spent struct {
	fronts        int
	seconds       float64 // between the samples, summed over fronts
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
	sheds         float64
	kinds         map[string]kindSpent // of messages sent
}

// kindSpent is what was sent of one kind of message.
type kindSpent struct{ messages, bytes float64 }

// spentBetween adds up by role; the roles are those at the end.
func spentBetween(before, after []sample, is roles) map[string]spent {
	first := map[string]sample{}
	for _, s := range before {
		first[s.process] = s
	}
	out := map[string]spent{}
	for _, s := range after {
		a, ok := first[s.process]
		role := s.role
		if s.real >= 0 {
			role = is.of(s.real)
		}
		if !ok || role == noRole {
			continue
		}
		n := max(1, s.Fronts)
		x := out[role]
		x.fronts += n
		x.seconds += float64(s.At-a.At) / 1e6 * float64(n)
		x.cpu += s.CPU - a.CPU
		x.sent += float64(s.Sent - a.Sent)
		x.received += float64(s.Received - a.Received)
		x.sentBytes += float64(s.SentBytes - a.SentBytes)
		x.receivedBytes += float64(s.ReceivedBytes - a.ReceivedBytes)
		x.statements += float64(s.Statements - a.Statements)
		x.calls += float64(s.Calls - a.Calls)
		x.links += float64(s.Links)
		x.residentBytes += float64(s.Resident)
		x.heapBytes += float64(s.Heap)
		x.watches += float64(s.Watches)
		x.logEntries += float64(s.LogIndex - a.LogIndex)
		x.sheds += float64(s.Shed - a.Shed)
		x.addKinds(a.Kinds, s.Kinds)
		out[role] = x
	}
	return out
}

func (s *spent) addKinds(before, after map[string]KindCounters) {
	if s.kinds == nil {
		s.kinds = map[string]kindSpent{}
	}
	for kind, k := range after {
		x := s.kinds[kind]
		x.messages += float64(k.Messages - before[kind].Messages)
		x.bytes += float64(k.Bytes - before[kind].Bytes)
		s.kinds[kind] = x
	}
}

// kindNames are the kinds that a role sent, sorted.
func (s *spent) kindNames() []string { return slices.Sorted(maps.Keys(s.kinds)) }

// flow is a resource that is spent over time.
type flow struct {
	name      string
	atRest    string // unit a second
	perChange string // unit a change
	scale     float64
	of        func(spent) float64
}

var flows = []flow{
	{"processor", unitCorePerSecond, "ms of a core", msPerSecond, func(s spent) float64 { return s.cpu }},
	{"bytes sent", unitBytesPerSecond, "B", 1, func(s spent) float64 { return s.sentBytes }},
	{"bytes received", unitBytesPerSecond, "B", 1, func(s spent) float64 { return s.receivedBytes }},
	{"messages sent", "1/s", "messages", 1, func(s spent) float64 { return s.sent }},
	{"messages received", "1/s", "messages", 1, func(s spent) float64 { return s.received }},
	{"statements", "1/s", "statements", 1, func(s spent) float64 { return s.statements }},
	{"calls", "1/s", "calls", 1, func(s spent) float64 { return s.calls }},
	{"log entries", "1/s", "entries", 1, func(s spent) float64 { return s.logEntries }},
	{"slow peers let go", "1/s", "links", 1, func(s spent) float64 { return s.sheds }},
}

// level is a resource that is held.
type level struct {
	name, unit string
	scale      float64
	of         func(spent) float64
}

var levels = []level{
	{"resident memory", "MiB", 1.0 / bytesPerMega, func(s spent) float64 { return s.residentBytes }},
	{"heap in use", "MiB", 1.0 / bytesPerMega, func(s spent) float64 { return s.heapBytes }},
	{"links", "links", 1, func(s spent) float64 { return s.links }},
	{"watches", "watches", 1, func(s spent) float64 { return s.watches }},
}

// leastMessages of a kind for a change are told; fewer are the difference between two times of rest.
const leastMessages = 0.5

// The beginnings of the names of what was sent of one kind of message.
const (
	kindMessages = "messages sent: "
	kindBytes    = "bytes sent: "
)

// fits tells whether a role has a resource: servers have no mesh, fronts no watches or statements of their own.
func fits(role, resource string) bool {
	server := map[string]bool{"messages sent": true, "messages received": true, "links": true, "slow peers let go": true}
	if resource == "log entries" {
		return role == VoterLeader
	}
	switch role {
	case Discovery:
		return !server[resource] && resource != "statements"
	case Databases:
		return resource == "processor" || resource == "resident memory" || resource == "statements"
	case HollowFollower:
		return resource != "statements" && resource != "calls" && resource != "watches"
	}
	return resource != "statements" && resource != "calls" && resource != "watches" && resource != "heap in use"
}

// note says how a role's figure was taken.
func note(role string) string {
	if role == HollowFollower {
		return hollowNote
	}
	return ""
}

// atRest makes the records of the phase at rest.
func (r *results) atRest(size Size, by map[string]spent, partial map[string]string) (all []Record) {
	r.rest = by
	for _, role := range roleOrder {
		s, ok := by[role]
		if !ok {
			continue
		}
		add := func(resource, unit string, value float64) {
			if fits(role, resource) {
				all = append(all, Record{Fleet: size.Fronts, Databases: size.Databases, Phase: Rest, Role: role, Resource: resource, Unit: unit, Value: rounded(value), Fronts: s.fronts,
					Partial: partial[role], Note: note(role)})
			}
		}
		for _, f := range flows {
			add(f.name, f.atRest, f.of(s)*f.scale/s.seconds)
		}
		for _, kind := range s.kindNames() {
			add(kindMessages+kind, "1/s", s.kinds[kind].messages/s.seconds)
			add(kindBytes+kind, unitBytesPerSecond, s.kinds[kind].bytes/s.seconds)
		}
		for _, l := range levels {
			add(l.name, l.unit, l.of(s)*l.scale/float64(s.fronts))
		}
	}
	return all
}

// starting makes those of the start: what each front spent from its first moment until the fleet had settled, or had not.
func (r *results) starting(size Size, by map[string]spent, took time.Duration, unsettled error) (all []Record) {
	why := ""
	if unsettled != nil {
		why = unsettled.Error()
	}
	add := func(role, resource, unit string, value float64, fronts int) {
		all = append(all, Record{Fleet: size.Fronts, Databases: size.Databases, Phase: Start, Role: role, Resource: resource, Unit: unit,
			Value: rounded(value), Fronts: fronts, Partial: why, Note: note(role)})
	}
	add(wholeFleet, "time until it has settled", "s", took.Seconds(), size.Fronts)
	for _, role := range roleOrder {
		s, ok := by[role]
		if !ok {
			continue
		}
		for _, f := range flows {
			if fits(role, f.name) {
				add(role, f.name, f.perChange, f.of(s)*f.scale/float64(s.fronts), s.fronts)
			}
		}
		for _, kind := range s.kindNames() {
			add(role, kindMessages+kind, "messages", s.kinds[kind].messages/float64(s.fronts), s.fronts)
			add(role, kindBytes+kind, "B", s.kinds[kind].bytes/float64(s.fronts), s.fronts)
		}
	}
	return all
}

// perChange makes those of a phase with changes: what was spent beyond rest, for one change.
func (r *results) perChange(size Size, phase string, changes int, by map[string]spent, partial map[string]string) (all []Record) {
	for _, role := range roleOrder {
		s, ok := by[role]
		rest, known := r.rest[role]
		if !ok || !known {
			continue
		}
		add := func(resource, unit string, value float64) {
			if fits(role, resource) {
				all = append(all, Record{Fleet: size.Fronts, Databases: size.Databases, Phase: phase, Role: role, Resource: resource, Unit: unit, Value: rounded(value), Fronts: s.fronts,
					Changes: changes, Partial: partial[role], Note: note(role)})
			}
		}
		for _, f := range flows {
			beyond := f.of(s)/s.seconds - f.of(rest)/rest.seconds
			elapsed := s.seconds / float64(s.fronts)
			add(f.name, f.perChange, beyond*elapsed*f.scale/float64(changes))
		}
		for _, kind := range s.kindNames() {
			beyond := func(of func(kindSpent) float64) float64 {
				each := of(s.kinds[kind])/s.seconds - of(rest.kinds[kind])/rest.seconds
				return each * s.seconds / float64(s.fronts) / float64(changes)
			}
			messages := beyond(func(k kindSpent) float64 { return k.messages })
			if math.Abs(messages) < leastMessages {
				continue
			}
			add(kindMessages+kind, "messages", messages)
			add(kindBytes+kind, "B", beyond(func(k kindSpent) float64 { return k.bytes }))
		}
		add("resident memory", "MiB", s.residentBytes/bytesPerMega/float64(s.fronts))
	}
	return all
}

// times makes the record of a histogram.
func times(size Size, phase, resource string, changes int, h *hdrhistogram.Histogram, missing int) Record {
	q := quantiles(h)
	return Record{Fleet: size.Fronts, Databases: size.Databases, Phase: phase, Role: wholeFleet, Resource: resource, Unit: unitMilliseconds, Value: q.Most, Changes: changes,
		Fronts: size.Fronts, Quantiles: q, Missing: missing}
}
