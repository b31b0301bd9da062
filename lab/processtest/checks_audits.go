package processtest

import (
	"fmt"
	"slices"
	"strings"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// checkAudits verifies the audit logs of all fronts, and looks for requests in them.
func (c *checker) checkAudits() {
	h := c.harness
	logs, err := disk.OpenAuditLogs(h.Dir)
	if err != nil {
		c.violated("audit logs: %v", err)
		return
	}
	frontLogs, findings := audit.ReadLogs(logs)
	truncations := 0
	for _, f := range append(findings, logs.Conflicts...) {
		switch {
		case f.Violation:
			c.violated("audit: %s", f)
		case strings.Contains(f.Message, "torn tail"):
			truncations++
		}
	}
	if truncations < h.expected.truncatedAudits {
		c.violated("%d audit logs were truncated, and %d report it", h.expected.truncatedAudits, truncations)
	}
	if len(frontLogs) < len(h.fronts) {
		c.violated("%d fronts, and audit logs of %d", len(h.fronts), len(frontLogs))
	}
	c.checkAuditedRequests(logs, frontLogs)
	collected, err := disk.OpenAuditLogs(h.collectionDir())
	if err != nil || h.expected.truncatedAudits > 0 && len(collected.Names()) == 0 {
		c.violated("audit logs of processes that ended were not collected (%v)", err)
	}
	if exported, err := disk.OpenAuditLogs(h.exportDir()); err != nil || len(exported.Names()) == 0 {
		c.violated("no audit log was exported (%v)", err)
	}
}

// checkAuditedRequests checks that the audit log of the front that answered has the request, for one in seven that succeeded.
func (c *checker) checkAuditedRequests(logs *disk.AuditLogs, frontLogs []*audit.FrontLog) {
	position := func(segment string, offset any) string { return fmt.Sprint(segment, "/", offset) }
	intervals := map[string]bool{} // by the position in the index that Find gives
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
		matches, _ := logs.Find(q.id) // what can't be read is reported by ReadLogs
		if !slices.ContainsFunc(matches, func(m disk.Match) bool {
			front, _, _ := audit.ParseLogName(m.Segment + audit.LogSuffix)
			return front == q.front && intervals[position(m.Segment, m.IndexOffset)]
		}) {
			if missing++; missing < 4 {
				c.violated("%s succeeded at %s, and its audit log does not have it", q.id, q.front)
			}
		}
	}
}

// restarted reports whether a front's process was ever replaced: what a killed one had not yet written to its audit log is lost.
func (c *checker) restarted(front string) bool {
	return slices.ContainsFunc(c.harness.fronts, func(f *Front) bool { return f.Name == front && len(f.uptimes) > 1 })
}
