package processtest

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"dapplerouter/config"
)

// Names of a script's top-level form: the present one, and the deprecated one that Parse still accepts.
const (
	formName           = "process-test"
	deprecatedFormName = "rig"
)

// deprecatedNames maps deprecated names to the names that replaced them. Parse still accepts the deprecated names.
var deprecatedNames = struct{ settings, steps, selectors map[string]string }{
	settings: map[string]string{"keepers": "voters", "members": "servers", "span": "lease-duration", "alone": "without-fleet", "ask": "poll", "versions": "rollouts"},
	steps: map[string]string{
		"stop": "pause", "end": "terminate", "cut": "partition", "one-way": "partition-one-way", "apart": "isolate",
		"deaf": "block-inbound", "mute": "block-outbound", "slow": "delay", "spoil": "corrupt", "take-back": "roll-back",
		"torn-audit": "truncate-audit", "hand": "transfer", "lists": "endpoints-down", "older": "endpoints-stale", "change": "endpoints-change",
		"keep": "back-up-disk", "old-disk": "restore-disk", "torn": "truncate-disk", "leaderless": "expect-no-leader",
		"recover": "recover-voters", "no-recover": "expect-recovery-rejected", "hang": "hang-server", "twin": "duplicate",
	},
	selectors: map[string]string{"giver": selectLeader, "keeper": selectVoter, "holder": selectLeaseholder, "new": selectNewest},
}

// currentName returns the present name for a name that may be deprecated.
func currentName(name string, old map[string]string) string { return cmp.Or(old[name], name) }

