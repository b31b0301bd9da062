package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/testsupport/fakeserver"
)

// instanceTemplate is a format of the configuration of a front for a small booking service. Its request types are a read of any data
// (browse), a read of the session's own data (mine), a write with an idempotency key (book), a read with a staleness bound (slots) and a
// write that is not idempotent (pay).
const instanceTemplate = `{
 "name": "n0", "listen": "127.0.0.1:0", "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": %s,
 "settings": {
  "Zones": ["a"], "Locality": "a", "FleetSize": 1, "Ordinal": 0, "Discovery": "push", "Tick": 5000000,
  "Classes": [
   {"Name": "browse", "Aim": 2000000000, "Deadline": 8000000000, "Effect": "read_like", "Group": "all", "Worth": 1.0},
   {"Name": "mine", "Aim": 2000000000, "Deadline": 8000000000, "Effect": "read_like", "Group": "all", "Worth": 1.0},
   {"Name": "book", "Aim": 2000000000, "Deadline": 8000000000, "Effect": "idempotency_key", "Group": "cell", "Window": 2000000000, "Worth": 5.0},
   {"Name": "slots", "Aim": 2000000000, "Deadline": 8000000000, "Effect": "read_like", "Group": "all", "Worth": 1.0},
   {"Name": "pay", "Aim": 2000000000, "Deadline": 8000000000, "Effect": "non_idempotent", "Group": "all", "Worth": 5.0}],
  "FamilyInfo": {"ReadLevel": ["eventual", "causal", "mutate", "lag_bound", "mutate"], "StalenessBound": [0, 0, 0, 1000000000, 0], "RoleListed": "trailing",
   "Checks": "bounce", "HoldsFor": 50000000, "WriteMarks": "kept", "TellsPosition": true},
  "Rules": {"AnswerSlack": 20000000, "StopSendingWithin": 2000000000, "Cold": 1000000000, "Fall": 2000000000},
  "Limits": {"AttemptsCap": 10, "MayProbe": true, "Cancel": true, "DialTimeout": 2000000000, "ConnIdle": 30000000000,
   "RetryAfter": true, "MaxRetryAfter": 1000000000, "MayDuplicate": false, "Peers": false}
 }}`

// operatorFile is an operator's file with a classing form for the functions of the fake servers.
const operatorFile = `; what the fake servers' functions do
(classing
  (cache 2MiB)
  (functions (reads seat_name seats_of price_of geo.distance mood) (writes next_seat hold_table writing_view))
  (types
    (book (class write))
    (browse (class read))))
`

// setting is a value that replaces each value of its key in instanceTemplate. A time.Duration is written in nanoseconds. A key that the
// template lacks is added to its Rules.
type setting struct {
	key   string
	value any
}

// configure returns the text of instanceTemplate with an address of discovery, a cached endpoint list and other settings.
func configure(t testing.TB, discovery string, endpoints any, settings ...setting) []byte {
	t.Helper()
	template := instanceTemplate
	for _, s := range settings {
		value, err := json.Marshal(s.value)
		require.NoError(t, err)
		entry := fmt.Sprintf("%q: %s", s.key, value)
		present := regexp.MustCompile(fmt.Sprintf(`%q: ("[^"]*"|[0-9.]+)`, s.key))
		if present.MatchString(template) {
			template = present.ReplaceAllLiteralString(template, entry)
		} else {
			template = strings.Replace(template, `"Rules": {`, `"Rules": {`+entry+", ", 1)
		}
	}
	return fmt.Appendf(nil, template, discovery, endpoints)
}

// startFront starts a front in this process for a group of fake servers, and stops it when the test ends. text is the content of the
// operator's file, "" for no file.
func startFront(t testing.TB, g *fakeserver.Group, text string, settings ...setting) (address string) {
	i := startInstance(t, g, text, settings...)
	t.Cleanup(i.stopAndWait)
	return i.address
}

// instance is a front or gateway that runs in this process.
type instance struct {
	address   string
	link      *gatewayLink
	stop      chan os.Signal
	ended     chan error
	discovery *httptest.Server
	t         testing.TB
}

