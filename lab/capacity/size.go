package capacity

import (
	"fmt"
	"strings"
	"time"
)

// Size is what a run is asked for.
type Size struct {
	Fronts              int           `json:"fronts"` // real and hollow together
	SimulatedPerProcess int           `json:"hollow_per_process"`
	Databases           int           `json:"databases"`
	Zones               int           `json:"zones"`
	ChangesPerHour      float64       `json:"changes_per_hour"` // of each kind of change, in its own phase
	Duration            time.Duration `json:"duration_ns"`      // of each phase
	LeaseDuration       time.Duration `json:"span_ns"`          // of leases; a front's right to act lasts four of them
	Mandatory           bool          `json:"must"`             // configurations must not be lagged behind: fronts that do are fenced sooner
	PausedOneIn         int           `json:"cut_off"`          // one front in so many stands still during configuration changes; 0 for none
}

// The real processes of a run, in the order of their names: n1 to n8.
const (
	voterCount       = 3
	endpointsOrdinal = voterCount     // the endpoint list's lease is transferred to it
	rolloutsOrdinal  = voterCount + 1 // the rollouts' lease
	realFollowers    = 2              // counted as real followers
	historyOrdinal   = voterCount + 2 + realFollowers
	realFronts       = historyOrdinal + 1 // the last keeps a history, which costs: it is counted in no role
)

// Databases of a group: one primary and its replicas.
const groupSize = 3

// What one process or front needs, rounded up from runs; a size is refused by them before anything is started.
const (
	maxProcesses               = 300
	realFrontMemory            = 48 << 20 // resident bytes of a real front
	workerMemory               = 32 << 20 // of a worker process beside its fronts or databases
	simulatedMemory            = 3 << 20  // of a hollow front
	simulatedMemoryPerDatabase = 8 << 10  // of a hollow front, per database
	databaseMemory             = 64 << 10 // of a fake database
	simulatedDescriptors       = 32       // of a hollow front: its listener, links both ways, discovery
	databaseDescriptors        = 2
	spareDescriptors           = 128
)

// Lease durations that a run may have: a longer one bears a machine that is short of processors.
const (
	minLeaseDuration = time.Second
	maxLeaseDuration = time.Minute
)

// Machine is what there is.
type Machine struct {
	Memory      int64 // bytes, all of it
	Descriptors int   // of one process
}

// simulated is how many fronts are hollow, processes how many processes hold them.
func (s Size) simulated() int          { return s.Fronts - realFronts }
func (s Size) simulatedProcesses() int { return len(s.ordinalsByProcess()) }
func (s Size) groups() int             { return (s.Databases + groupSize - 1) / groupSize }

// pausedFronts is how many stand still during configuration changes.
func (s Size) pausedFronts() int {
	if s.PausedOneIn == 0 {
		return 0
	}
	return min(s.Fronts/s.PausedOneIn, s.simulated()-1)
}

// ordinalsByProcess gives the ordinals of each hollow process; the last holds those that are cut off, where some are.
func (s Size) ordinalsByProcess() (all [][]int) {
	apart := s.pausedFronts()
	for first := realFronts; first < s.Fronts; {
		end := min(first+s.SimulatedPerProcess, s.Fronts-apart)
		if first == s.Fronts-apart {
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

// changes is how many changes of a kind a phase has: at least one.
func (s Size) changes() int {
	return max(1, int(s.ChangesPerHour*s.Duration.Hours()+0.5))
}

// memory is what the run is reckoned to need, in bytes.
func (s Size) memory() int64 {
	hollow := int64(simulatedMemory + s.Databases*simulatedMemoryPerDatabase)
	return realFronts*realFrontMemory + int64(s.simulated())*hollow + int64(s.simulatedProcesses()+2)*workerMemory + int64(s.Databases)*databaseMemory
}

// descriptors is what the largest worker process is reckoned to need.
func (s Size) descriptors() int {
	return max(min(s.SimulatedPerProcess, s.simulated())*simulatedDescriptors, s.Databases*databaseDescriptors, s.Fronts*2) + spareDescriptors
}

// SizeError is a size that makes no sense or that the machine cannot bear: each line says what is wrong and what would fit.
type SizeError []string

func (r SizeError) Error() string { return strings.Join(r, "\n") }

// Check finds what speaks against a size on a machine, before anything is started.
func (s Size) Check(m Machine) error {
	var r SizeError
	add := func(format string, args ...any) { r = append(r, fmt.Sprintf(format, args...)) }
	if s.Fronts <= realFronts {
		add("--fronts %d: %d are real processes (%d voters, two leaseholders, followers); %d at least", s.Fronts, realFronts, voterCount, realFronts+1)
	}
	if s.SimulatedPerProcess < 1 {
		add("--hollow-per-process %d: 1 at least; 48 is usual", s.SimulatedPerProcess)
	}
	if s.Databases < 1 {
		add("--databases %d: 1 at least", s.Databases)
	}
	if s.Zones < 1 || s.Zones > 64 {
		add("--zones %d: between 1 and 64", s.Zones)
	}
	if s.ChangesPerHour <= 0 {
		add("--changes-per-hour %v: above 0; 50 are 1,200 a day", s.ChangesPerHour)
	}
	if s.Duration < time.Second {
		add("--duration %v: 1s at least, of each phase", s.Duration)
	}
	if s.LeaseDuration < minLeaseDuration || s.LeaseDuration > maxLeaseDuration {
		add("--span %v: between %v and %v; 3s is usual", s.LeaseDuration, minLeaseDuration, maxLeaseDuration)
	}
	if s.PausedOneIn < 0 || s.PausedOneIn == 1 {
		add("--cut-off %d: 0 for none, or one front in so many, 2 at least", s.PausedOneIn)
	}
	if r != nil {
		return r
	}
	if n := s.simulatedProcesses(); n > maxProcesses {
		add("--fronts %d by --hollow-per-process %d are %d processes, and %d are the most: --hollow-per-process %d would fit",
			s.Fronts, s.SimulatedPerProcess, n, maxProcesses, (s.simulated()+maxProcesses-1)/maxProcesses)
	}
	if need, have := s.memory(), m.Memory/2; need > have {
		add("--fronts %d and --databases %d need about %d MiB, and half of the machine's memory is %d MiB: %s",
			s.Fronts, s.Databases, need>>20, have>>20, s.largestFit(func(t Size) bool { return t.memory() <= have }))
	}
	if need := s.descriptors(); need > m.Descriptors {
		add("a process would need about %d descriptors, and %d are allowed: %s", need, m.Descriptors, s.descriptorAdvice(m.Descriptors))
	}
	if r != nil {
		return r
	}
	return nil
}

// largestFit names the largest number of fronts that passes.
func (s Size) largestFit(passes func(Size) bool) string {
	for t := s; t.Fronts > realFronts; t.Fronts-- {
		if passes(t) {
			return fmt.Sprintf("--fronts %d would fit", t.Fronts)
		}
	}
	return "fewer --databases would fit"
}

func (s Size) descriptorAdvice(have int) string {
	if per := (have - spareDescriptors) / simulatedDescriptors; per >= 1 && per < s.SimulatedPerProcess {
		return fmt.Sprintf("--hollow-per-process %d would fit", per)
	}
	return fmt.Sprintf("--databases %d and --fronts %d are the most", (have-spareDescriptors)/databaseDescriptors, (have-spareDescriptors)/2)
}
