package rollout

import (
	"time"

	"dapplerouter/config"
)

// FormName is the operator's form for versions that are published over the fleet; it stands beside the form fleet:
//
//	(roll
//	  (right 12s)             ; for which a front may use a version without contact; the same at all fronts; four lease durations where left out
//	  (when-alone stop)       ; an isolated front stops when its lease expires; serve, the default: it goes on with the version it has
//	  (in-force-within 20s)   ; each published version; the same at all fronts; no time where left out
//	  (dir "/var/lib/roll"))  ; where it stores the version that it uses, over restarts
const FormName = "roll"

// Config is what the form says.
type Config struct {
	ConfigLease      time.Duration // 0 for the default
	StopWhenIsolated bool
	InForceWithin    time.Duration // by which a published version has to be in force everywhere; 0 for no time
	Dir              string
	Place            config.Position
}

// ReadConfig reads the form. Faults are recorded with the form's reading, each with its place and remedy.
func ReadConfig(f *config.Form) *Config {
	c := &Config{Place: f.Position}
	is := f.Forms("right", "when-alone", "in-force-within", "dir")
	if r := is["right"]; r != nil {
		c.ConfigLease = r.Duration()
	}
	if w := is["when-alone"]; w != nil {
		c.StopWhenIsolated = w.Choice("serve", "stop") == "stop"
	}
	if w := is["in-force-within"]; w != nil {
		c.InForceWithin = w.Duration()
	}
	if d := is["dir"]; d != nil {
		report, _ := d.Value()
		c.Dir = report.Name
	} else {
		f.Errorf(f.Position, "(dir \"FOLDER\"), the front's own", "the front does not say where it keeps the version that it acts on")
	}
	return c
}

// ConfigLeaseFor returns the duration of configuration leases in a fleet of a lease duration, or why the form's does not fit.
func (c *Config) ConfigLeaseFor(leaseDuration time.Duration) (configLease time.Duration, err error) {
	configLease = c.ConfigLease
	if configLease == 0 {
		configLease = 4 * leaseDuration
	}
	if configLease < 2*leaseDuration || configLease > 16*leaseDuration {
		return 0, config.ErrorList{{Position: c.Place, Message: "a right of " + configLease.String() + " does not fit a span of " + leaseDuration.String(),
			Remedy: "between twice and sixteen times the fleet's span"}}
	}
	return configLease, c.checkWithin(leaseDuration, configLease)
}
