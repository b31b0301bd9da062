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

// auditCommand joins the audit logs of many fronts on an HTML page.
type auditCommand struct {
	Dirs []string `arg:"" type:"existingdir" help:"Directories with audit logs, and those below them."`
	Out  string   `type:"path" default:"audit.html" help:"The page."`
}

func (c *auditCommand) run() int {
	violated, err := c.writePage()
	if err != nil {
		return reportError(err)
	}
	fmt.Println(c.Out)
	if violated {
		return exitViolation
	}
	return exitOK
}

// writePage writes the HTML page, and reports whether the logs violate an invariant. It returns errNoAuditLogs, and writes no page, if
// there are no logs.
func (c *auditCommand) writePage() (violated bool, err error) {
	logs, err := disk.OpenAuditLogs(c.Dirs...)
	if err != nil {
		return false, err
	}
	if len(logs.Names()) == 0 {
		return false, fmt.Errorf("%w in %v", errNoAuditLogs, c.Dirs)
	}
	fronts, findings := audit.ReadLogs(logs)
	findings = append(findings, logs.Conflicts...)
	page, err := os.Create(c.Out)
	if err != nil {
		return false, err
	}
	if err := errors.Join(report.Audit(page, fronts, findings), page.Close()); err != nil {
		return false, fmt.Errorf("write %s: %w", c.Out, err)
	}
	return slices.ContainsFunc(findings, func(f audit.Finding) bool { return f.Violation }), nil
}
