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

// RecordFormat is the version of the format of records. The names of roles, phases, resources and units, the notes, and the reasons in
// Record.Partial are part of the format. They must stay the same as in committed records.
const RecordFormat = 1

// Roles of processes.
const (
	RoleLeader               = "voter, leader"
	RoleVoter                = "voter" // a voter that is not the leader
	RoleEndpointsLeaseholder = "leaseholder of the endpoint list"
	RoleRolloutsLeaseholder  = "leaseholder of rollouts"
	RoleRealFollower         = "follower, real"
	RoleSimulatedFollower    = "follower, hollow"
	RoleDiscovery            = "discovery"
	RoleDatabases            = "databases"
	roleFleet                = "fleet"
	roleSupervisor           = "supervisor"
	noRole                   = "" // of a process that is not measured
)

// Phases of a run.
const (
	PhaseStart         = "start"         // from the start of the first process until the fleet has converged
	PhaseIdle          = "rest"          // neither the endpoint list nor the configuration changes
	PhaseEntryChange   = "one entry"     // discovery changes one entry at a time
	PhaseSnapshot      = "whole list"    // discovery sends snapshots of the list
	PhaseConfiguration = "configuration" // configurations are published
)

// Notes and units of records.
const (
	simulatedNote      = "a process's figure by its hollow fronts"
	unitMilliseconds   = "ms"
	unitCorePerSecond  = "ms of a core/s"
	unitBytesPerSecond = "B/s"
)

// Record is one measured value.
type Record struct {
	Format    int        `json:"format"`
	Fleet     int        `json:"fleet"` // number of fronts in the run
	Databases int        `json:"databases"`
	Phase     string     `json:"phase"`
	Role      string     `json:"role"`
	Resource  string     `json:"resource"`
	Unit      string     `json:"unit"`
	Value     float64    `json:"value"`               // per front of the role, or for the process of a fake server
	Fronts    int        `json:"fronts"`              // number of fronts over which the value was measured
	Changes   int        `json:"changes,omitempty"`   // number of changes, if the value is per change
	Quantiles *Quantiles `json:"quantiles,omitempty"` // only if the value is a time
	Missing   int        `json:"missing,omitempty"`   // number of times that were not measured before the phase ended
	Partial   string     `json:"partial,omitempty"`   // why the value does not cover the whole role or phase; "" for a complete value
	Note      string     `json:"note,omitempty"`
}

// Header describes a run. It precedes the run's records in the JSON output.
type Header struct {
	Format      int     `json:"format"`
	Command     string  `json:"command"`
	Revision    string  `json:"revision,omitempty"` // source revision of the build; ends with "+" if the sources had uncommitted changes
	Size        Size    `json:"size"`
	Cores       int     `json:"cores"`
	Memory      int64   `json:"memory_bytes"`
	LoadAverage float64 `json:"load_average"` // one-minute load average at the start of the run, which shows other work on the machine
}

// NewHeader returns the header of a run on this machine. The error says which resource of the machine could not be read.
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

// revision returns the source revision that the program was built from, or "" if the build information lacks it.
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

// Range and precision of a histogram of times.
const (
	maxTime            = 600_000_000 // microseconds
	significantFigures = 3
)

// Unit conversions.
const (
	microsPerMilli  = 1000
	millisPerSecond = 1000
	bytesPerMiB     = 1 << 20
)

// newHistogram returns an empty histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTime, significantFigures) }

// recordTime adds a time in microseconds to a histogram. A time out of the histogram's range is not counted.
func recordTime(h *hdrhistogram.Histogram, micros int64) {
	_ = h.RecordValue(micros) // fails only if the time is out of range
}

// quantiles returns the quantiles of a histogram of microseconds, in milliseconds.
func quantiles(h *hdrhistogram.Histogram) *Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return &Quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

func nowMicros() int64 { return time.Now().UnixMicro() }

// rounded rounds a value to five significant figures, which is more than the precision of a run.
func rounded(x float64) float64 {
	y, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 5, 64), 64)
	if err != nil {
		return x
	}
	return y
}
