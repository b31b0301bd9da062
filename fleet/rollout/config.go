package rollout

import (
	"errors"
	"time"

	"dapplerouter/config"
	"dapplerouter/fleet"
)

// FormName is the operator's form for versions that are published to the fleet; it stands beside the form fleet:
//
//	(roll
//	  (right 12s)             ; duration of configuration leases, the same at all fronts; four lease durations where left out
//	  (when-alone stop)       ; an isolated front stops when its lease expires; serve, the default: it keeps the version that it has
//	  (in-force-within 20s)   ; time within which each published version is in force, the same at all fronts; none where left out
//	  (dir "/var/lib/roll"))  ; directory for the adopted version, over restarts
const FormName = "roll"

// Config is what the form sets.
type Config struct {
	ConfigLease      time.Duration // 0 for the default
	StopWhenIsolated bool
	InForceWithin    time.Duration // by which a published version has to be in force everywhere; 0 for no time
	Dir              string
	Place            config.Position // of the form
}

// Bounds of a configuration lease, and its default, in lease durations of the fleet.
const (
	minConfigLease     = 2
	defaultConfigLease = 4
	maxConfigLease     = 16
)

// ReadConfig reads the form. Errors are recorded with the form's decoder, each with its position and remedy.
func ReadConfig(f *config.Form) *Config {
	c := &Config{Place: f.Position}
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
		f.Errorf(f.Position, "(dir \"FOLDER\"), the front's own", "the form roll has no directory for the adopted version")
	}
	return c
}

// ConfigLeaseFor returns the duration of configuration leases in a fleet of a lease duration. The error is a config.ErrorList: the form's
// duration, or its time, does not fit the fleet's.
func (c *Config) ConfigLeaseFor(leaseDuration time.Duration) (configLease time.Duration, err error) {
	configLease = c.ConfigLease
	if configLease == 0 {
		configLease = defaultConfigLease * leaseDuration
	}
	if configLease < minConfigLease*leaseDuration || configLease > maxConfigLease*leaseDuration {
		return 0, c.newError("a configuration lease of "+configLease.String()+" does not fit a lease duration of "+leaseDuration.String(),
			"between twice and sixteen times the fleet's lease duration")
	}
	return configLease, c.checkInForceWithin(leaseDuration, configLease)
}

// checkInForceWithin checks the form's time. An isolated front that serves on can't be fenced in any time.
func (c *Config) checkInForceWithin(leaseDuration, configLease time.Duration) error {
	if c.InForceWithin == 0 {
		return nil
	}
	if !c.StopWhenIsolated {
		return c.newError("in-force-within needs fronts that stop when isolated, and these serve on with an old version",
			"add (when-alone stop), or take in-force-within away")
	}
	var short *DeadlineError
	if errors.As(CheckInForceWithin(fleet.Timing{LeaseDuration: leaseDuration}, configLease, c.InForceWithin), &short) {
		return c.newError(short.Reason, short.Remedy)
	}
	return nil
}

func (c *Config) newError(message, remedy string) error {
	return config.ErrorList{{Position: c.Place, Message: message, Remedy: remedy}}
}