// stopAndWait shuts the instance down gracefully.
func (i *instance) stopAndWait() {
	i.stop <- syscall.SIGTERM
	require.NoError(i.t, <-i.ended)
	i.discovery.Close() // after the front has ended: Close waits for its watch
}

// startInstance is startFront for a test that stops the instance itself.
func startInstance(t testing.TB, g *fakeserver.Group, text string, settings ...setting) *instance {
	list := g.ServeEndpoints()
	dir := t.TempDir()
	config, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.sexp")
	require.NoError(t, os.WriteFile(config, configure(t, list.Listener.Addr().String(), g.EndpointSnapshot(), settings...), 0o600))
	loaded, err := deployment.Load(func(name string) string {
		if name == deployment.FileVariable {
			return config
		}
		return ""
	}, os.ReadFile)
	require.NoError(t, err)
	if text == "" {
		file = ""
	} else {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	operator, err := loadOperatorConfig(file, loaded)
	require.NoError(t, err)
	i := &instance{discovery: list, stop: make(chan os.Signal, 1), ended: make(chan error, 1), t: t}
	if err := i.serve(loaded, operator); err != nil {
		i.ended <- err // so that stopAndWait does not block
		require.NoError(t, err)
	}
	return i
}

// serve runs the service in a goroutine and returns when it accepts clients or has failed.
func (i *instance) serve(loaded *deployment.Instance, operator *operatorConfig) error {
	ready := make(chan struct{})
	go func() {
		i.ended <- runService(serviceOptions{instance: loaded, operator: operator, stop: i.stop, onReady: func(a net.Addr, l *gatewayLink) {
			i.address, i.link = a.String(), l
			close(ready)
		}})
	}()
	select {
	case <-ready:
		return nil
	case err := <-i.ended:
		return err
	}
}

// startGroup starts a group of fake servers, the first of which is the primary.
func startGroup(t testing.TB, servers int) *fakeserver.Group {
	g, err := fakeserver.Start(fakeserver.NewBookingData(20, 60, 500), servers, 4, 0, 0)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	return g
}

// dial connects a client, which is closed when the test ends.
func dial(t testing.TB, address string) *fakeserver.Client {
	c, err := fakeserver.Dial(address)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// comment returns the routing comment of a statement for group 0, with more keys.
func comment(id, more string) string { return fmt.Sprintf(" /* id=%s,d=8000,cluster=0%s */", id, more) }

// startFleet starts fronts in this process that don't communicate with each other, and returns their addresses.
func startFleet(t *testing.T, fronts int, g *fakeserver.Group, discovery string, settings ...setting) (addresses []string) {
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
		text := configure(t, discovery, g.EndpointSnapshot(), append(slices.Clone(settings), setting{"FleetSize", fronts}, setting{"Ordinal", n},
			setting{"seed", fmt.Sprintf("8c1f30d27a5be9%02x", n)})...)
		loaded, err := deployment.Load(func(name string) string { return map[string]string{deployment.FileVariable: "x"}[name] },
			func(string) ([]byte, error) { return text, nil })
		require.NoError(t, err)
		operator, err := loadOperatorConfig("", loaded)
		require.NoError(t, err)
		stop, ended, ready := make(chan os.Signal, 1), make(chan error, 1), make(chan string, 1)
		go func() {
			ended <- runService(serviceOptions{instance: loaded, operator: operator, stop: stop,
				onReady: func(a net.Addr, _ *gatewayLink) { ready <- a.String() }})
		}()
		stops, ends = append(stops, stop), append(ends, ended)
		addresses = append(addresses, <-ready)
	}
	return addresses
}

// countWithin counts the statements that a server received from one time until before another.
func countWithin(seen []fakeserver.Statement, from, to time.Time) (n float64) {
	for _, s := range seen {
		if !s.At.Before(from) && s.At.Before(to) {
			n++
		}
	}
	return n
}

// readStatement returns a read of any data for group 0, with a timeout in milliseconds.
func readStatement(id string, timeout int) string {
	return fmt.Sprintf("SELECT 'x' /* id=%s,c=browse,d=%d,cluster=0 */", id, timeout)
}
