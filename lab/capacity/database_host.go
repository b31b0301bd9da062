package capacity

import (
	"fmt"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// statementTime is the execution time of a statement at a fake database.
const statementTime = time.Millisecond

// databaseHost is a worker that hosts fake databases. They form groups of a primary and its replicas.
type databaseHost struct{ groups []*fakeserver.Group }

func (d *databaseHost) serve(q Request) (r Reply, err error) {
	switch q.Operation {
	case opStart:
		r.Addresses, err = d.start(q.Databases)
	case opCounters:
		r.Counters, err = ownCounters()
		for _, g := range d.groups {
			r.Counters.Statements += uint64(g.HealthChecks.Load())
		}
	default:
		err = fmt.Errorf("databases: %w: %q", ErrUnknownOperation, q.Operation)
	}
	return r, err
}

// start starts n databases and returns their addresses, group by group.
func (d *databaseHost) start(n int) (addresses []string, err error) {
	data := fakeserver.NewBookingData(1, 1, 1)
	for n > 0 {
		g, err := fakeserver.Start(data, min(n, groupSize), 1, statementTime, 0)
		if err != nil {
			return nil, err
		}
		d.groups = append(d.groups, g)
		for _, m := range g.Servers {
			addresses = append(addresses, m.Address())
		}
		n -= len(g.Servers)
	}
	return addresses, nil
}

// endpointList returns an endpoint list of the databases with the given addresses. It spreads them over the zones.
func endpointList(addresses []string, zones int) (all []Endpoint) {
	for i, a := range addresses {
		group := i / groupSize
		role := "replica"
		if i%groupSize == 0 {
			role = "primary"
		}
		all = append(all, Endpoint{Name: fmt.Sprintf("db-%d-%d", group, i%groupSize), Address: a, Zone: zoneName((group + i) % zones), Type: "m",
			Group: group, Status: "up", Weight: 1, Role: role})
	}
	return all
}
