package audit

import (
	"time"

	"dapplerouter/config"
)

// FormName is the operator's form for the audit; it stands beside the form fleet:
//
//	(audit
//	  (dir "/var/lib/dapplerouter/audit")   ; this front's own log
//	  (budget 64MiB) (segment 1MiB)         ; of its files, and of one
//	  (clock-error 500ms)                   ; by how much the machine's clock may be wrong
//	  (export "/mnt/audit")                 ; closed segments are copied there, each once
//	  (collect "/var/lib/dapplerouter/all") ; this front may gather all fronts' closed segments there, over the mesh,
//	  (rate 256KiB))                        ; at so many bytes a second
const FormName = "audit"

// Config is what the form says.
type Config struct {
	LogDir, ExportDir, CollectDir                      string
	MaxTotalBytes, SegmentBytes, CollectBytesPerSecond int64
	MaxClockError                                      time.Duration
	Place                                              config.Position
}

// ReadConfig reads the form; what is wrong with it is noted with its reading.
func ReadConfig(f *config.Form) *Config {
	c := &Config{MaxTotalBytes: 64 << 20, SegmentBytes: 1 << 20, CollectBytesPerSecond: 256 << 10, MaxClockError: 500 * time.Millisecond, Place: f.Position}
	is := f.Forms("dir", "budget", "segment", "clock-error", "export", "collect", "rate")
	for name, to := range map[string]*string{"dir": &c.LogDir, "export": &c.ExportDir, "collect": &c.CollectDir} {
		if g := is[name]; g != nil {
			w, _ := g.Value()
			*to = w.Name
		}
	}
	for name, to := range map[string]*int64{"budget": &c.MaxTotalBytes, "segment": &c.SegmentBytes, "rate": &c.CollectBytesPerSecond} {
		if g := is[name]; g != nil {
			*to = g.Size(4<<10, 1<<40)
		}
	}
	if g := is["clock-error"]; g != nil {
		c.MaxClockError = g.Duration()
	}
	if c.LogDir == "" {
		f.Errorf(f.Position, "(dir \"FOLDER\"), the front's own", "the audit does not say where it is kept")
	}
	if c.MaxTotalBytes < 2*c.SegmentBytes {
		f.Errorf(f.Position, "make the budget larger, or a segment smaller", "a budget of %d bytes does not hold two segments of %d", c.MaxTotalBytes, c.SegmentBytes)
	}
	if c.CollectDir != "" && (c.CollectDir == c.LogDir || c.CollectDir == c.ExportDir) {
		f.Errorf(f.Position, "a folder of its own", "what is collected can't lie among the front's own")
	}
	return c
}
