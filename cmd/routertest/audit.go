package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/lab/report"
)

var errNoAuditLogs = errors.New("no audit logs")

type auditCommand struct {
	Dirs []string `arg:"" type:"existingdir" help:"Directories with audit logs, and those below them."`
	Out  string   `type:"path" default:"audit.html" help:"The page."`
}

func (c *auditCommand) run() int {
	logs, err := disk.OpenAuditLogs(c.Dirs...)
	if err != nil {
		return reportError(err)
	}
	if len(logs.Names()) == 0 {
		return reportError(fmt.Errorf("%w in %v", errNoAuditLogs, c.Dirs))
	}
	fronts, findings := audit.ReadLogs(logs)
	findings = append(findings, logs.Conflicts...)
	f, err := os.Create(c.Out)
	if err == nil {
		err = errors.Join(report.Audit(f, fronts, findings), f.Close())
	}
	if err != nil {
		return reportError(err)
	}
	fmt.Println(c.Out)
	if slices.ContainsFunc(findings, func(f audit.Finding) bool { return f.Violation }) {
		return exitViolation
	}
	return exitOK
}
