package capacity

import (
	"fmt"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// statementTime is what a fake database takes for a statement.
const statementTime = time.Millisecond

// databaseHost is a worker that holds fake databases, in groups of a primary and its replicas.
type databaseHost struct{ groups []*fakeserver.Group }

func (d *databaseHost) serve(q Request) (r Reply, err error) {
	switch q.Operation {
	case opStart:
		r.Addresses, err = d.start(q.Databases)
	case opCounters:
		r.Counters, err = ownCounters()
		for _, g := range d.groups {
			r.Counters.Statements += uint64(g.Probes.Load())
		}
	default:
		err = fmt.Errorf("databases don't do %q", q.Operation)
	}
	return r, err
}

func (d *databaseHost) start(n int) (addresses []string, err error) {
	data := fakeserver.Restaurants(1, 1, 1)
	for n > 0 {
		g, err := fakeserver.Start(data, min(n, groupSize), 1, statementTime, 0)
		if err != nil {
			return nil, err
		}
		d.groups = append(d.groups, g)
		for _, m := range g.Members {
			addresses = append(addresses, m.Address())
		}
		n -= len(g.Members)
	}
	return addresses, nil
}

// endpointList lists databases by their addresses, spread over zones.
func endpointList(addresses []string, zones int) (all []Endpoint) {
	for i, a := range addresses {
		role := "replica"
		if i%groupSize == 0 {
			role = "primary"
		}
		all = append(all, Endpoint{Name: fmt.Sprintf("db-%d-%d", i/groupSize, i%groupSize), Address: a, Zone: zoneName((i/groupSize + i) % zones), Type: "m",
			Group: i / groupSize, Status: "up", Weight: 1, Role: role})
	}
	return all
}
