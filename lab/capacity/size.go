package capacity

import (
	"fmt"
	"time"
)

// Size is the size of the fleet that a run measures, with the rates and durations of the run.
type Size struct {
	Fronts              int           `json:"fronts"`             // number of real and simulated fronts together
	SimulatedPerProcess int           `json:"hollow_per_process"` // number of simulated followers in a worker process
	Databases           int           `json:"databases"`
	Zones               int           `json:"zones"`
	ChangesPerHour      float64       `json:"changes_per_hour"` // rate of each kind of change, in its own phase
	Duration            time.Duration `json:"duration_ns"`      // duration of each phase
	LeaseDuration       time.Duration `json:"span_ns"`          // a configuration lease lasts configLeaseFactor times as long
	Mandatory           bool          `json:"must"`             // configurations are published as mandatory: fronts that lag are fenced sooner
	PausedOneIn         int           `json:"cut_off"`          // one in this many fronts is paused during configuration changes; 0 for none
}

// Ordinals and numbers of the real fronts of a run, n1 to n8. The voters have the ordinals below voterCount.
const (
	voterCount       = 3
	endpointsOrdinal = voterCount                     // holds the endpoint list's lease during the measurements
	rolloutsOrdinal  = voterCount + 1                 // holds the rollouts' lease during the measurements
	realFollowers    = 2                              // number of fronts that are measured as real followers
	historyOrdinal   = voterCount + 2 + realFollowers // writes a history, which uses resources, so it is counted in no role
	realFronts       = historyOrdinal + 1
)

// groupSize is the number of databases in a group: one primary and its replicas.
const groupSize = 3

// Resource needs of one process or front, rounded up from the usage in runs. Check rejects a size that exceeds the machine's resources
// or maxProcesses by these estimates.
const (
	maxProcesses               = 300
	realFrontMemory            = 48 << 20 // resident bytes of a real front
	workerMemory               = 32 << 20 // bytes of a worker process without its followers or databases
	simulatedMemory            = 3 << 20  // bytes of a simulated follower
	simulatedMemoryPerDatabase = 8 << 10  // bytes of a simulated follower for each database
	databaseMemory             = 64 << 10 // bytes of a fake database
	simulatedDescriptors       = 32       // descriptors of a simulated follower: its listener, links in both directions, discovery
	databaseDescriptors        = 2
	reservedDescriptors        = 128 // descriptors that a process needs for other purposes
)

// Limits of Size.LeaseDuration. A longer duration suits a machine with too few processors for the fleet.
const (
	minLeaseDuration = time.Second
	maxLeaseDuration = time.Minute
)

// maxZones is the maximum number of zones in an endpoint list.
const maxZones = 64

// Machine holds the resources of a machine that limit a run.
type Machine struct {
	Memory      int64 // total memory in bytes, used or not
	Descriptors int   // maximum number of descriptors that one process may open
}

// simulated returns the number of simulated followers.
func (s Size) simulated() int { return s.Fronts - realFronts }

// simulatedProcesses returns the number of worker processes that host simulated followers.
func (s Size) simulatedProcesses() int { return len(s.ordinalsByProcess()) }

// groups returns the number of groups of databases.
func (s Size) groups() int { return (s.Databases + groupSize - 1) / groupSize }

// pausedFronts returns how many simulated followers are paused during configuration changes.
func (s Size) pausedFronts() int {
	if s.PausedOneIn == 0 {
		return 0
	}
	return min(s.Fronts/s.PausedOneIn, s.simulated()-1)
}

// ordinalsByProcess returns the ordinals of the simulated followers in each worker process. The followers that are paused share the
// last process, which hosts no others.
func (s Size) ordinalsByProcess() (all [][]int) {
	running := s.Fronts - s.pausedFronts() // fronts with lower ordinals are not paused
	for first := realFronts; first < s.Fronts; {
		end := min(first+s.SimulatedPerProcess, running)
		if first == running {
			end = s.Fronts
		}
		var ordinals []int
		for i := first; i < end; i++ {
			ordinals = append(ordinals, i)
		}
		all = append(all, ordinals)
		first = end
	}
	return all
}

// changes returns the number of changes in a phase, which is at least one.
func (s Size) changes() int {
	return max(1, int(s.ChangesPerHour*s.Duration.Hours()+0.5))
}

