package main

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/testsupport/fakeserver"
)

// Guards against fronts that together overload a server in slow start, since they don't communicate with each other. The server's budget is
// N requests in the time Fall of the settings, plus 2 x sqrt(N) + 2 for chance. Here N is FallMultiple times a share of the mean load of
// the servers before; the share grows from StartCapacity to 1 with the progress of the slow start. The server is the primary, so that it
// gets every write.
func TestSlowStartBudgetHoldsAcrossManyFronts(t *testing.T) {
	const (
		fronts        = 24
		startCapacity = 0.2
		fallMultiple  = 1.5
		cold          = 3 * time.Second // duration of the slow start
		fall          = time.Second
		step          = fall / 20
	)
	g := startGroup(t, 4)
	l := startEndpointList(t, g)
	addresses := startFleet(t, fronts, g, l.address(), setting{"Aim", 400 * time.Millisecond}, setting{"Cold", cold},
		setting{"StartCapacity", startCapacity}, setting{"FallMultiple", fallMultiple}, setting{"Fall", fall})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	startClient := func(address, name, statement string, interval time.Duration) {
		c := dial(t, address)
		clients.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				id := fmt.Sprintf("%s-%d", name, n)
				if _, err := c.Query(strings.ReplaceAll(statement, "%id", id)); err != nil {
					return
				}
			}
		})
	}
	for n, address := range addresses { // some fronts get several times the load of others
		startClient(address, fmt.Sprint("r", n), "SELECT 'x' /* id=%id,c=browse,d=3000,cluster=0 */", time.Duration(30+4*n)*time.Millisecond)
		for w := range 2 {
			startClient(address, fmt.Sprint("w", n, "-", w), "INSERT INTO bookings (id, house, diner) VALUES ('%id', '1', 'x') RETURNING id /* id=%id,c=book,k=%id,d=300,cluster=0 */",
				time.Duration(100+8*n)*time.Millisecond)
		}
	}
	time.Sleep(cold) // so that the fronts estimate the load of the warm servers
	started := time.Now()
	l.setEndpoint(g.Servers[0], "since_ms", started.UnixMilli())
	time.Sleep(cold)
	close(stop)
	clients.Wait()
	seen := make([][]fakeserver.Statement, len(g.Servers))
	for i, m := range g.Servers {
		seen[i] = m.Statements()
	}
	meanLoad := 0.0 // of a server within fall, before the slow start
	for _, s := range seen {
		meanLoad += countWithin(s, started.Add(-fall), started) / float64(len(seen))
	}
	maxExcess, peak := math.Inf(-1), 0.0
	for from := time.Duration(0); from+fall <= cold; from += step {
		a, b := started.Add(from), started.Add(from+fall)
		budget := fallMultiple * (startCapacity + (1-startCapacity)*float64(from)/float64(cold)) * meanLoad
		n := countWithin(seen[0], a, b)
		peak, maxExcess = max(peak, n), max(maxExcess, n-(budget+2*math.Sqrt(budget)+2))
	}
	t.Logf("%.0f requests before and at most %.0f during slow start in %v; largest excess over the budget %.0f",
		countWithin(seen[0], started.Add(-fall), started), peak, fall, maxExcess)
	assert.Less(t, maxExcess, 0.0, "the server is overloaded")
	assert.Greater(t, peak, 2.0, "the server gets no requests")
}
