package capacity

import (
	"fmt"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// databaseWork is what a fake database takes for a statement.
const databaseWork = time.Millisecond

// databases is a worker that holds fake databases, in groups of a primary and its replicas.
type databases struct{ groups []*fakeserver.Group }

func (d *databases) answer(q Request) (r Reply, err error) {
	switch q.Do {
	case doStart:
		r.Addresses, err = d.start(q.Databases)
	case doCounters:
		r.Counters, err = ownCounters()
		for _, g := range d.groups {
			r.Counters.Statements += uint64(g.Probes.Load())
		}
	default:
		err = fmt.Errorf("databases don't do %q", q.Do)
	}
	return r, err
}

func (d *databases) start(n int) (addresses []string, err error) {
	data := fakeserver.Restaurants(1, 1, 1)
	for n > 0 {
		g, err := fakeserver.Start(data, min(n, groupSize), 1, databaseWork, 0)
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

// endpoints lists databases by their addresses, spread over zones.
func endpoints(addresses []string, zones int) (all []Endpoint) {
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
