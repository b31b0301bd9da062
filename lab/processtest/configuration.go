package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// instanceConfigFormat is a format string for a front's instance configuration. Harness.instanceConfig fills it in.
const instanceConfigFormat = `{"name": %q, "listen": %q, "discovery": %q, "seed": "%x",
 "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": %s,
 "settings": {
  "Zones": ["a", "b", "c"], "Locality": %q, "FleetSize": %d, "Ordinal": %d, "Discovery": %q, "Tick": 5000000,
  "Classes": [
   {"Name": "browse", "Aim": 250000000, "Deadline": 2000000000, "Effect": "read_like", "Group": "all", "Worth": 1.0},
   {"Name": "book", "Aim": 250000000, "Deadline": 2000000000, "Effect": "idempotency_key", "Group": "cell", "Window": %d, "Worth": 5.0}],
  "FamilyInfo": {"ReadLevel": ["eventual", "mutate"], "StalenessBound": [0, 0], "RoleListed": "trailing",
   "Checks": "bounce", "HoldsFor": 50000000, "WriteMarks": "kept", "TellsPosition": true},
  "Rules": {"AnswerSlack": 20000000, "StopSendingWithin": 2000000000, "Cold": 1000000000, "Fall": 2000000000, "AskEvery": 2000000000},
  "Limits": {"AttemptsCap": 10, "MayProbe": true, "Cancel": true, "DialTimeout": 500000000, "ConnIdle": 30000000000,
   "RetryAfter": true, "MaxRetryAfter": 1000000000, "MayDuplicate": false, "Peers": false}
 }}`

// writeConfiguration writes a front's instance configuration, with a random seed. With a fleet it also writes the front's operator
// file.
func (h *Harness) writeConfiguration(f *Front) error {
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(f.instanceConfigPath(), []byte(h.instanceConfig(f, h.rnd.Uint64()|1)), 0o600); err != nil {
		return err
	}
	if h.Script.WithoutFleet {
		return nil
	}
	forms := h.fleetForm(f)
	if h.Script.Rollouts.Enabled() {
		forms += h.rolloutForms(f)
		if err := os.MkdirAll(h.exportDir(), 0o700); err != nil {
			return err
		}
	}
	return os.WriteFile(f.operatorConfigPath(), []byte(forms), 0o600)
}

// instanceConfig returns the text of a front's instance configuration.
func (h *Harness) instanceConfig(f *Front, seed uint64) string {
	discovery, window := "push", int64(2e9)
	if h.Script.Poll {
		discovery = "ask"
	}
	if h.Script.Rollouts.DifferingLimits && f.index%2 == 1 {
		window = 1e9
	}
	return fmt.Sprintf(instanceConfigFormat, f.Name, f.clientAddress, h.endpoints.address(), seed, h.servers.EndpointSnapshot(),
		string(rune('a'+f.index%3)), len(h.fronts), f.index, discovery, window)
}

// fleetForm returns the fleet form of a front's operator file. Other fronts are reached through the fault proxies.
func (h *Harness) fleetForm(f *Front) string {
	var form strings.Builder
	fmt.Fprintf(&form, "(fleet (id %q) (listen %q) (lease-duration %v) (plain loopback)\n (control %q) (history %q)\n (voters",
		fleetID, f.meshAddress, h.Script.LeaseDuration, f.controlSocket(), f.historyPath())
	for _, v := range h.fronts {
		if v.voter {
			fmt.Fprintf(&form, " (%s %q)", v.Name, v.meshAddress)
		}
	}
	form.WriteString(")\n (reach")
	for i, to := range h.fronts {
		if i != f.index {
			fmt.Fprintf(&form, " (%s %q)", to.Name, h.network.address(f.index, i))
		}
	}
	form.WriteString(")")
	if f.voter {
		fmt.Fprintf(&form, "\n (voter %q)", f.voterFile())
	}
	form.WriteString(")\n")
	return form.String()
}

// rolloutForms returns the forms of a front's operator file that configure rollouts and the audit log. The first front collects the
// audit logs of all others.
func (h *Harness) rolloutForms(f *Front) string {
	whenAlone, within, collect := "serve", "", ""
	if h.Script.Rollouts.StopWhenAlone {
		whenAlone = "stop"
	}
	if d := h.Script.Rollouts.Within; d > 0 {
		within = fmt.Sprintf(" (in-force-within %v)", d)
	}
	if f.index == 0 {
		collect = fmt.Sprintf(" (collect %q) (rate 1MiB)", h.collectionDir())
	}
	return fmt.Sprintf("(roll (right %v) (when-alone %s)%s (dir %q))\n", h.Script.Rollouts.ConfigLease, whenAlone, within, filepath.Join(f.dir, "roll")) +
		fmt.Sprintf("(audit (dir %q) (segment 16KiB) (budget 8MiB) (clock-error 50ms) (export %q)%s)\n", f.auditDir(), h.exportDir(), collect)
}

func (f *Front) instanceConfigPath() string { return filepath.Join(f.dir, "config.json") }
func (f *Front) operatorConfigPath() string { return filepath.Join(f.dir, "operator.sexp") }
func (f *Front) voterFile() string          { return filepath.Join(f.dir, "fleet.db") }
func (f *Front) voterFileBackup() string    { return f.voterFile() + ".old" }
func (f *Front) controlSocket() string      { return filepath.Join(f.dir, "ctl") }
func (f *Front) auditDir() string           { return filepath.Join(f.dir, "audit") }
func (f *Front) historyPath() string        { return filepath.Join(f.dir, historyFileName) }

func (h *Harness) exportDir() string     { return filepath.Join(h.Dir, "exported") }
func (h *Harness) collectionDir() string { return filepath.Join(h.Dir, "collected") }

// truncateAudit removes the last 20 bytes of a front's newest audit log segment, which is a part of its last line. It does nothing if
// the front has no audit log yet.
func (h *Harness) truncateAudit(f *Front) error {
	names, err := disk.ListSegments(f.auditDir(), f.Name)
	if err != nil || len(names) == 0 {
		return nil //nolint:nilerr // a front may have been killed before it wrote its first segment
	}
	path := filepath.Join(f.auditDir(), names[len(names)-1]+audit.LogSuffix)
	b, err := os.ReadFile(path)
	if err != nil || len(b) <= 20 {
		return err
	}
	if err := os.WriteFile(path, b[:len(b)-20], 0o600); err != nil {
		return err
	}
	h.expected.truncatedAudits++
	return nil
}

// truncateVoterFile truncates a voter's file to a quarter of its size.
func truncateVoterFile(f *Front) error {
	b, err := os.ReadFile(f.voterFile())
	if err != nil {
		return err
	}
	return os.WriteFile(f.voterFile(), b[:len(b)/4], 0o600)
}

func copyFile(from, to string) error {
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, 0o600)
}
