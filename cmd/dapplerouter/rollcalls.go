package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/fleet/agent"
)

// fleetPublishCommand brings rules to the whole fleet in waves.
type fleetPublishCommand struct {
	Rules      string        `arg:"" type:"existingfile" help:"A file with the form rules, and no other."`
	Waves      string        `default:"1,10%,50%,100%" help:"Parts of the fleet that are on the new version, one after the other; 1 is one front."`
	Watch      time.Duration `default:"30s" help:"For how long each wave is watched before the next."`
	Must       bool          `help:"Nobody may act on the old version once the new one is in force."`
	ShutOut    string        `default:"20%" help:"The most of the fleet, and of a zone, that may be shut out at once where fronts lag."`
	Within     time.Duration `placeholder:"TIME" help:"By when it has to be in force everywhere; the form's in-force-within where left out."`
	NoEvidence string        `name:"no-evidence" enum:"go,hold,back" default:"go" help:"With a time: what a wave does whose time is over before it is known how the version serves: the next wave, hold, or take the version back."`
	On         string        `placeholder:"VERSION" help:"The version that you saw in force; the asked front's where left out."`
	adminClient
}

// parseFleetShare reads 10% or, where one is allowed, 1 for one front.
func parseFleetShare(s string, allowOne bool) (uint16, error) {
	if s == "1" && allowOne {
		return 1, nil
	}
	p, ok := strings.CutSuffix(s, "%")
	n, err := strconv.ParseFloat(p, 64)
	if !ok || err != nil || n <= 0 || n > 100 {
		return 0, fmt.Errorf("%q is no part of a fleet: 10%%, or 1 for one front", s)
	}
	return uint16(max(1, n*10)), nil
}

func (c *fleetPublishCommand) run() int {
	text, err := os.ReadFile(c.Rules)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err)
		return exitUnusable
	}
	if _, err := deployment.ParseRules(c.Rules, text); err != nil {
		return printErrors(os.Stderr, err)
	}
	var waves []string
	last := uint16(0)
	for _, w := range strings.Split(c.Waves, ",") {
		n, err := parseFleetShare(strings.TrimSpace(w), true)
		if err == nil && n < last {
			err = fmt.Errorf("waves rise, and %s comes behind a larger one", w)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "dapplerouter: --waves: %v\n", err)
			return exitUnusable
		}
		last = n
		waves = append(waves, strconv.Itoa(int(n)))
	}
	if last != 1000 {
		fmt.Fprintln(os.Stderr, "dapplerouter: --waves: the last one is 100%")
		return exitUnusable
	}
	out, err := parseFleetShare(c.ShutOut, false)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dapplerouter: --shut-out: %v\n", err)
		return exitUnusable
	}
	return c.post("/v1/fleet/roll", url.Values{"do": {"publish"}, "text": {string(text)}, "waves": {strings.Join(waves, ",")}, "watch": {c.Watch.String()},
		"must": {strconv.FormatBool(c.Must)}, "shut_out": {strconv.Itoa(int(out))}, "on": {c.On}, "within": {c.Within.String()}, "no_evidence": {c.NoEvidence}}, "the version is on its way: dapplerouter fleet roll status")
}

// rolloutCommands looks at a version on its way, and turns it.
type rolloutCommands struct {
	Status rolloutStatusCommand `cmd:"" help:"Say which version is in force, which is on its way, and how each front stands."`
	Back   rolloutBackCommand   `cmd:"" help:"Take the version that is on its way back."`
	Hold   rolloutHoldCommand   `cmd:"" help:"Let it go no further."`
	Resume rolloutResumeCommand `cmd:"" help:"Let it go on."`
}

type rolloutStatusCommand struct{ adminClient }

func (c *rolloutStatusCommand) run() int {
	var s agent.RolloutStatus
	if err := c.call("GET", "/v1/fleet/roll", nil, &s); err != nil {
		return exitCode(err)
	}
	exit := exitOK
	if s.Paused || len(s.Unproven) > 0 {
		exit = exitNegative
	}
	if c.JSON {
		json.NewEncoder(os.Stdout).Encode(s)
		return exit
	}
	fmt.Printf("version %d is in force", s.Base)
	if s.Next != 0 {
		fmt.Printf(", version %d on its way: %s, wave %d of %d, each watched for %s", s.Next, s.Phase, s.Stage, len(s.Stages), s.Watch)
		if s.Within != "" {
			fmt.Printf(", in force within %s", s.Within)
		}
		if s.Must {
			fmt.Print(", must")
		}
		if s.Paused {
			fmt.Print(", held")
		}
	}
	fmt.Println()
	if s.Reason != "" {
		fmt.Println("last turn:", s.Reason)
	}
	for _, w := range s.Waiting {
		fmt.Printf("waiting for the next version, by %s on version %d: %s\n", w.Front, w.Base, w.Changes)
	}
	if len(s.Unproven) > 0 {
		fmt.Printf("may act on an older version, since they hear nobody and serve alone: %s\n", strings.Join(s.Unproven, " "))
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nFRONT\tZONE\tVERSION\tADOPTED\tHEARD\tNOTE")
	for _, x := range s.Fronts {
		note := x.Reason
		if !x.Participates {
			note = "takes no part in versions"
		} else if x.RejectedVersion != 0 {
			note = fmt.Sprintf("refused %d: %s", x.RejectedVersion, x.Reason)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%.1f s ago\t%s\n", x.Front, x.Zone, x.ActiveVersion, x.Adopted, x.AgeSeconds, note)
	}
	t.Flush()
	return exit
}

// rolloutAction is a wish about the version on its way.
type rolloutAction struct {
	Why string `required:"" help:"For those who read it later."`
	adminClient
}

func (t *rolloutAction) request(what, good string) int {
	return t.post("/v1/fleet/roll", url.Values{"do": {what}, "why": {t.Why}}, good)
}

type rolloutBackCommand struct{ rolloutAction }

func (c *rolloutBackCommand) run() int { return c.request("back", "it goes back") }

type rolloutHoldCommand struct{ rolloutAction }

func (c *rolloutHoldCommand) run() int { return c.request("hold", "it is held") }

type rolloutResumeCommand struct{ rolloutAction }

func (c *rolloutResumeCommand) run() int { return c.request("resume", "it goes on") }
