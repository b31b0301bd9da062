package main

import (
	"fmt"
	"net/url"
	"strings"

	"dapplerouter/fleet/agent"
)

// rolloutCommands show, pause, resume and roll back the rollout in progress.
type rolloutCommands struct {
	Status rolloutStatusCommand `cmd:"" help:"Show which version is in force, which is being rolled out, and the version of each front."`
	Back   rolloutBackCommand   `cmd:"" help:"Roll back the version that is being rolled out."`
	Hold   rolloutHoldCommand   `cmd:"" help:"Pause the rollout."`
	Resume rolloutResumeCommand `cmd:"" help:"Resume the rollout."`
}

// rolloutStatusCommand shows the version in force, the rollout in progress and the version of each front.
type rolloutStatusCommand struct{ adminClient }

// run exits with exitNegative if an operator has to act: the rollout is paused, or fronts may act on an older version.
func (c *rolloutStatusCommand) run() int {
	var s agent.RolloutStatus
	if err := c.get("/v1/fleet/roll", &s); err != nil {
		return reportCallError(err)
	}
	if c.JSON {
		printJSON(s)
	} else {
		printRollout(&s)
	}
	if s.Paused || len(s.UnconfirmedFronts) > 0 {
		return exitNegative
	}
	return exitOK
}

// printRollout prints the version in force, the rollout in progress, the queued publications, and a table with the version of each front.
func printRollout(s *agent.RolloutStatus) {
	fmt.Printf("version %d is in force", s.Base)
	if s.Next != 0 {
		fmt.Printf(", version %d on its way: %s, stage %d of %d, each watched for %s", s.Next, s.Phase, s.Stage, len(s.Stages), s.ObservationTime)
		if s.InForceWithin != "" {
			fmt.Printf(", in force within %s", s.InForceWithin)
		}
		if s.Mandatory {
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
	for _, w := range s.QueuedPublications {
		fmt.Printf("waiting for the next version, by %s on version %d: %s\n", w.Front, w.Base, w.Changes)
	}
	if len(s.UnconfirmedFronts) > 0 {
		fmt.Printf("may act on an older version, since they are isolated and serve on: %s\n", strings.Join(s.UnconfirmedFronts, " "))
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

// rolloutAction holds the options of the commands that change the rollout in progress.
type rolloutAction struct {
	Why string `required:"" help:"For those who read it later."`
	adminClient
}

// request requests an action on the rollout from the front's admin API, prints success or the error, and returns the exit code.
func (a *rolloutAction) request(action, success string) int {
	return a.postAndPrint("/v1/fleet/roll", url.Values{"do": {action}, "why": {a.Why}}, success)
}

// rolloutBackCommand rolls back the version that is being rolled out.
type rolloutBackCommand struct{ rolloutAction }

// run requests the rollback and prints the result.
func (c *rolloutBackCommand) run() int { return c.request("back", "the version is rolled back") }

// rolloutHoldCommand pauses the rollout.
type rolloutHoldCommand struct{ rolloutAction }

// run requests the pause and prints the result.
func (c *rolloutHoldCommand) run() int { return c.request("hold", "the rollout is paused") }

// rolloutResumeCommand resumes a paused rollout.
type rolloutResumeCommand struct{ rolloutAction }

// run requests that the rollout continues, and prints the result.
func (c *rolloutResumeCommand) run() int { return c.request("resume", "the rollout is resumed") }
