package capacity

import (
	"maps"
	"slices"
)

// roleUsage is the resource usage of all processes of a role between two samples. Gauges (links, watches and memory) are the values at
// the second sample.
type roleUsage struct {
	fronts        int
	frontSeconds  float64 // time between the samples, summed over the fronts
	cpuSeconds    float64
	residentBytes float64
	heapBytes     float64
	logEntries    float64
	mesh          meshUsage
	server        serverUsage
	kinds         map[string]kindUsage // messages sent, by kind
}

// meshUsage is the traffic between the fronts of a role and their peers, summed over these fronts.
type meshUsage struct {
	links, shed              float64
	sent, received           float64 // messages
	sentBytes, receivedBytes float64
}

func (u *meshUsage) add(before, after MeshCounters) {
	u.links += float64(after.Links)
	u.shed += float64(after.Shed - before.Shed)
	u.sent += float64(after.Sent - before.Sent)
	u.received += float64(after.Received - before.Received)
	u.sentBytes += float64(after.SentBytes - before.SentBytes)
	u.receivedBytes += float64(after.ReceivedBytes - before.ReceivedBytes)
}

// serverUsage is the usage of the fake servers.
type serverUsage struct{ watches, calls, statements float64 }

func (u *serverUsage) add(before, after ServerCounters) {
	u.watches += float64(after.Watches)
	u.calls += float64(after.Calls - before.Calls)
	u.statements += float64(after.Statements - before.Statements)
}

// kindUsage counts the messages of one kind that were sent.
type kindUsage struct{ messages, bytes float64 }

// usageBetween returns the usage of each role between two sets of samples. Current holds the roles at the end. A process that is missing
// in the first set is left out.
func usageBetween(before, after []sample, current roles) map[string]roleUsage {
	earlier := map[string]Counters{}
	for _, s := range before {
		earlier[s.process] = s.Counters
	}
	byRole := map[string]roleUsage{}
	for _, s := range after {
		role := s.role
		if s.ordinal >= 0 {
			role = current.roleOf(s.ordinal)
		}
		first, ok := earlier[s.process]
		if !ok || role == noRole {
			continue
		}
		u := byRole[role]
		u.add(first, s.Counters)
		byRole[role] = u
	}
	return byRole
}

// add adds the usage of one process between two samples.
func (u *roleUsage) add(before, after Counters) {
	fronts := max(1, after.Fronts)
	u.fronts += fronts
	u.frontSeconds += float64(after.SampledAt-before.SampledAt) / 1e6 * float64(fronts)
	u.cpuSeconds += after.CPUSeconds - before.CPUSeconds
	u.residentBytes += float64(after.ResidentBytes)
	u.heapBytes += float64(after.HeapBytes)
	u.logEntries += float64(after.LogIndex - before.LogIndex)
	u.mesh.add(before.MeshCounters, after.MeshCounters)
	u.server.add(before.ServerCounters, after.ServerCounters)
	u.addKinds(before.Kinds, after.Kinds)
}

// addKinds adds the messages that one process sent between two samples, by kind.
func (u *roleUsage) addKinds(before, after map[string]KindCounters) {
	if u.kinds == nil {
		u.kinds = map[string]kindUsage{}
	}
	for kind, k := range after {
		x := u.kinds[kind]
		x.messages += float64(k.Messages - before[kind].Messages)
		x.bytes += float64(k.Bytes - before[kind].Bytes)
		u.kinds[kind] = x
	}
}

// perFront returns a total over the role's fronts as the average of one front.
func (u *roleUsage) perFront(total float64) float64 { return total / float64(u.fronts) }

// perFrontSecond returns a total over the role's fronts as the average of one front in one second between the samples.
func (u *roleUsage) perFrontSecond(total float64) float64 { return total / u.frontSeconds }

// kindNames returns the kinds of messages that the role sent, sorted.
func (u *roleUsage) kindNames() []string { return slices.Sorted(maps.Keys(u.kinds)) }
