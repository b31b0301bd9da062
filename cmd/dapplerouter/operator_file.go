package main

import (
	"errors"
	"fmt"
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

// operatorConfig holds the settings of an operator's file. A subsystem whose form is absent is off, and its field is nil.
type operatorConfig struct {
	classing         *sqlclass.Settings
	classingPosition config.Position // of the classing form
	gateway          *gateway.Config
	fleet            *fleet.Config
	rollout          *rollout.Config
	audit            *audit.Config
	rules            *deployment.Rules
}

// readOperatorFile reads an operator's file. The error is a config.ErrorList if the file's text is invalid. If only settings in it are
// invalid, readOperatorFile also returns the settings that it could read.
func readOperatorFile(path string) (*operatorConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := config.Parse(path, text)
	if err != nil {
		return nil, err
	}
	d := f.NewDecoder()
	o := &operatorConfig{}
	forms := d.Forms(sqlclass.FormName, gateway.FormName, fleet.FormName, rollout.FormName, audit.FormName, deployment.RulesForm)
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
		o.checkConfigLease(form)
	}
	if form := forms[audit.FormName]; form != nil {
		o.audit = audit.ReadConfig(form)
	}
	if form := forms[deployment.RulesForm]; form != nil {
		o.rules = deployment.ReadRules(form)
	}
	for _, name := range []string{rollout.FormName, audit.FormName} {
		if form := forms[name]; form != nil && o.fleet == nil {
			form.Errorf(form.Position, "add the form fleet, or remove this one",
				"the form %s requires a fleet, and the file has no form fleet", name)
		}
	}
	return o, d.Err()
}

// checkConfigLease adds an error to the rollout form if its settings conflict with the fleet's lease duration.
func (o *operatorConfig) checkConfigLease(form *config.Form) {
	if o.fleet == nil || o.fleet.LeaseDuration <= 0 {
		return
	}
	_, err := o.rollout.ConfigLeaseFor(o.fleet.LeaseDuration)
	var errorList config.ErrorList
	if errors.As(err, &errorList) {
		form.Errorf(errorList[0].Position, errorList[0].Remedy, "%s", errorList[0].Message)
	} else if err != nil {
		form.Errorf(form.Position, "", "%v", err)
	}
}

// checkAgainst checks the file against the configuration of the instance that uses it, and returns the first conflict.
func (o *operatorConfig) checkAgainst(instance *deployment.Instance) error {
	if g := o.gateway; g != nil && 2*(g.Settings.CreditBytes+g.Settings.MaxRetainedBytes) > instance.MemoryBytes/2 {
		return config.ErrorList{{Position: g.Position, Message: fmt.Sprintf(
			"credit of %d bytes and kept of %d bytes are too much for the instance's memory of %d bytes",
			g.Settings.CreditBytes, g.Settings.MaxRetainedBytes, instance.MemoryBytes),
			Remedy: "reduce them: twice their sum may be at most half of the memory"}}
	}
	if o.fleet != nil {
		if err := o.fleet.CheckName(instance.Name); err != nil {
			return err
		}
	}
	if err := o.rules.Validate(instance.Settings); err != nil {
		return err
	}
	if o.classing == nil {
		return nil
	}
	if o.classing.CacheBytes > instance.MemoryBytes/4 {
		return config.ErrorList{{Position: o.classingPosition, Message: fmt.Sprintf(
			"a cache of %d bytes exceeds a quarter of the instance's memory of %d bytes",
			o.classing.CacheBytes, instance.MemoryBytes), Remedy: "make the cache smaller"}}
	}
	return front.ValidateClassification(o.classing, instance.Settings)
}

// loadOperatorConfig reads the operator's file and checks it against the instance. If path is empty, every subsystem is off.
func loadOperatorConfig(path string, instance *deployment.Instance) (*operatorConfig, error) {
	if path == "" {
		return &operatorConfig{}, nil
	}
	o, err := readOperatorFile(path)
	if err == nil {
		err = o.checkAgainst(instance)
	}
	return o, err
}

// newClassifier returns a classifier with the settings of the classing form, or nil if the file has no such form.
func (o *operatorConfig) newClassifier() *front.Classifier {
	if o.classing == nil {
		return nil
	}
	return &front.Classifier{Classifier: o.classing.NewClassifier(), UndeclaredWriteEffect: o.classing.UndeclaredWrites}
}
