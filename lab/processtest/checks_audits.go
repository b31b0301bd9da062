package processtest

import (
	"fmt"
	"slices"
	"strings"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// checkAudits verifies the audit logs of all fronts. It checks that they report every truncation, that they contain the requests, and
// that they were collected and exported.
func (c *checker) checkAudits() {
	h := c.harness
	logs, err := disk.OpenAuditLogs(h.Dir)
	if err != nil {
		c.addViolation("audit logs: %v", err)
		return
	}
	frontLogs, findings := audit.ReadLogs(logs)
	truncations := 0
	for _, f := range append(findings, logs.Conflicts...) {
		switch {
		case f.Violation:
			c.addViolation("audit: %s", f)
		case strings.Contains(f.Message, "torn tail"):
			truncations++
		}
	}
	if truncations < h.expected.truncatedAudits {
		c.addViolation("%d audit logs were truncated, but %d report it", h.expected.truncatedAudits, truncations)
	}
	if len(frontLogs) < len(h.fronts) {
		c.addViolation("%d fronts, but audit logs of %d", len(h.fronts), len(frontLogs))
	}
	c.checkAuditedRequests(logs, frontLogs)
	collected, err := disk.OpenAuditLogs(h.collectionDir())
	if err != nil || h.expected.truncatedAudits > 0 && len(collected.Names()) == 0 {
		c.addViolation("audit logs of processes that ended were not collected (%v)", err)
	}
	if exported, err := disk.OpenAuditLogs(h.exportDir()); err != nil || len(exported.Names()) == 0 {
		c.addViolation("no audit log was exported (%v)", err)
	}
}

// checkAuditedRequests checks that the audit log of the front that answered contains the request. It samples every seventh request
// and checks it if it succeeded and its front was never restarted.
func (c *checker) checkAuditedRequests(logs *disk.AuditLogs, frontLogs []*audit.FrontLog) {
	position := func(segment string, offset any) string { return fmt.Sprint(segment, "/", offset) }
	intervals := map[string]bool{} // interval lines, by the position of their index as Find returns it
	for _, j := range frontLogs {
		for _, l := range j.Lines {
			if l.Event == audit.EventInterval {
				intervals[position(l.Segment, l.IndexOffset-1)] = true
			}
		}
	}
	missing := 0
	for i, q := range c.requests {
		if i%7 != 0 || q.code != "" || q.connectionLost || c.restarted(q.front) {
			continue
		}
		matches, _ := logs.Find(q.id) // ReadLogs has already reported what cannot be read
		if !slices.ContainsFunc(matches, func(m disk.Match) bool {
			front, _, _ := audit.ParseLogName(m.Segment + audit.LogSuffix)
			return front == q.front && intervals[position(m.Segment, m.IndexOffset)]
		}) {
			if missing++; missing < 4 {
				c.addViolation("%s succeeded at %s, but the audit log of that front does not contain it", q.id, q.front)
			}
		}
	}
}

// restarted reports whether a front has had more than one process. A killed process loses the audit lines that it has not yet
// written.
func (c *checker) restarted(front string) bool {
	return slices.ContainsFunc(c.harness.fronts, func(f *Front) bool { return f.Name == front && len(f.uptimes) > 1 })
}