// memory returns an estimate of the memory that the run needs, in bytes.
func (s Size) memory() int64 {
	perFollower := int64(simulatedMemory + s.Databases*simulatedMemoryPerDatabase)
	return realFronts*realFrontMemory + int64(s.simulated())*perFollower + int64(s.simulatedProcesses()+2)*workerMemory + int64(s.Databases)*databaseMemory
}

// descriptors returns an estimate of the descriptors that the largest worker process needs.
func (s Size) descriptors() int {
	return max(min(s.SimulatedPerProcess, s.simulated())*simulatedDescriptors, s.Databases*databaseDescriptors, s.Fronts*2) +
		reservedDescriptors
}

// Check returns nil if the size is valid and a machine has the resources for it, and a SizeError otherwise.
func (s Size) Check(m Machine) error {
	problems := s.checkValues()
	if problems == nil {
		problems = s.checkMachine(m)
	}
	if problems != nil {
		return problems
	}
	return nil
}

// add appends a line to the error.
func (e *SizeError) add(format string, args ...any) { *e = append(*e, fmt.Sprintf(format, args...)) }

// checkValues returns a line for each value that is out of range, or nil.
func (s Size) checkValues() (e SizeError) {
	if s.Fronts <= realFronts {
		e.add("--fronts %d: %d are real processes (%d voters, two leaseholders, followers); the minimum is %d",
			s.Fronts, realFronts, voterCount, realFronts+1)
	}
	if s.SimulatedPerProcess < 1 {
		e.add("--simulated-per-process %d: the minimum is 1; 48 is usual", s.SimulatedPerProcess)
	}
	if s.Databases < 1 {
		e.add("--databases %d: the minimum is 1", s.Databases)
	}
	if s.Zones < 1 || s.Zones > maxZones {
		e.add("--zones %d: must be between 1 and %d", s.Zones, maxZones)
	}
	if s.ChangesPerHour <= 0 {
		e.add("--changes-per-hour %v: must be above 0; 50 are 1,200 a day", s.ChangesPerHour)
	}
	if s.Duration < time.Second {
		e.add("--duration %v: the minimum is 1s for each phase", s.Duration)
	}
	if s.LeaseDuration < minLeaseDuration || s.LeaseDuration > maxLeaseDuration {
		e.add("--lease-duration %v: must be between %v and %v; 3s is usual", s.LeaseDuration, minLeaseDuration, maxLeaseDuration)
	}
	if s.PausedOneIn < 0 || s.PausedOneIn == 1 {
		e.add("--paused-one-in %d: must be 0 for none, or at least 2 to pause one front in so many", s.PausedOneIn)
	}
	return e
}

// checkMachine returns a line for each resource that a machine has too little of, or nil.
func (s Size) checkMachine(m Machine) (e SizeError) {
	if n := s.simulatedProcesses(); n > maxProcesses {
		e.add("--fronts %d with --simulated-per-process %d need %d processes, but the maximum is %d: --simulated-per-process %d would fit",
			s.Fronts, s.SimulatedPerProcess, n, maxProcesses, (s.simulated()+maxProcesses-1)/maxProcesses)
	}
	if need, have := s.memory(), m.Memory/2; need > have {
		e.add("--fronts %d and --databases %d need about %d MiB, but half of the machine's memory is %d MiB: %s",
			s.Fronts, s.Databases, need>>20, have>>20, s.largestSize(func(t Size) bool { return t.memory() <= have }))
	}
	if need := s.descriptors(); need > m.Descriptors {
		e.add("a process would need about %d descriptors, but %d are allowed: %s", need, m.Descriptors, s.descriptorAdvice(m.Descriptors))
	}
	return e
}

// largestSize returns advice that names the largest number of fronts for which passes returns true.
func (s Size) largestSize(passes func(Size) bool) string {
	for t := s; t.Fronts > realFronts; t.Fronts-- {
		if passes(t) {
			return fmt.Sprintf("--fronts %d would fit", t.Fronts)
		}
	}
	return "fewer --databases would fit"
}

// descriptorAdvice returns advice that names a size for which the given number of descriptors would suffice.
func (s Size) descriptorAdvice(have int) string {
	if per := (have - reservedDescriptors) / simulatedDescriptors; per >= 1 && per < s.SimulatedPerProcess {
		return fmt.Sprintf("--simulated-per-process %d would fit", per)
	}
	return fmt.Sprintf("--databases %d and --fronts %d are the maximum",
		(have-reservedDescriptors)/databaseDescriptors, (have-reservedDescriptors)/2)
}
