package main

import (
	"fmt"
	"net/url"

	"dapplerouter/fleet/agent"
)

// fleetLeasesCommand lists the fleet's leases with their holders and terms.
type fleetLeasesCommand struct{ adminClient }

// run exits with exitNegative if a lease has no holder.
func (c *fleetLeasesCommand) run() int {
	var s agent.Status
	if err := c.get("/v1/fleet", &s); err != nil {
		return reportCallError(err)
	}
	exit := exitOK
	for _, l := range s.Leases {
		if l.Leaseholder == "" {
			exit = exitNegative
		}
		if c.JSON {
			printJSON(l)
		}
	}
	if !c.JSON {
		printLeases(s.Leases)
	}
	return exit
}

// printLeases prints the leases as a table.
func printLeases(all []agent.LeaseStatus) {
	t := newTable("LEASE", "TERM", "HOLDER", "REASON")
	for _, l := range all {
		holder := l.Leaseholder
		if holder == "" {
			holder = "nobody"
		}
		t.row(fmt.Sprintf("%s\t%d\t%s\t%s", l.Lease, l.Term, holder, l.Reason))
	}
	t.flush()
}

// fleetTransferCommand transfers a lease to another front.
type fleetTransferCommand struct {
	Lease string `arg:"" help:"The lease, as fleet leases names it."`
	To    string `placeholder:"FRONT" help:"Who is to hold it; the fleet chooses where this is left out."`
	adminClient
}

// run requests the transfer from the front's admin API.
func (c *fleetTransferCommand) run() int {
	return c.postAndPrint("/v1/fleet/transfer", url.Values{"lease": {c.Lease}, "to": {c.To}}, c.Lease+" is transferred")
}
