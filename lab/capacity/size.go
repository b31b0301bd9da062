package capacity

import (
	"fmt"
	"time"
)

// Size is how large a fleet a run measures, and for how long.
type Size struct {
	Fronts              int           `json:"fronts"`             // real and simulated together
	SimulatedPerProcess int           `json:"hollow_per_process"` // simulated followers of a worker process
	Databases           int           `json:"databases"`
	Zones               int           `json:"zones"`
	ChangesPerHour      float64       `json:"changes_per_hour"` // of each kind of change, in its own phase
	Duration            time.Duration `json:"duration_ns"`      // of each phase
	LeaseDuration       time.Duration `json:"span_ns"`          // a configuration lease lasts configLeaseFactor of it
	Mandatory           bool          `json:"must"`             // configurations are published as mandatory: fronts that lag are fenced sooner
	PausedOneIn         int           `json:"cut_off"`          // one front in so many is paused during configuration changes; 0 for none
}

// The real processes of a run, by ordinal: n1 to n8.
const (
	voterCount       = 3
	endpointsOrdinal = voterCount     // the endpoint list's lease is transferred to it
	rolloutsOrdinal  = voterCount + 1 // the rollouts' lease
	realFollowers    = 2              // measured as real followers
	historyOrdinal   = voterCount + 2 + realFollowers
	realFronts       = historyOrdinal + 1 // the last keeps a history, which costs: it is counted in no role
)

// groupSize is the number of databases of a group: one primary and its replicas.
const groupSize = 3

// What one process or front needs, rounded up from runs. Check rejects a size by them.
const (
	maxProcesses               = 300
	realFrontMemory            = 48 << 20 // resident bytes of a real front
	workerMemory               = 32 << 20 // of a worker process beside its followers or databases
	simulatedMemory            = 3 << 20  // of a simulated follower
	simulatedMemoryPerDatabase = 8 << 10  // of a simulated follower, for each database
	databaseMemory             = 64 << 10 // of a fake database
	simulatedDescriptors       = 32       // of a simulated follower: its listener, links both ways, discovery
	databaseDescriptors        = 2
	spareDescriptors           = 128
)

// Limits of Size.LeaseDuration. A longer one suits a machine that is short of processors.
const (
	minLeaseDuration = time.Second
	maxLeaseDuration = time.Minute
)

// maxZones is the number of zones that an endpoint list may name.
const maxZones = 64

// Machine is what a machine has of the resources that limit a run.
type Machine struct {
	Memory      int64 // bytes, used or not
	Descriptors int   // that one process may open
}

// simulated returns the number of simulated followers, simulatedProcesses that of the processes that host them.
func (s Size) simulated() int          { return s.Fronts - realFronts }
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

// ordinalsByProcess returns the ordinals of the simulated followers of each process. Those that are paused have the last one for
// themselves.
func (s Size) ordinalsByProcess() (all [][]int) {
	running := s.Fronts - s.pausedFronts() // the ordinals below are not paused
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

// changes returns the number of changes in a phase: at least one.
func (s Size) changes() int {
	return max(1, int(s.ChangesPerHour*s.Duration.Hours()+0.5))
}

// memory estimates what the run needs, in bytes.
func (s Size) memory() int64 {
	perFollower := int64(simulatedMemory + s.Databases*simulatedMemoryPerDatabase)
	return realFronts*realFrontMemory + int64(s.simulated())*perFollower + int64(s.simulatedProcesses()+2)*workerMemory + int64(s.Databases)*databaseMemory
}

// descriptors estimates what the largest worker process needs.
func (s Size) descriptors() int {
	return max(min(s.SimulatedPerProcess, s.simulated())*simulatedDescriptors, s.Databases*databaseDescriptors, s.Fronts*2) + spareDescriptors
}

// Check reports whether a size is valid and a machine can bear it. The error is a SizeError.
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

// add adds a line.
func (e *SizeError) add(format string, args ...any) { *e = append(*e, fmt.Sprintf(format, args...)) }

// checkValues returns what is out of range.
func (s Size) checkValues() (e SizeError) {
	if s.Fronts <= realFronts {
		e.add("--fronts %d: %d are real processes (%d voters, two leaseholders, followers); %d at least", s.Fronts, realFronts, voterCount, realFronts+1)
	}
	if s.SimulatedPerProcess < 1 {
		e.add("--hollow-per-process %d: 1 at least; 48 is usual", s.SimulatedPerProcess)
	}
	if s.Databases < 1 {
		e.add("--databases %d: 1 at least", s.Databases)
	}
	if s.Zones < 1 || s.Zones > maxZones {
		e.add("--zones %d: between 1 and %d", s.Zones, maxZones)
	}
	if s.ChangesPerHour <= 0 {
		e.add("--changes-per-hour %v: above 0; 50 are 1,200 a day", s.ChangesPerHour)
	}
	if s.Duration < time.Second {
		e.add("--duration %v: 1s at least, of each phase", s.Duration)
	}
	if s.LeaseDuration < minLeaseDuration || s.LeaseDuration > maxLeaseDuration {
		e.add("--span %v: between %v and %v; 3s is usual", s.LeaseDuration, minLeaseDuration, maxLeaseDuration)
	}
	if s.PausedOneIn < 0 || s.PausedOneIn == 1 {
		e.add("--cut-off %d: 0 for none, or one front in so many, 2 at least", s.PausedOneIn)
	}
	return e
}

// checkMachine returns what a machine cannot bear.
func (s Size) checkMachine(m Machine) (e SizeError) {
	if n := s.simulatedProcesses(); n > maxProcesses {
		e.add("--fronts %d by --hollow-per-process %d are %d processes, and %d are the most: --hollow-per-process %d would fit",
			s.Fronts, s.SimulatedPerProcess, n, maxProcesses, (s.simulated()+maxProcesses-1)/maxProcesses)
	}
	if need, have := s.memory(), m.Memory/2; need > have {
		e.add("--fronts %d and --databases %d need about %d MiB, and half of the machine's memory is %d MiB: %s",
			s.Fronts, s.Databases, need>>20, have>>20, s.largestSize(func(t Size) bool { return t.memory() <= have }))
	}
	if need := s.descriptors(); need > m.Descriptors {
		e.add("a process would need about %d descriptors, and %d are allowed: %s", need, m.Descriptors, s.descriptorAdvice(m.Descriptors))
	}
	return e
}

// largestSize names the largest number of fronts that passes.
func (s Size) largestSize(passes func(Size) bool) string {
	for t := s; t.Fronts > realFronts; t.Fronts-- {
		if passes(t) {
			return fmt.Sprintf("--fronts %d would fit", t.Fronts)
		}
	}
	return "fewer --databases would fit"
}

// descriptorAdvice names a size that so many descriptors would suffice for.
func (s Size) descriptorAdvice(have int) string {
	if per := (have - spareDescriptors) / simulatedDescriptors; per >= 1 && per < s.SimulatedPerProcess {
		return fmt.Sprintf("--hollow-per-process %d would fit", per)
	}
	return fmt.Sprintf("--databases %d and --fronts %d are the most", (have-spareDescriptors)/databaseDescriptors, (have-spareDescriptors)/2)
}
