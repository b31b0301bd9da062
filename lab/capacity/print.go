package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes records as two tables. The first has a line for each role and resource, and a column for each phase. The second has the
// measured times. The error is an error of w.
func Print(w io.Writer, all []Record) error {
	var resources strings.Builder
	fmt.Fprintln(&resources, "ROLE\tOVER\tRESOURCE\tSTART\tAT REST\tONE ENTRY\tWHOLE LIST\tCONFIGURATION\tNOTE")
	for _, role := range append(slices.Clone(roleOrder), roleFleet) {
		for _, resource := range resourcesOf(all, role) {
			if !strings.HasPrefix(resource, kindMessages) && !strings.HasPrefix(resource, kindBytes) { // only the JSON output has these
				printRow(&resources, all, role, resource)
			}
		}
	}
	if err := writeTable(w, resources.String()); err != nil {
		return err
	}
	var times strings.Builder
	fmt.Fprintln(&times, "\nTIME, ms\tPHASE\tCHANGES\tTIMES\tP50\tP90\tP99\tMOST\tNOT SEEN\tNOTE")
	for _, r := range all {
		if q := r.Quantiles; q != nil {
			fmt.Fprintf(&times, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%s\n", r.Resource, r.Phase, r.Changes, q.Count, q.P50, q.P90, q.P99, q.Max,
				r.Missing, r.Note)
		}
	}
	return writeTable(w, times.String())
}

// writeTable writes a text with its tab-separated cells aligned in columns.
func writeTable(w io.Writer, text string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(t, text); err != nil {
		return err
	}
	return t.Flush()
}

// resourcesOf returns the names of a role's resources in the order of the records. It leaves out times.
func resourcesOf(all []Record, role string) (names []string) {
	for _, r := range all {
		if r.Role == role && r.Quantiles == nil && !slices.Contains(names, r.Resource) {
			names = append(names, r.Resource)
		}
	}
	return names
}

// printRow writes the line of one resource of a role to the first table.
func printRow(b *strings.Builder, all []Record, role, resource string) {
	over, cells, notes := "", map[string]string{}, []string{}
	for _, r := range all {
		if r.Role != role || r.Resource != resource || r.Quantiles != nil {
			continue
		}
		cells[r.Phase] = fmt.Sprintf("%.4g %s", r.Value, r.Unit)
		over = fmt.Sprintf("%d fronts", r.Fronts)
		if r.Role == RoleDiscovery || r.Role == RoleDatabases {
			over = "process"
		}
		note := r.Note
		if r.Partial != "" {
			note = r.Phase + " partial: " + r.Partial
		}
		if note != "" && !slices.Contains(notes, note) {
			notes = append(notes, note)
		}
	}
	fmt.Fprintf(b, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", role, over, resource, cells[PhaseStart], cells[PhaseIdle], cells[PhaseEntryChange],
		cells[PhaseSnapshot], cells[PhaseConfiguration], strings.Join(notes, "; "))
}
