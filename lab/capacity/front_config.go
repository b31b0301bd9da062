package capacity

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"dapplerouter/config"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// RunSettings holds the settings that all fronts of a run share. The supervisor sends them to its workers.
type RunSettings struct {
	Network             string        `json:"network"`   // the first two octets of the fronts' loopback addresses
	Dir                 string        `json:"dir"`       // directory of the run
	Discovery           string        `json:"discovery"` // address of the discovery server
	Fronts              int           `json:"fronts"`
	Zones               int           `json:"zones"`
	LeaseDuration       time.Duration `json:"span_ns"`
	ConfigLeaseDuration time.Duration `json:"right_ns"`
}

// Ports on which a front listens at its own loopback address.
const (
	clientPort = 7400
	meshPort   = 7500
)

// Resource limits of a front.
const (
	frontCores    = 1.0
	frontMemoryMB = 32
)

// seedFactor is the difference between the seeds of two consecutive fronts.
const seedFactor = 2654435761

// hostsPerOctet is the number of fronts that share the third octet of their loopback addresses.
const hostsPerOctet = 250

// frontName returns the name of the front with ordinal i. Ordinals start at 0, and names at n1.
func frontName(i int) string { return fmt.Sprintf("n%d", i+1) }

// host returns the loopback address of the front with ordinal i.
func (s *RunSettings) host(i int) string {
	return fmt.Sprintf("%s.%d.%d", s.Network, i/hostsPerOctet, i%hostsPerOctet+1)
}

func (s *RunSettings) meshAddress(i int) string { return fmt.Sprintf("%s:%d", s.host(i), meshPort) }
func (s *RunSettings) frontDir(i int) string    { return filepath.Join(s.Dir, frontName(i)) }
func (s *RunSettings) adminSocket(i int) string { return filepath.Join(s.frontDir(i), "ctl") }
func (s *RunSettings) historyFile(i int) string {
	return filepath.Join(s.frontDir(i), "history.jsonl")
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// The transaction classes that the rules of a published configuration name.
const (
	browseClass = "browse"
	bookClass   = "book"
)

// instanceConfigFormat is a format string for a front's instance configuration. RunSettings.configText fills it in.
const instanceConfigFormat = `{"name": %q, "listen": "%s:%d", "discovery": %q, "seed": "%x",
 "limits": {"cores": %.1f, "memory_mb": %d, "sockets": 256}, "known": {"index": 0, "snapshot": true, "endpoints": []},
 "settings": {
  "Zones": %s, "Locality": %q, "FleetSize": %d, "Ordinal": %d, "Discovery": "push", "Tick": 5000000,
  "Classes": [
   {"Name": %q, "Aim": 250000000, "Deadline": 2000000000, "Effect": "read_like", "Group": "all", "Worth": 1.0},
   {"Name": %q, "Aim": 250000000, "Deadline": 2000000000, "Effect": "idempotency_key", "Group": "cell", "Window": 2000000000, "Worth": 5.0}],
  "FamilyInfo": {"ReadLevel": ["eventual", "mutate"], "StalenessBound": [0, 0], "RoleListed": "trailing",
   "Checks": "bounce", "HoldsFor": 50000000, "WriteMarks": "kept", "TellsPosition": true},
  "Rules": {"AnswerSlack": 20000000, "StopSendingWithin": 2000000000, "Cold": 1000000000, "Fall": 2000000000, "AskEvery": 2000000000},
  "Limits": {"AttemptsCap": 10, "MayProbe": true, "Cancel": true, "DialTimeout": 500000000, "ConnIdle": 30000000000,
   "RetryAfter": true, "MaxRetryAfter": 1000000000, "MayDuplicate": false, "Peers": false}
 }}`

// configText returns the text of a front's instance configuration.
func (s *RunSettings) configText(i int) string {
	var zones []string
	for z := range s.Zones {
		zones = append(zones, zoneName(z))
	}
	names, err := json.Marshal(zones)
	if err != nil {
		panic("marshal zone names: " + err.Error()) // strings always encode
	}
	return fmt.Sprintf(instanceConfigFormat, frontName(i), s.host(i), clientPort, s.Discovery, uint64(i)*seedFactor+1, frontCores, frontMemoryMB,
		names, zoneName(i%s.Zones), s.Fronts, i, browseClass, bookClass)
}

// operatorText returns the text of a front's operator file, which configures the fleet and rollouts. Voters store their state on disk,
// real fronts serve the admin API, and one real front writes a history.
func (s *RunSettings) operatorText(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "(fleet (id \"scale\") (listen %q) (lease-duration %v) (plain loopback)\n (voters", s.meshAddress(i), s.LeaseDuration)
	for v := range voterCount {
		fmt.Fprintf(&b, " (%s %q)", frontName(v), s.meshAddress(v))
	}
	fmt.Fprint(&b, ")")
	if i < voterCount {
		fmt.Fprintf(&b, "\n (voter %q)", filepath.Join(s.frontDir(i), "fleet.db"))
	}
	if i < realFronts {
		fmt.Fprintf(&b, "\n (control %q)", s.adminSocket(i))
	}
	if i == historyOrdinal {
		fmt.Fprintf(&b, "\n (history %q)", s.historyFile(i))
	}
	fmt.Fprintf(&b, ")\n(roll (right %v) (when-alone serve) (dir %q))\n", s.ConfigLeaseDuration, filepath.Join(s.frontDir(i), "roll"))
	return b.String()
}

// operatorForms parses the text of an operator file in the same way as the program.
func operatorForms(text string) (*fleet.Config, *rollout.Config, error) {
	file, err := config.Parse("operator", []byte(text))
	if err != nil {
		return nil, nil, err
	}
	decoder := file.NewDecoder()
	forms := decoder.Forms(fleet.FormName, rollout.FormName)
	fleetConfig, rolloutConfig := fleet.ReadConfig(forms[fleet.FormName]), rollout.ReadConfig(forms[rollout.FormName])
	return fleetConfig, rolloutConfig, decoder.Err()
}

// rulesText returns the text of configuration n. Two consecutive configurations differ in meaning.
func rulesText(n int) string {
	return fmt.Sprintf("(rules (window %s %dms))", bookClass, 1000+n%2*500)
}
