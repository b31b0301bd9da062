package roll

import (
	"time"

	"dapplerouter/conf"
)

// FormName is the operator's form for versions that are published over the fleet; it stands beside the form fleet:
//
//	(roll
//	  (right 12s)             ; for which a front acts without contact; the same at all; four spans where left out
//	  (when-alone serve)      ; a front that hears nobody goes on with what it has; or stop: it stops at its right's end
//	  (dir "/var/lib/dapplerouter/roll"))  ; where it keeps the version that it acts on, over restarts
const FormName = "roll"

// Config is what the form says.
type Config struct {
	Right time.Duration // 0 for the usual
	Stop  bool
	Dir   string
	Place conf.Place
}

// ReadConfig reads the form; what is wrong with it is noted with its reading.
func ReadConfig(f *conf.Form) *Config {
	c := &Config{Place: f.Place}
	is := f.Forms("right", "when-alone", "dir")
	if r := is["right"]; r != nil {
		c.Right = r.Span()
	}
	if w := is["when-alone"]; w != nil {
		c.Stop = w.Choice("serve", "stop") == "stop"
	}
	if d := is["dir"]; d != nil {
		w, _ := d.One()
		c.Dir = w.Name
	} else {
		f.Fault(f.Place, "(dir \"FOLDER\"), the front's own", "the front does not say where it keeps the version that it acts on")
	}
	return c
}

// Fit gives the right that holds in a fleet of a span, and finds what the form says against it.
func (c *Config) Fit(span time.Duration) (right time.Duration, err error) {
	right = c.Right
	if right == 0 {
		right = 4 * span
	}
	if right < 2*span || right > 16*span {
		return 0, conf.Faults{{Place: c.Place, What: "a right of " + right.String() + " does not fit a span of " + span.String(),
			Remedy: "between twice and sixteen times the fleet's span"}}
	}
	return right, nil
}