// Load reads and parses a script file.
func Load(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses the text of a script. Name is the file name for error messages. An example:
//
//	(process-test (fronts 5) (voters 3) (servers 3) (clients 4) (lease-duration 1s) (for 12s)
//	  (at 3s (pause leaseholder:list 2500ms))
//	  (at 6s (kill n2 1s)))
//
// stepKinds lists the steps. An error is a config.ErrorList, whose elements each have a position and a remedy.
func Parse(name string, text []byte) (*Script, error) {
	f, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	d := f.NewDecoder()
	forms := d.Forms(formName, deprecatedFormName)
	form := cmp.Or(forms[formName], forms[deprecatedFormName])
	if form == nil {
		d.Errorf(config.Position{File: name, Line: 1, Column: 1}, "(process-test (fronts 5) ... (at 3s (pause n1 2s)))",
			"the file does not contain the form %s", formName)
		return nil, d.Err()
	}
	s := &Script{Name: name, Fronts: 5, Voters: 3, Servers: 3, Clients: 4, LeaseDuration: time.Second, Duration: 10 * time.Second}
	for _, g := range form.Subforms() {
		s.parseSetting(g)
	}
	if s.Voters > s.Fronts || s.Voters%2 == 0 {
		form.Errorf(form.Position, "(voters 3), and at least as many (fronts ...)",
			"%d voters and %d fronts: the number of voters must be odd and not exceed the number of fronts", s.Voters, s.Fronts)
	}
	return s, d.Err()
}

// parseSetting parses one setting of the script, or the steps of one time.
func (s *Script) parseSetting(g *config.Form) {
	switch currentName(g.Name, deprecatedNames.settings) {
	case "fronts":
		parseCount(g, &s.Fronts, 60)
	case "voters":
		parseCount(g, &s.Voters, 5)
	case "servers":
		parseCount(g, &s.Servers, 9)
	case "clients":
		parseCount(g, &s.Clients, 200)
	case "lease-duration":
		s.LeaseDuration = g.Duration()
	case "for":
		s.Duration = g.Duration()
	case "without-fleet":
		s.WithoutFleet = true
	case "poll":
		s.Poll = true
	case "rollouts":
		s.Rollouts.parse(g)
	case "at":
		s.parseSteps(g)
	default:
		g.Errorf(g.Position, "known are fronts, voters, servers, clients, lease-duration, for, without-fleet, poll, rollouts, at",
			"unknown setting %s", g.Name)
	}
}

// parseCount parses a form whose value is a whole number from 0 to limit.
func parseCount(g *config.Form, to *int, limit int) {
	w, ok := g.Value()
	n, err := strconv.Atoi(w.Name)
	if ok && (err != nil || n < 0 || n > limit) {
		g.Errorf(w.Position, fmt.Sprintf("a whole number up to %d", limit), "%s is not a valid number of %s", w.Name, g.Name)
	}
	*to = n
}

// parse parses the form (rollouts CONFIG-LEASE [stop] [differ] [within DURATION]).
func (r *Rollouts) parse(g *config.Form) {
	within := false
	for _, w := range g.Atoms() {
		switch d, err := time.ParseDuration(w.Name); {
		case w.Name == "within":
			within = true
		case w.Name == "stop":
			r.StopWhenAlone = true
		case w.Name == "differ":
			r.DifferingLimits = true
		case err != nil || d <= 0:
			g.Errorf(w.Position, "(rollouts 4s [stop] [differ] [within 9s])", "%s is neither a duration nor an option of rollouts", w.Name)
		case within:
			r.Within, within = d, false
		default:
			r.ConfigLease = d
		}
	}
}

// parseSteps parses the form (at TIME STEP ...), whose steps all begin at one time.
func (s *Script) parseSteps(g *config.Form) {
	w, ok := g.TakeName()
	if !ok {
		return
	}
	at, err := time.ParseDuration(w.Name)
	if err != nil || at < 0 {
		g.Errorf(w.Position, "a time as in 3s or 250ms", "%s is not a valid time", w.Name)
	}
	for _, x := range g.Subforms() {
		s.Steps = append(s.Steps, s.parseStep(x, at))
	}
}

// parseStep parses one step, which begins at the given time.
func (s *Script) parseStep(x *config.Form, at time.Duration) Step {
	step := Step{At: at, Kind: currentName(x.Name, deprecatedNames.steps), Position: x.Position}
	kind, ok := stepKinds[step.Kind]
	if !ok {
		x.Errorf(x.Position, "known are "+strings.Join(sortedKeys(stepKinds), " "), "unknown step %s", x.Name)
		return step
	}
	switch step.Kind {
	case stepPublish:
		for _, w := range x.Atoms() {
			step.Arguments = append(step.Arguments, w.Name)
		}
		if len(step.Arguments) == 0 || publications[step.Arguments[0]] == "" || !s.Rollouts.Enabled() {
			x.Errorf(x.Position, kind.help+"; and (rollouts 4s) before it", "publish is incomplete")
		}
		return step
	case stepTransfer:
		if atoms := x.Atoms(); len(atoms) == 1 {
			step.Lease = atoms[0].Name
			return step
		}
		x.Errorf(x.Position, kind.help, "%s is incomplete", x.Name)
		return step
	}
	if kind.fronts+kind.durations == 0 {
		return step
	}
	for _, w := range x.Atoms() {
		if len(step.Fronts) < kind.fronts {
			step.Fronts = append(step.Fronts, s.parseSelector(x, w))
			continue
		}
		d, err := time.ParseDuration(w.Name)
		if err != nil || d <= 0 {
			x.Errorf(w.Position, kind.help, "%s is not a valid duration", w.Name)
		}
		step.Durations = append(step.Durations, d)
	}
	if len(step.Fronts) != kind.fronts || len(step.Durations) != kind.durations {
		x.Errorf(x.Position, kind.help, "%s is incomplete", x.Name)
	}
	return step
}

// parseSelector parses a front's name, as n1, or a role: leaseholder:LEASE, leader, voter, follower, newest or any.
func (s *Script) parseSelector(x *config.Form, w config.Atom) FrontSelector {
	for i := range s.Fronts {
		if w.Name == frontName(i) {
			return FrontSelector{Name: w.Name}
		}
	}
	name, lease, hasLease := strings.Cut(w.Name, ":")
	switch name = currentName(name, deprecatedNames.selectors); name {
	case selectLeaseholder:
		if lease != "" {
			return FrontSelector{Name: name, Lease: lease}
		}
	case selectLeader, selectVoter, selectFollower, selectNewest, selectAny:
		if !hasLease {
			return FrontSelector{Name: name}
		}
	}
	x.Errorf(w.Position, "n1 to n"+strconv.Itoa(s.Fronts)+", leaseholder:LEASE, leader, voter, follower, newest (on the newest version) or any",
		"%s does not select a front", w.Name)
	return FrontSelector{Name: selectAny}
}
