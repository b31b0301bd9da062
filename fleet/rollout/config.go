package rollout

import (
	"errors"
	"time"

	"dapplerouter/config"
	"dapplerouter/fleet"
)

// FormName is the name of the form in the operator's file that configures rollouts. It stands beside the form fleet:
//
//	(roll
//	  (right 12s)             ; duration of configuration leases, equal at all fronts; four lease durations if omitted
//	  (when-alone stop)       ; an isolated front stops when its lease expires; serve, the default: it keeps serving its version
//	  (in-force-within 20s)   ; time within which each published version is in force, equal at all fronts; none if omitted
//	  (dir "/var/lib/roll"))  ; directory that keeps the adopted version across restarts
const FormName = "roll"

// Config is the configuration that the form sets.
type Config struct {
	ConfigLease      time.Duration // duration of configuration leases; 0 for the default
	StopWhenIsolated bool
	InForceWithin    time.Duration   // time within which a published version has to be in force at all fronts; 0 for no limit
	Dir              string          // stores the adopted version
	Position         config.Position // of the form
}

// Bounds and default of a configuration lease, in multiples of the fleet's lease duration.
const (
	minConfigLease     = 2
	defaultConfigLease = 4
	maxConfigLease     = 16
)

// ReadConfig reads the form. Errors are recorded with the form's decoder, each with its position and remedy.
func ReadConfig(f *config.Form) *Config {
	c := &Config{Position: f.Position}
	forms := f.Forms("right", "when-alone", "in-force-within", "dir")
	if lease := forms["right"]; lease != nil {
		c.ConfigLease = lease.Duration()
	}
	if isolated := forms["when-alone"]; isolated != nil {
		c.StopWhenIsolated = isolated.Choice("serve", "stop") == "stop"
	}
	if within := forms["in-force-within"]; within != nil {
		c.InForceWithin = within.Duration()
	}
	if dir := forms["dir"]; dir != nil {
		name, _ := dir.Value()
		c.Dir = name.Name
	} else {
		f.Errorf(f.Position, "add (dir \"FOLDER\"), a directory of this front alone", "the form roll has no directory for the adopted version")
	}
	return c
}

// ConfigLeaseFor returns the duration of configuration leases in a fleet with the given lease duration. It returns a config.ErrorList if
// the duration of configuration leases, or the time in in-force-within, does not fit the lease duration.
func (c *Config) ConfigLeaseFor(leaseDuration time.Duration) (configLease time.Duration, err error) {
	configLease = c.ConfigLease
	if configLease == 0 {
		configLease = defaultConfigLease * leaseDuration
	}
	if configLease < minConfigLease*leaseDuration || configLease > maxConfigLease*leaseDuration {
		return 0, c.newError("a configuration lease of "+configLease.String()+" does not fit a lease duration of "+leaseDuration.String(),
			"choose between 2 and 16 times the fleet's lease duration")
	}
	return configLease, c.checkInForceWithin(leaseDuration, configLease)
}

// checkInForceWithin checks the time in in-force-within. It needs fronts that stop when isolated, because a front that keeps serving
// while isolated can't be fenced within any time.
func (c *Config) checkInForceWithin(leaseDuration, configLease time.Duration) error {
	if c.InForceWithin == 0 {
		return nil
	}
	if !c.StopWhenIsolated {
		return c.newError("in-force-within requires fronts that stop when isolated, but these keep serving an old version",
			"add (when-alone stop), or remove in-force-within")
	}
	var short *DeadlineError
	if errors.As(CheckInForceWithin(fleet.Timing{LeaseDuration: leaseDuration}, configLease, c.InForceWithin), &short) {
		return c.newError(short.Reason, short.Remedy)
	}
	return nil
}

// newError returns a config.ErrorList with one error at the position of the form.
func (c *Config) newError(message, remedy string) error {
	return config.ErrorList{{Position: c.Position, Message: message, Remedy: remedy}}
}
