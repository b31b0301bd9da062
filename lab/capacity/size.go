package capacity

import (
	"fmt"
	"strings"
	"time"
)

// Size is what a run is asked for.
type Size struct {
	Fronts           int           `json:"fronts"` // real and hollow together
	HollowPerProcess int           `json:"hollow_per_process"`
	Databases        int           `json:"databases"`
	Zones            int           `json:"zones"`
	ChangesPerHour   float64       `json:"changes_per_hour"` // of each kind of change, in its own phase
	Duration         time.Duration `json:"duration_ns"`      // of each phase
	Span             time.Duration `json:"span_ns"`          // of leases; a front's right to act lasts four of them
	Must             bool          `json:"must"`             // configurations must not be lagged behind: fronts that do are fenced sooner
	CutOff           int           `json:"cut_off"`          // one front in so many stands still during configuration changes; 0 for none
}

// The real processes of a run, in the order of their names: n1 to n8.
const (
	voters        = 3
	endpointsReal = voters     // the endpoint list's lease is transferred to it
	rolloutsReal  = voters + 1 // the rollouts' lease
	followersReal = 2          // counted as real followers
	witnessReal   = voters + 2 + followersReal
	realFronts    = witnessReal + 1 // the last keeps a history, which costs: it is counted in no role
)

// Databases of a group: one primary and its replicas.
const groupSize = 3

// What one process or front needs, rounded up from runs; a size is refused by them before anything is started.
const (
	mostProcesses        = 300
	realMemory           = 48 << 20 // resident bytes of a real front
	workerMemory         = 32 << 20 // of a worker process beside its fronts or databases
	hollowMemory         = 3 << 20  // of a hollow front
	hollowDatabaseMemory = 8 << 10  // of a hollow front, per database
	databaseMemory       = 64 << 10 // of a fake database
	hollowDescriptors    = 32       // of a hollow front: its listener, links both ways, discovery
	databaseDescriptors  = 2
	spareDescriptors     = 128
)

// Lease durations that a run may have: a longer one bears a machine that is short of processors.
const (
	leastSpan = time.Second
	mostSpan  = time.Minute
)

// Machine is what there is.
type Machine struct {
	Memory      int64 // bytes, all of it
	Descriptors int   // of one process
}

// hollow is how many fronts are hollow, processes how many processes hold them.
func (s Size) hollow() int    { return s.Fronts - realFronts }
func (s Size) processes() int { return len(s.split()) }
func (s Size) groups() int    { return (s.Databases + groupSize - 1) / groupSize }

// cutOffFronts is how many stand still during configuration changes.
func (s Size) cutOffFronts() int {
	if s.CutOff == 0 {
		return 0
	}
	return min(s.Fronts/s.CutOff, s.hollow()-1)
}

// split gives the ordinals of each hollow process; the last holds those that are cut off, where some are.
func (s Size) split() (all [][]int) {
	apart := s.cutOffFronts()
	for first := realFronts; first < s.Fronts; {
		end := min(first+s.HollowPerProcess, s.Fronts-apart)
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
	hollow := int64(hollowMemory + s.Databases*hollowDatabaseMemory)
	return realFronts*realMemory + int64(s.hollow())*hollow + int64(s.processes()+2)*workerMemory + int64(s.Databases)*databaseMemory
}

// descriptors is what the largest worker process is reckoned to need.
func (s Size) descriptors() int {
	return max(min(s.HollowPerProcess, s.hollow())*hollowDescriptors, s.Databases*databaseDescriptors, s.Fronts*2) + spareDescriptors
}

// Refusal is a size that makes no sense or that the machine cannot bear: each line says what is wrong and what would fit.
type Refusal []string

func (r Refusal) Error() string { return strings.Join(r, "\n") }

// Check finds what speaks against a size on a machine, before anything is started.
func (s Size) Check(m Machine) error {
	var r Refusal
	add := func(format string, args ...any) { r = append(r, fmt.Sprintf(format, args...)) }
	if s.Fronts <= realFronts {
		add("--fronts %d: %d are real processes (%d voters, two leaseholders, followers); %d at least", s.Fronts, realFronts, voters, realFronts+1)
	}
	if s.HollowPerProcess < 1 {
		add("--hollow-per-process %d: 1 at least; 48 is usual", s.HollowPerProcess)
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
	if s.Span < leastSpan || s.Span > mostSpan {
		add("--span %v: between %v and %v; 3s is usual", s.Span, leastSpan, mostSpan)
	}
	if s.CutOff < 0 || s.CutOff == 1 {
		add("--cut-off %d: 0 for none, or one front in so many, 2 at least", s.CutOff)
	}
	if r != nil {
		return r
	}
	if n := s.processes(); n > mostProcesses {
		add("--fronts %d by --hollow-per-process %d are %d processes, and %d are the most: --hollow-per-process %d would fit",
			s.Fronts, s.HollowPerProcess, n, mostProcesses, (s.hollow()+mostProcesses-1)/mostProcesses)
	}
	if need, have := s.memory(), m.Memory/2; need > have {
		add("--fronts %d and --databases %d need about %d MiB, and half of the machine's memory is %d MiB: %s",
			s.Fronts, s.Databases, need>>20, have>>20, s.fits(func(t Size) bool { return t.memory() <= have }))
	}
	if need := s.descriptors(); need > m.Descriptors {
		add("a process would need about %d descriptors, and %d are allowed: %s", need, m.Descriptors, s.descriptorsFit(m.Descriptors))
	}
	if r != nil {
		return r
	}
	return nil
}

// fits names the largest number of fronts that passes.
func (s Size) fits(passes func(Size) bool) string {
	for t := s; t.Fronts > realFronts; t.Fronts-- {
		if passes(t) {
			return fmt.Sprintf("--fronts %d would fit", t.Fronts)
		}
	}
	return "fewer --databases would fit"
}

func (s Size) descriptorsFit(have int) string {
	if per := (have - spareDescriptors) / hollowDescriptors; per >= 1 && per < s.HollowPerProcess {
		return fmt.Sprintf("--hollow-per-process %d would fit", per)
	}
	return fmt.Sprintf("--databases %d and --fronts %d are the most", (have-spareDescriptors)/databaseDescriptors, (have-spareDescriptors)/2)
}
