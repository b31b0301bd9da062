package capacity

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RecordFormat is the version of Record's form. The names of roles, phases, resources and units, the notes, and the reasons in
// Record.Partial are part of it: they stay as committed records have them.
const RecordFormat = 1

// Roles of processes.
const (
	RoleLeader               = "voter, leader"
	RoleVoter                = "voter" // that is not the leader
	RoleEndpointsLeaseholder = "leaseholder of the endpoint list"
	RoleRolloutsLeaseholder  = "leaseholder of rollouts"
	RoleRealFollower         = "follower, real"
	RoleSimulatedFollower    = "follower, hollow"
	RoleDiscovery            = "discovery"
	RoleDatabases            = "databases"
	roleFleet                = "fleet"
	roleSupervisor           = "supervisor"
	noRole                   = "" // measured in none
)

// Phases of a run.
const (
	PhaseStart         = "start"         // from the first process until the fleet has converged
	PhaseIdle          = "rest"          // nothing changes
	PhaseEntryChange   = "one entry"     // discovery changes one entry at a time
	PhaseSnapshot      = "whole list"    // discovery sends snapshots of the list
	PhaseConfiguration = "configuration" // configurations are published
)

const (
	simulatedNote      = "a process's figure by its hollow fronts"
	unitMilliseconds   = "ms"
	unitCorePerSecond  = "ms of a core/s"
	unitBytesPerSecond = "B/s"
)

// Record is one measured value.
type Record struct {
	Format    int        `json:"format"`
	Fleet     int        `json:"fleet"` // fronts of the run
	Databases int        `json:"databases"`
	Phase     string     `json:"phase"`
	Role      string     `json:"role"`
	Resource  string     `json:"resource"`
	Unit      string     `json:"unit"`
	Value     float64    `json:"value"`               // of one front of the role, or of a fake server's process
	Fronts    int        `json:"fronts"`              // over which it was taken
	Changes   int        `json:"changes,omitempty"`   // number of changes, where the value is for one
	Quantiles *Quantiles `json:"quantiles,omitempty"` // of a time
	Missing   int        `json:"missing,omitempty"`   // times that were not measured before the phase ended
	Partial   string     `json:"partial,omitempty"`   // why the value is not that of the whole role or phase; "" for a complete one
	Note      string     `json:"note,omitempty"`
}

// Header comes before a run's records: the command, its size, and the machine.
type Header struct {
	Format      int     `json:"format"`
	Command     string  `json:"command"`
	Revision    string  `json:"revision,omitempty"` // of the source; ends with "+" where files were changed since
	Size        Size    `json:"size"`
	Cores       int     `json:"cores"`
	Memory      int64   `json:"memory_bytes"`
	LoadAverage float64 `json:"load_average"` // of one minute, as the run began: other work on the machine
}

// NewHeader returns the header of a run on this machine. The error says what can't be read of the machine.
func NewHeader(command string, size Size) (Header, error) {
	m, err := ThisMachine()
	if err != nil {
		return Header{}, err
	}
	h := Header{Format: RecordFormat, Command: command, Revision: revision(), Size: size, Cores: runtime.NumCPU(), Memory: m.Memory}
	data, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, err = fmt.Sscan(string(data), &h.LoadAverage)
	}
	return h, err
}

// revision returns the revision that the program was built from, "" where the build does not say.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	id, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			id = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return id + changed
}

// Quantiles summarize a histogram of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"most"`
}

// The range and precision of a histogram of times, which are microseconds.
const (
	maxTime            = 600_000_000
	significantFigures = 3
)

const (
	microsPerMilli  = 1000
	millisPerSecond = 1000
	bytesPerMiB     = 1 << 20
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTime, significantFigures) }

// recordTime adds a time in microseconds. One out of the histogram's range is not counted.
func recordTime(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(micros) // the only error is one out of range
}

// quantiles converts a histogram.
func quantiles(h *hdrhistogram.Histogram) *Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return &Quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

func nowMicros() int64 { return time.Now().UnixMicro() }

// rounded keeps five figures, more than a run is exact to.
func rounded(x float64) float64 {
	y, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 5, 64), 64)
	if err != nil {
		return x
	}
	return y
}
