package processtest

import (
	"strconv"
	"time"

	"dapplerouter/config"
)

// Script is a process test. It defines the fleet, how long it runs, and the faults that are injected. Parse documents its syntax.
type Script struct {
	Name          string
	Fronts        int
	Voters        int
	Servers       int
	Clients       int
	LeaseDuration time.Duration
	Duration      time.Duration // counted from the moment at which all fronts serve
	WithoutFleet  bool          // the fronts form no fleet and each works independently: a baseline for measurements
	Poll          bool          // the fronts poll the endpoint service instead of watching it
	Rollouts      Rollouts
	Steps         []Step
}

// Rollouts holds a script's settings for rollouts and audit logs.
type Rollouts struct {
	ConfigLease     time.Duration // duration of configuration leases; 0 disables rollouts
	Within          time.Duration // time limit for a version to be in force everywhere; 0 means no limit
	StopWhenAlone   bool          // fronts without a leader stop serving when their configuration lease expires
	DifferingLimits bool          // fronts with an odd index allow a shorter window than the others
}

// Enabled reports whether the script has rollouts.
func (r Rollouts) Enabled() bool { return r.ConfigLease > 0 }

// Step is one fault, operator command or expectation.
type Step struct {
	At        time.Duration // since the script began
	Kind      string        // a key of stepKinds
	Fronts    []FrontSelector
	Durations []time.Duration
	Lease     string   // the lease to transfer, for stepTransfer
	Arguments []string // name of the publication and its options, for stepPublish
	Position  config.Position
}

// FrontSelector selects a front by its name, or by its role in the fleet at the time when the step begins.
type FrontSelector struct {
	Name  string // n1, ..., or one of the select constants
	Lease string // the lease that the front holds, for selectLeaseholder
}

// Roles by which a FrontSelector selects a front.
const (
	selectLeaseholder = "leaseholder"
	selectLeader      = "leader"
	selectVoter       = "voter"
	selectFollower    = "follower" // neither a voter nor a leaseholder
	selectNewest      = "newest"   // a front that acts on the version that is being rolled out
	selectAny         = "any"
)

// String describes the selected front for progress lines.
func (s FrontSelector) String() string {
	if s.Lease != "" {
		return s.Name + " of " + s.Lease
	}
	return s.Name
}

// publications maps the names that a publish step accepts to the rules that it publishes.
var publications = map[string]string{
	"give-up": "(rules (given-up 1))",
	"window":  "(rules (window book 1500ms))",
	"tight":   "(rules (window book 900ms))",
	"none":    "(rules)",
	"both":    "(rules (window book 1500ms) (given-up 2))",
	"more":    "(rules (window book 900ms) (given-up 2))",
}

// frontName returns the name of the front with index i, which starts at 0.
func frontName(i int) string { return "n" + strconv.Itoa(i+1) }
