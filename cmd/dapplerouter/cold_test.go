package main

import (
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/testsupport/fakeserver"
)

// startFleet starts so many fronts that know nothing of each other in this process, and gives their addresses; changes are
// pairs of what each is told otherwise.
func startFleet(t *testing.T, fronts int, g *fakeserver.Group, discovery string, changes ...string) (addresses []string) {
	var stops []chan<- os.Signal
	var ends []<-chan error
	t.Cleanup(func() {
		for _, stop := range stops {
			stop <- syscall.SIGTERM
		}
		for _, ended := range ends {
			require.NoError(t, <-ended)
		}
	})
	for n := range fronts {
		changes := append(changes, `"FleetSize": 1`, fmt.Sprintf(`"FleetSize": %d`, fronts), `"Ordinal": 0`, fmt.Sprintf(`"Ordinal": %d`, n),
			"8c1f30d27a5be964", fmt.Sprintf("8c1f30d27a5be9%02x", n))
		text := fmt.Appendf(nil, strings.NewReplacer(changes...).Replace(told), discovery, g.Listed())
		start, err := deployment.Load(func(name string) string { return map[string]string{deployment.FileVariable: "x"}[name] },
			func(string) ([]byte, error) { return text, nil })
		require.NoError(t, err)
		operator, err := loadOperatorConfig("", start)
		require.NoError(t, err)
		stop, ended, ready := make(chan os.Signal, 1), make(chan error, 1), make(chan string, 1)
		go func() {
			ended <- runService(serviceOptions{instance: start, operator: operator, stop: stop,
				onReady: func(a net.Addr, _ *gatewayLink) { ready <- a.String() }})
		}()
		stops, ends = append(stops, stop), append(ends, ended)
		addresses = append(addresses, <-ready)
	}
	return addresses
}

// sawWithin counts the statements that a member saw in a span.
func sawWithin(seen []fakeserver.Seen, from, to time.Time) (n float64) {
	for _, s := range seen {
		if !s.At.Before(from) && s.At.Before(to) {
			n++
		}
	}
	return n
}

// A cold server falls under the sum of what all fronts send, which know nothing of each other: beyond its budget of N requests in the
// time that the settings name only 2 x root of N + 2 are put down to chance. N is here what it may bear by its warmth of what each
// bore before. The cold one is the primary, so that each write that comes is for it and nobody else.
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
	l := startList(t, g)
	addresses := startFleet(t, fronts, g, l.address(), `"Aim": 2000000000`, `"Aim": 400000000`, `"Cold": 1000000000`,
		fmt.Sprintf(`"Cold": %d, "StartCapacity": %v, "FallMultiple": %v`, cold, coldFrom, multiple), `"Fall": 2000000000`, fmt.Sprintf(`"Fall": %d`, fall))
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
	time.Sleep(cold) // the load that the fronts know the warm ones by
	started := time.Now()
	l.entry(g.Members[0], "since_ms", started.UnixMilli())
	time.Sleep(cold)
	close(stop)
	clients.Wait()
	seen := make([][]fakeserver.Seen, len(g.Members))
	for i, m := range g.Members {
		seen[i] = m.Seen()
	}
	borne := 0.0
	for _, s := range seen {
		borne += sawWithin(s, started.Add(-fall), started) / float64(len(seen))
	}
	worst, most := math.Inf(-1), 0.0
	for from := time.Duration(0); from+fall <= cold; from += step {
		a, b := started.Add(from), started.Add(from+fall)
		allowed := multiple * (coldFrom + (1-coldFrom)*float64(from)/float64(cold)) * borne
		n := sawWithin(seen[0], a, b)
		most, worst = max(most, n), max(worst, n-(allowed+2*math.Sqrt(allowed)+2))
	}
	t.Logf("warm it had %.0f; cold at most %.0f in %v, furthest from its bound %.0f", sawWithin(seen[0], started.Add(-fall), started), most, fall, worst)
	assert.Less(t, worst, 0.0, "it falls")
	assert.Greater(t, most, 2.0, "and it is not left out")
}
