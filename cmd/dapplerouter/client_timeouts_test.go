package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/testsupport/fakeserver"
)

// Guards against an idle front that rejects requests whose timeout is shorter than that of other requests of their type. The requests must
// be served also after a suspension, a reload and a restart.
func TestClientsWithDifferentTimeoutsAreServed(t *testing.T) {
	const (
		rounds      = 100
		usualShare  = 3 // requests with the usual timeout for each one with a short timeout
		usualBefore = 50
		total       = usualBefore + rounds*(usualShare+1)
	)
	disturbances := map[string]func(p *process, old, next *endpointList){
		"undisturbed": func(*process, *endpointList, *endpointList) {},
		"suspended": func(p *process, _, _ *endpointList) {
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
			time.Sleep(maxSuspension)
			require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
		},
		"reloaded": func(p *process, old, next *endpointList) { p.reload(old, next) },
		"restarted": func(p *process, _, _ *endpointList) {
			p.terminate()
			p.start()
		},
	}
	for name, disturb := range disturbances {
		for _, timeout := range []int{3000, 1000, 400} {
			t.Run(fmt.Sprint(name, " ", timeout), func(t *testing.T) {
				t.Parallel()
				g := startGroup(t, 3)
				old, next := startEndpointList(t, g), startEndpointList(t, g)
				p := startProcess(t, g, old.address(), 8*time.Second)
				usual, short := dial(t, p.address), dial(t, p.address)
				served := 0
				for i := range usualBefore {
					served += countServed(t, usual, fmt.Sprint("before", i), 6000)
				}
				for i := range rounds {
					if i == rounds/2 {
						disturb(p, old, next)
						usual, short = dial(t, p.address), dial(t, p.address)
					}
					for j := range usualShare {
						served += countServed(t, usual, fmt.Sprint("usual", i, "-", j), 6000)
					}
					served += countServed(t, short, fmt.Sprint("short", i), timeout)
				}
				assert.Equal(t, total, served, "log of the front:\n%s", p.logged())
			})
		}
	}
}

// countServed sends a request with a timeout in milliseconds. It returns 1 if the request succeeds, else 0.
func countServed(t *testing.T, c *fakeserver.Client, id string, timeout int) int {
	t.Helper()
	a, err := c.Query(readStatement(id, timeout))
	require.NoError(t, err, id)
	if a.Code != "" {
		return 0
	}
	return 1
}
