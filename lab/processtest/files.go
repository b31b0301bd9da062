package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// The files of the processes.

func (r *Rig) write(f *Front) error {
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return err
	}
	told := fmt.Sprintf(instanceConfigFormat, f.Name, f.clients, r.lists.address(), r.rnd.Uint64()|1, r.group.Listed(), string(rune('a'+f.i%3)), len(r.fronts), f.i, map[bool]string{true: "ask", false: "push"}[r.Script.Ask],
		map[bool]int64{true: 1e9, false: 2e9}[r.Script.Differ && f.i%2 == 1])
	if err := os.WriteFile(filepath.Join(f.dir, "config.json"), []byte(told), 0o600); err != nil {
		return err
	}
	if r.Script.Off {
		return nil
	}
	var form strings.Builder
	fmt.Fprintf(&form, "(fleet (id %q) (listen %q) (span %v) (plain loopback)\n (control %q) (history %q)\n (keepers", fleetID, f.mesh, r.Script.Span, f.socket(), f.historyFile())
	for _, k := range r.fronts {
		if k.voter {
			fmt.Fprintf(&form, " (%s %q)", k.Name, k.mesh)
		}
	}
	fmt.Fprint(&form, ")\n (reach")
	for j, to := range r.fronts {
		if j != f.i {
			fmt.Fprintf(&form, " (%s %q)", to.Name, r.hops[[2]int{f.i, j}].Address())
		}
	}
	fmt.Fprint(&form, ")")
	if f.voter {
		fmt.Fprintf(&form, "\n (keeper %q)", f.disk())
	}
	fmt.Fprintln(&form, ")")
	if s := r.Script; s.Right > 0 {
		alone := map[bool]string{true: "stop", false: "serve"}[s.Stop]
		within := ""
		if s.Within > 0 {
			within = fmt.Sprintf(" (in-force-within %v)", s.Within)
		}
		fmt.Fprintf(&form, "(roll (right %v) (when-alone %s)%s (dir %q))\n", s.Right, alone, within, filepath.Join(f.dir, "roll"))
		fmt.Fprintf(&form, "(audit (dir %q) (segment 16KiB) (budget 8MiB) (clock-error 50ms) (export %q)%s)\n", f.audit(), r.exports(), f.collects(r))
		if err := os.MkdirAll(r.exports(), 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(f.file(), []byte(form.String()), 0o600)
}

func (f *Front) file() string { return filepath.Join(f.dir, "operator.sexp") }

func (f *Front) disk() string { return filepath.Join(f.dir, "fleet.db") }

func (f *Front) socket() string { return filepath.Join(f.dir, "ctl") }

func (f *Front) audit() string { return filepath.Join(f.dir, "audit") }

// collects is the folder in which the first front gathers all others' audits.
func (f *Front) collects(r *Rig) string {
	if f.i > 0 {
		return ""
	}
	return fmt.Sprintf(" (collect %q) (rate 1MiB)", filepath.Join(r.Dir, "collected"))
}

func (r *Rig) exports() string { return filepath.Join(r.Dir, "exported") }

func (f *Front) historyFile() string { return filepath.Join(f.dir, "history.jsonl") }

// tearAudit cuts the last line of a front's audit in half.
func (r *Rig) tearAudit(f *Front) {
	names, err := disk.ListSegments(f.audit(), f.Name)
	if err != nil || len(names) == 0 {
		return
	}
	path := filepath.Join(f.audit(), names[len(names)-1]+audit.LogSuffix)
	if b, err := os.ReadFile(path); err == nil && len(b) > 20 {
		os.WriteFile(path, b[:len(b)-20], 0o600)
		r.cutAudit++
	}
}

func copyFile(from, to string) error {
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, 0o600)
}
