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

// A server in slow start fails under the sum of what all fronts send, which know nothing of each other: beyond its budget of N requests in
// the time that the settings name only 2 x root of N + 2 are put down to chance. N is here its share, by the progress of its slow start,
// of what each server bore before. It is the primary, so that every write is for it.
func TestSlowStartBudgetHoldsAcrossManyFronts(t *testing.T) {
	const (
		fronts   = 24
		coldFrom = 0.2
		multiple = 1.5
		cold     = 3 * time.Second
		fall     = time.Second
		step     = fall / 20
	)
	g := startGroup(t, 4)
	l := startEndpointList(t, g)
	addresses := startFleet(t, fronts, g, l.address(), setting{"Aim", 400 * time.Millisecond}, setting{"Cold", cold}, setting{"StartCapacity", coldFrom},
		setting{"FallMultiple", multiple}, setting{"Fall", fall})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	comes := func(address, name, statement string, every time.Duration) {
		c := dial(t, address)
		clients.Go(func() {
			tick := time.NewTicker(every)
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
	for n, address := range addresses { // some fronts get several times what others do
		comes(address, fmt.Sprint("r", n), "SELECT 'x' /* id=%id,c=browse,d=3000,cluster=0 */", time.Duration(30+4*n)*time.Millisecond)
		for w := range 2 {
			comes(address, fmt.Sprint("w", n, "-", w), "INSERT INTO bookings (id, house, diner) VALUES ('%id', '1', 'x') RETURNING id /* id=%id,c=book,k=%id,d=300,cluster=0 */",
				time.Duration(100+8*n)*time.Millisecond)
		}
	}
	time.Sleep(cold) // the load by which the fronts know the warm servers
	started := time.Now()
	l.setEndpoint(g.Members[0], "since_ms", started.UnixMilli())
	time.Sleep(cold)
	close(stop)
	clients.Wait()
	seen := make([][]fakeserver.Seen, len(g.Members))
	for i, m := range g.Members {
		seen[i] = m.Seen()
	}
	borne := 0.0
	for _, s := range seen {
		borne += countWithin(s, started.Add(-fall), started) / float64(len(seen))
	}
	worst, most := math.Inf(-1), 0.0
	for from := time.Duration(0); from+fall <= cold; from += step {
		a, b := started.Add(from), started.Add(from+fall)
		allowed := multiple * (coldFrom + (1-coldFrom)*float64(from)/float64(cold)) * borne
		n := countWithin(seen[0], a, b)
		most, worst = max(most, n), max(worst, n-(allowed+2*math.Sqrt(allowed)+2))
	}
	t.Logf("warm it had %.0f; cold at most %.0f in %v, furthest from its bound %.0f", countWithin(seen[0], started.Add(-fall), started), most, fall, worst)
	assert.Less(t, worst, 0.0, "it falls")
	assert.Greater(t, most, 2.0, "and it is not left out")
}
