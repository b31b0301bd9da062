package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes records as a table for people: a role and resource a line, a phase a column; times below.
func Print(w io.Writer, all []Record) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ROLE\tOVER\tRESOURCE\tSTART\tAT REST\tONE ENTRY\tWHOLE LIST\tCONFIGURATION\tNOTE")
	for _, role := range append(slices.Clone(roleOrder), roleFleet) {
		for _, resource := range resourcesOf(all, role) {
			if !strings.HasPrefix(resource, kindMessages) && !strings.HasPrefix(resource, kindBytes) { // these are in the JSON
				printRow(t, all, role, resource)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(t, "\nTIME, ms\tPHASE\tCHANGES\tTIMES\tP50\tP90\tP99\tMOST\tNOT SEEN\tNOTE")
	for _, r := range all {
		if q := r.Quantiles; q != nil {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%s\n", r.Resource, r.Phase, r.Changes, q.Count, q.P50, q.P90, q.P99, q.Max,
				r.Missing, r.Note)
		}
	}
	return t.Flush()
}

// resourcesOf names a role's resources in the order of the records.
func resourcesOf(all []Record, role string) (names []string) {
	for _, r := range all {
		if r.Role == role && r.Quantiles == nil && !slices.Contains(names, r.Resource) {
			names = append(names, r.Resource)
		}
	}
	return names
}

func printRow(w io.Writer, all []Record, role, resource string) {
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
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", role, over, resource, cells[PhaseStart], cells[PhaseIdle], cells[PhaseEntryChange], cells[PhaseSnapshot], cells[PhaseConfiguration],
		strings.Join(notes, "; "))
}
