package capacity

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RecordFormat is the version of Record's form.
const RecordFormat = 1

// Roles of processes.
const (
	RoleLeader               = "voter, leader"
	RoleVoter                = "voter"
	RoleEndpointsLeaseholder = "leaseholder of the endpoint list"
	RoleRolloutsLeaseholder  = "leaseholder of rollouts"
	RoleRealFollower         = "follower, real"
	RoleSimulatedFollower    = "follower, hollow"
	RoleDiscovery            = "discovery"
	RoleDatabases            = "databases"
	roleFleet                = "fleet"
	roleSupervisor           = "supervisor"
	noRole                   = ""
	simulatedNote            = "a process's figure by its hollow fronts"
	unitMilliseconds         = "ms"
	unitCorePerSecond        = "ms of a core/s"
	unitBytesPerSecond       = "B/s"
)

// Phases of a run.
const (
	PhaseStart         = "start"
	PhaseIdle          = "rest"
	PhaseEntryChange   = "one entry"
	PhaseSnapshot      = "whole list"
	PhaseConfiguration = "configuration"
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
	Value     float64    `json:"value"`               // of one front of the role, or of a server's process
	Fronts    int        `json:"fronts"`              // over which it was taken
	Changes   int        `json:"changes,omitempty"`   // where the value is for one change: how many there were
	Quantiles *Quantiles `json:"quantiles,omitempty"` // of a time
	Missing   int        `json:"missing,omitempty"`   // times that were not seen before the phase ended
	Partial   string     `json:"partial,omitempty"`   // why the value is not the whole role's
	Note      string     `json:"note,omitempty"`
}

// Header comes before a run's records: what was asked for, and of which machine.
type Header struct {
	Format      int     `json:"format"`
	Command     string  `json:"command"`
	Revision    string  `json:"revision,omitempty"` // of the source, "+" behind it where files were changed since
	Size        Size    `json:"size"`
	Cores       int     `json:"cores"`
	Memory      int64   `json:"memory_bytes"`
	LoadAverage float64 `json:"load_average"` // of one minute, as the run began: other work on the machine
}

// NewHeader makes one for this machine.
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

// revision is what the build knows of its source.
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

// Quantiles are those of a histogram.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"most"`
}

// Times of a histogram, in microseconds: up to ten minutes, three figures.
const (
	maxTime            = 600_000_000
	significantFigures = 3
	microsPerMilli     = 1000
	millisPerSecond    = 1000
	bytesPerMiB        = 1 << 20
)

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTime, significantFigures) }

// quantiles gives a histogram's in milliseconds.
func quantiles(h *hdrhistogram.Histogram) *Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return &Quantiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
}

// rounded keeps five figures, which is more than a run can vouch for.
func rounded(x float64) float64 {
	y, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 5, 64), 64)
	if err != nil {
		return x
	}
	return y
}
