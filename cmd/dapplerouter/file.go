package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"dapplerouter/config"
	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/sqlclass"
)

// operatorConfig is what the operator's file says: a form that is absent is off.
type operatorConfig struct {
	classing         *sqlclass.Settings
	classingPosition config.Position // of the classing form
	gateway          *gateway.Config
	fleet            *fleet.Config
	rollout          *rollout.Config
	audit            *audit.Config
	rules            *deployment.Rules
}

// readOperatorFile reads an operator's file. The error is conf.Faults where the text is at fault.
func readOperatorFile(path string) (*operatorConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := config.Parse(path, text)
	if err != nil {
		return nil, err
	}
	r := f.NewDecoder()
	o := &operatorConfig{}
	forms := r.Forms(sqlclass.FormName, gateway.FormName, fleet.FormName, rollout.FormName, audit.FormName, deployment.RulesForm)
	if form := forms[sqlclass.FormName]; form != nil {
		o.classing, o.classingPosition = sqlclass.ReadSettings(form), form.Position
	}
	if form := forms[gateway.FormName]; form != nil {
		o.gateway = gateway.ReadConfig(form)
	}
	if form := forms[fleet.FormName]; form != nil {
		o.fleet = fleet.ReadConfig(form)
	}
	if form := forms[rollout.FormName]; form != nil {
		o.rollout = rollout.ReadConfig(form)
		if o.fleet != nil && o.fleet.LeaseDuration > 0 {
			if _, err := o.rollout.ConfigLeaseFor(o.fleet.LeaseDuration); err != nil {
				f := err.(config.ErrorList)[0]
				form.Errorf(f.Position, f.Remedy, "%s", f.Message)
			}
		}
	}
	if form := forms[audit.FormName]; form != nil {
		o.audit = audit.ReadConfig(form)
	}
	if form := forms[deployment.RulesForm]; form != nil {
		o.rules = deployment.ReadRules(form)
	}
	for _, name := range []string{rollout.FormName, audit.FormName} {
		if form := forms[name]; form != nil && o.fleet == nil {
			form.Errorf(form.Position, "add the form fleet, or take this one away", "%s stands on a fleet, and the file has none", name)
		}
	}
	return o, r.Err()
}

// checkAgainst finds what the file says against what a front is told.
func (o *operatorConfig) checkAgainst(told *deployment.Instance) error {
	if g := o.gateway; g != nil && 2*(g.Settings.CreditBytes+g.Settings.RetainedBytes) > told.MemoryBytes/2 {
		return config.ErrorList{{Position: g.Position, Message: fmt.Sprintf("credit and kept of %d and %d bytes are too much for the %d told",
			g.Settings.CreditBytes, g.Settings.RetainedBytes, told.MemoryBytes), Remedy: "make them smaller: twice both may be half of the memory"}}
	}
	if o.fleet != nil {
		if err := o.fleet.CheckName(told.Name); err != nil {
			return err
		}
	}
	if err := o.rules.Validate(told.Settings); err != nil {
		return err
	}
	if o.classing == nil {
		return nil
	}
	if o.classing.CacheBytes > told.MemoryBytes/4 {
		return config.ErrorList{{Position: o.classingPosition, Message: fmt.Sprintf("a cache of %d bytes is more than a quarter of the %d told",
			o.classing.CacheBytes, told.MemoryBytes), Remedy: "make the cache smaller"}}
	}
	return front.ValidateClassification(o.classing, told.Settings)
}

// loadOperatorConfig reads the file and checks it against what a front is told; where there is no file, nothing is on.
func loadOperatorConfig(path string, told *deployment.Instance) (*operatorConfig, error) {
	if path == "" {
		return &operatorConfig{}, nil
	}
	o, err := readOperatorFile(path)
	if err == nil {
		err = o.checkAgainst(told)
	}
	return o, err
}

// newClassifier makes what the classing form turns on, nil for nothing.
func (o *operatorConfig) newClassifier() *front.Classifier {
	if o.classing == nil {
		return nil
	}
	return &front.Classifier{Classifier: o.classing.NewClassifier(), UndeclaredWriteEffect: o.classing.UndeclaredWrites}
}

// splitErrors takes an error apart.
func splitErrors(err error) (all []error) {
	var faults config.ErrorList
	if !errors.As(err, &faults) {
		return []error{err}
	}
	for _, f := range faults {
		all = append(all, f)
	}
	return all
}

// printErrors writes what makes a file unusable, a line each.
func printErrors(w io.Writer, err error) int {
	for _, why := range splitErrors(err) {
		fmt.Fprintln(w, why)
	}
	return exitUnusable
}

type checkCommand struct {
	File   string `arg:"" help:"The operator's file."`
	Config string `type:"path" placeholder:"FILE" help:"What a front is told (EDGE_CONFIG's file); the file is checked against it too."`
	JSON   bool   `help:"A line of JSON for each fault instead."`
}

func (c *checkCommand) run() int {
	o, err := readOperatorFile(c.File)
	if err == nil && c.Config != "" {
		told, fault := deployment.Load(func(name string) string {
			if name == deployment.FileVariable {
				return c.Config
			}
			return ""
		}, os.ReadFile)
		if fault != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", c.Config, fault)
			return exitUnusable
		}
		err = o.checkAgainst(told)
	}
	var faults config.ErrorList
	switch {
	case err == nil:
		if !c.JSON {
			fmt.Printf("%s: good\n", c.File)
		}
		return exitOK
	case !errors.As(err, &faults):
		fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err)
		return exitUnusable
	}
	out := json.NewEncoder(os.Stdout)
	for _, f := range faults {
		if c.JSON {
			out.Encode(map[string]any{"file": f.File, "line": f.Line, "column": f.Column, "what": f.Message, "remedy": f.Remedy})
		} else {
			fmt.Fprintln(os.Stderr, f)
		}
	}
	return exitNegative
}
