package main

import (
	"fmt"
	"net/url"
	"strings"

	"dapplerouter/fleet/agent"
)

// rolloutCommands look at a version on its way, and turn it.
type rolloutCommands struct {
	Status rolloutStatusCommand `cmd:"" help:"Say which version is in force, which is on its way, and how each front stands."`
	Back   rolloutBackCommand   `cmd:"" help:"Take the version that is on its way back."`
	Hold   rolloutHoldCommand   `cmd:"" help:"Let it go no further."`
	Resume rolloutResumeCommand `cmd:"" help:"Let it go on."`
}

type rolloutStatusCommand struct{ adminClient }

// run exits with exitNegative where an operator has something to do: a rollout is paused, or fronts may act on an older version.
func (c *rolloutStatusCommand) run() int {
	var s agent.RolloutStatus
	if err := c.get("/v1/fleet/roll", &s); err != nil {
		return exitCode(err)
	}
	if c.JSON {
		printJSON(s)
	} else {
		printRollout(&s)
	}
	if s.Paused || len(s.Unproven) > 0 {
		return exitNegative
	}
	return exitOK
}

func printRollout(s *agent.RolloutStatus) {
	fmt.Printf("version %d is in force", s.Base)
	if s.Next != 0 {
		fmt.Printf(", version %d on its way: %s, stage %d of %d, each watched for %s", s.Next, s.Phase, s.Stage, len(s.Stages), s.Watch)
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
		fmt.Println("last change:", s.Reason)
	}
	for _, w := range s.Waiting {
		fmt.Printf("waiting for the next version, by %s on version %d: %s\n", w.Front, w.Base, w.Changes)
	}
	if len(s.Unproven) > 0 {
		fmt.Printf("may act on an older version, since they are isolated and serve on: %s\n", strings.Join(s.Unproven, " "))
	}
	fmt.Println()
	t := newTable("FRONT", "ZONE", "VERSION", "ADOPTED", "HEARD", "NOTE")
	for _, x := range s.Fronts {
		note := x.Reason
		if !x.Participates {
			note = "takes no part in versions"
		} else if x.RejectedVersion != 0 {
			note = fmt.Sprintf("rejected %d: %s", x.RejectedVersion, x.Reason)
		}
		t.row(fmt.Sprintf("%s\t%s\t%d\t%s\t%.1f s ago\t%s", x.Front, x.Zone, x.ActiveVersion, x.Adopted, x.AgeSeconds, note))
	}
	t.flush()
}

// rolloutAction is an operator's change to the version on its way.
type rolloutAction struct {
	Why string `required:"" help:"For those who read it later."`
	adminClient
}

func (a *rolloutAction) request(action, success string) int {
	return a.post("/v1/fleet/roll", url.Values{"do": {action}, "why": {a.Why}}, success)
}

type rolloutBackCommand struct{ rolloutAction }

func (c *rolloutBackCommand) run() int { return c.request("back", "it is rolled back") }

type rolloutHoldCommand struct{ rolloutAction }

func (c *rolloutHoldCommand) run() int { return c.request("hold", "it is held") }

type rolloutResumeCommand struct{ rolloutAction }

func (c *rolloutResumeCommand) run() int { return c.request("resume", "it goes on") }
