package main

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"dapplerouter/deployment"
)

// fleetPublishCommand starts a rollout: it publishes a new version of the rules, which the fronts adopt in stages.
type fleetPublishCommand struct {
	Rules      string        `arg:"" type:"existingfile" help:"A file with the form rules, and no other."`
	Waves      string        `default:"1,10%,50%,100%" help:"Stages: parts of the fleet that are on the new version, one after the other; 1 is one front."`
	Watch      time.Duration `default:"30s" help:"For how long each stage is watched before the next."`
	Must       bool          `help:"Nobody may act on the old version once the new one is in force."`
	ShutOut    string        `default:"20%" help:"The most of the fleet, and of a zone, that may be fenced at once where fronts lag."`
	Within     time.Duration `placeholder:"TIME" help:"By when it has to be in force everywhere; the form's in-force-within where left out."`
	NoEvidence string        `name:"no-evidence" enum:"go,hold,back" default:"go" help:"With a time: what a stage does whose time is over before it is known how the version serves: the next stage, hold, or take the version back."`
	On         string        `placeholder:"VERSION" help:"The version that you saw in force; the asked front's where left out."`
	adminClient
}

var (
	errNotShare        = errors.New("not a share of the fleet: write a percentage such as 10%, or in --waves 1 for a single front")
	errShareTooFine    = errors.New("finer than a tenth of a percent: write 0.1% or a multiple of it, or in --waves 1 for a single front")
	errStagesDecrease  = errors.New("the stage is smaller than the one before it")
	errLastStageNotAll = errors.New("the last stage must be 100%")
)

const wholeFleet = 1000 // in thousandths of the fleet

// parseShare parses a share of the fleet that is written as a percentage, and returns it in thousandths. A share that is no whole number
// of thousandths is errShareTooFine.
func parseShare(s string) (uint16, error) {
	p, ok := strings.CutSuffix(s, "%")
	percent, err := strconv.ParseFloat(p, 64)
	if !ok || err != nil || math.IsNaN(percent) || percent <= 0 || percent > 100 {
		return 0, fmt.Errorf("%q: %w", s, errNotShare)
	}
	const roundingError = 1e-9 // of a decimal fraction times ten, as in 32.3 * 10
	thousandths := math.Round(percent * 10)
	if math.Abs(percent*10-thousandths) > roundingError {
		return 0, fmt.Errorf("%q: %w", s, errShareTooFine)
	}
	return uint16(thousandths), nil
}

// parseStages converts the --waves option to the form that the admin API takes: shares in thousandths of the fleet, separated by commas.
// Stages must not decrease, and the last must be the whole fleet.
func parseStages(option string) (string, error) {
	var stages []string
	last := uint16(0)
	for _, stage := range strings.Split(option, ",") {
		stage = strings.TrimSpace(stage)
		n := uint16(1)
		if stage != "1" {
			var err error
			if n, err = parseShare(stage); err != nil {
				return "", err
			}
		}
		if n < last {
			return "", fmt.Errorf("%s: %w", stage, errStagesDecrease)
		}
		last = n
		stages = append(stages, strconv.Itoa(int(n)))
	}
	if last != wholeFleet {
		return "", errLastStageNotAll
	}
	return strings.Join(stages, ","), nil
}

// run checks the rules and the options, and requests the publication from the front's admin API. It does not wait for the rollout.
func (c *fleetPublishCommand) run() int {
	text, err := os.ReadFile(c.Rules)
	if err != nil {
		printError(err)
		return exitUnusable
	}
	if _, err := deployment.ParseRules(c.Rules, text); err != nil {
		return printErrors(os.Stderr, err)
	}
	stages, err := parseStages(c.Waves)
	if err != nil {
		printError(fmt.Errorf("--waves: %w", err))
		return exitUnusable
	}
	maxFenced, err := parseShare(c.ShutOut)
	if err != nil {
		printError(fmt.Errorf("--shut-out: %w", err))
		return exitUnusable
	}
	return c.postAndPrint("/v1/fleet/roll", url.Values{
		"do":          {"publish"},
		"text":        {string(text)},
		"waves":       {stages},
		"watch":       {c.Watch.String()},
		"must":        {strconv.FormatBool(c.Must)},
		"shut_out":    {strconv.Itoa(int(maxFenced))},
		"on":          {c.On},
		"within":      {c.Within.String()},
		"no_evidence": {c.NoEvidence},
	}, "rollout started; see dapplerouter fleet roll status")
}
