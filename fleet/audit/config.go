package audit

import (
	"time"

	"dapplerouter/config"
)

// FormName is the name of the form in the operator's file that configures the audit. It stands beside the form fleet:
//
//	(audit
//	  (dir "/var/lib/dapplerouter/audit")   ; directory of this front's own log
//	  (budget 64MiB) (segment 1MiB)         ; maximum size of the log in all, and of one segment
//	  (clock-error 500ms)                   ; by how much the machine's clock may be wrong
//	  (export "/mnt/audit")                 ; closed segments are copied to this directory, each once
//	  (collect "/var/lib/dapplerouter/all") ; this front may fetch the closed segments of all fronts to this directory,
//	  (rate 256KiB))                        ; at up to so many bytes a second
const FormName = "audit"

// Config is the configuration that the form sets.
type Config struct {
	LogDir        string
	ExportDir     string // "" for no export
	CollectDir    string // "" for no collection
	MaxTotalBytes int64  // maximum size of the front's own log
	SegmentBytes  int64  // size at which a segment is closed

	CollectBytesPerSecond int64
	MaxClockError         time.Duration
	Position              config.Position // of the form
}

// Bounds of each size in the form, in bytes.
const (
	minSize = 4 << 10
	maxSize = 1 << 40
)

// ReadConfig reads the form. Errors are recorded with the form's decoder, each with its position and remedy.
func ReadConfig(f *config.Form) *Config {
	c := &Config{MaxTotalBytes: 64 << 20, SegmentBytes: 1 << 20, CollectBytesPerSecond: 256 << 10, MaxClockError: 500 * time.Millisecond, Position: f.Position}
	forms := f.Forms("dir", "budget", "segment", "clock-error", "export", "collect", "rate")
	for name, field := range map[string]*string{"dir": &c.LogDir, "export": &c.ExportDir, "collect": &c.CollectDir} {
		if form := forms[name]; form != nil {
			dir, _ := form.Value()
			*field = dir.Name
		}
	}
	for name, field := range map[string]*int64{"budget": &c.MaxTotalBytes, "segment": &c.SegmentBytes, "rate": &c.CollectBytesPerSecond} {
		if form := forms[name]; form != nil {
			*field = form.Size(minSize, maxSize)
		}
	}
	if form := forms["clock-error"]; form != nil {
		c.MaxClockError = form.Duration()
	}
	if c.LogDir == "" {
		f.Errorf(f.Position, "add (dir \"FOLDER\"), a directory of this front alone", "the form audit has no directory for the front's log")
	}
	if c.MaxTotalBytes < 2*c.SegmentBytes {
		f.Errorf(f.Position, "make the budget larger, or a segment smaller", "a budget of %d bytes does not hold two segments of %d", c.MaxTotalBytes, c.SegmentBytes)
	}
	if c.CollectDir != "" && (c.CollectDir == c.LogDir || c.CollectDir == c.ExportDir) {
		f.Errorf(f.Position, "use a separate directory",
			"collected segments can't be stored in the directory of the front's own log or of its exports")
	}
	return c
}
