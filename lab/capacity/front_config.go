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

// RunSettings are the settings that all fronts of a run share; the supervisor sends them to its workers.
type RunSettings struct {
	Network             string        `json:"network"` // the first two numbers of the fronts' loopback addresses
	Dir                 string        `json:"dir"`
	Discovery           string        `json:"discovery"`
	Fronts              int           `json:"fronts"`
	Zones               int           `json:"zones"`
	LeaseDuration       time.Duration `json:"span_ns"`
	ConfigLeaseDuration time.Duration `json:"right_ns"`
}

// Ports of a front at its own loopback address.
const (
	clientPort = 7400
	meshPort   = 7500
)

// The limits of a front.
const (
	frontCores    = 1.0
	frontMemoryMB = 32
)

// Seeds of fronts differ from each other by seedFactor.
const seedFactor = 2654435761

// hostsPerByte is how many fronts share the third number of their loopback addresses.
const hostsPerByte = 250

// frontName returns the name of the front with an ordinal from 0 on.
func frontName(i int) string { return fmt.Sprintf("n%d", i+1) }

// host returns a front's own loopback address.
func (s *RunSettings) host(i int) string {
	return fmt.Sprintf("%s.%d.%d", s.Network, i/hostsPerByte, i%hostsPerByte+1)
}

func (s *RunSettings) meshAddress(i int) string { return fmt.Sprintf("%s:%d", s.host(i), meshPort) }
func (s *RunSettings) folder(i int) string      { return filepath.Join(s.Dir, frontName(i)) }
func (s *RunSettings) adminSocket(i int) string { return filepath.Join(s.folder(i), "ctl") }
func (s *RunSettings) historyFile(i int) string {
	return filepath.Join(s.folder(i), "history.jsonl")
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// The transaction classes that the rules of a published configuration name.
const (
	browseType = "browse"
	bookType   = "book"
)

// instanceConfigFormat is the instance configuration; configText fills it in.
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

// configText returns a front's instance configuration.
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
		names, zoneName(i%s.Zones), s.Fronts, i, browseType, bookType)
}

// operatorText returns a front's operator's file: its part in the fleet and in rollouts. Voters keep their state on disk, real
// fronts serve the admin API, and one keeps a history.
func (s *RunSettings) operatorText(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "(fleet (id \"scale\") (listen %q) (lease-duration %v) (plain loopback)\n (voters", s.meshAddress(i), s.LeaseDuration)
	for v := range voterCount {
		fmt.Fprintf(&b, " (%s %q)", frontName(v), s.meshAddress(v))
	}
	fmt.Fprint(&b, ")")
	if i < voterCount {
		fmt.Fprintf(&b, "\n (voter %q)", filepath.Join(s.folder(i), "fleet.db"))
	}
	if i < realFronts {
		fmt.Fprintf(&b, "\n (control %q)", s.adminSocket(i))
	}
	if i == historyOrdinal {
		fmt.Fprintf(&b, "\n (history %q)", s.historyFile(i))
	}
	fmt.Fprintf(&b, ")\n(roll (right %v) (when-alone serve) (dir %q))\n", s.ConfigLeaseDuration, filepath.Join(s.folder(i), "roll"))
	return b.String()
}

// operatorForms parses an operator's file, as the program does.
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

// rulesText returns the text of a configuration; each differs in meaning from the one before.
func rulesText(n int) string {
	return fmt.Sprintf("(rules (window %s %dms))", bookType, 1000+n%2*500)
}
