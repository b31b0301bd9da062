package processtest

import (
	"strconv"
	"time"

	"dapplerouter/config"
)

// Script is a process test: the fleet, how long it runs, and the faults that are injected. See Parse for its text.
type Script struct {
	Name          string
	Fronts        int
	Voters        int
	Servers       int
	Clients       int
	LeaseDuration time.Duration
	Duration      time.Duration // from the time at which all fronts serve
	WithoutFleet  bool          // each front by itself: the baseline of measurements
	Poll          bool          // the endpoint service is polled in place of watched
	Rollouts      Rollouts
	Steps         []Step
}

// Rollouts are a script's settings of rollouts and audit logs.
type Rollouts struct {
	ConfigLease     time.Duration // duration of configuration leases; 0 for no rollouts
	Within          time.Duration // by which a version has to be in force everywhere; 0 for no limit
	StopWhenAlone   bool          // fronts without a leader stop at the end of their configuration lease
	DifferingLimits bool          // fronts of odd index allow a shorter window than the others
}

// Enabled reports whether the script has rollouts.
func (r Rollouts) Enabled() bool { return r.ConfigLease > 0 }

// Step is one fault, operator's command or expectation.
type Step struct {
	At        time.Duration // since the script began
	Kind      string        // of stepKinds
	Fronts    []FrontSelector
	Durations []time.Duration
	Lease     string   // of a transfer
	Arguments []string // of a publication
	Position  config.Position
}

// FrontSelector names a front by its name, or by its part in the fleet when the step begins.
type FrontSelector struct {
	Name  string // n1, ..., or one of the select constants
	Lease string // of selectLeaseholder
}

const (
	selectLeaseholder = "leaseholder"
	selectLeader      = "leader"
	selectVoter       = "voter"
	selectFollower    = "follower" // neither a voter nor a leaseholder
	selectNewest      = "newest"   // acts on the version that is being rolled out
	selectAny         = "any"
)

// String names the front for progress lines.
func (s FrontSelector) String() string {
	if s.Lease != "" {
		return s.Name + " of " + s.Lease
	}
	return s.Name
}

// publications are the rules that a script can publish, by name.
var publications = map[string]string{
	"give-up": "(rules (given-up 1))",
	"window":  "(rules (window book 1500ms))",
	"tight":   "(rules (window book 900ms))",
	"none":    "(rules)",
	"both":    "(rules (window book 1500ms) (given-up 2))",
	"more":    "(rules (window book 900ms) (given-up 2))",
}

func frontName(i int) string { return "n" + strconv.Itoa(i+1) }
