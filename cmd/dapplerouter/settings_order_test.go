package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/router"
	"dapplerouter/routing"
)

// steppedFront runs a front's core in steps of a millisecond of simulated time. It simulates the core's clients, pools and watcher. A
// checksum of the statement determines how the simulated server answers.
type steppedFront struct {
	core    *front.Core
	now     time.Duration
	results map[time.Duration][]front.Event // by the time at which the core gets them
	actions []string                        // a line for each response, attempt and cancellation
}

func (s *steppedFront) SetAddress(int, string, time.Duration) {}
func (s *steppedFront) Remove(int)                            {}
func (s *steppedFront) Watch(bool)                            {}
func (s *steppedFront) Fetch()                                {}
func (s *steppedFront) Respond(f front.Response) {
	s.actions = append(s.actions, fmt.Sprintf("%v response %v %q %v", s.now, f.Status, f.Code, f.RetryAfter))
}

func (s *steppedFront) Send(server int, attempt *front.Attempt) {
	if !attempt.Begin(func() { s.actions = append(s.actions, fmt.Sprintf("%v cancel at %d", s.now, server)) }) {
		return
	}
	s.actions = append(s.actions, fmt.Sprintf("%v to %d %q", s.now, server, attempt.Message()))
	sum := crc32.ChecksumIEEE(append([]byte{byte(server)}, attempt.Message()...))
	e := &front.AttemptFinished{Attempt: attempt, Result: pgwire.QueryResult{Complete: true, Role: "replica", AppliedMillis: 1_000_000 + s.now.Milliseconds(), HasApplied: true}}
	if server == 0 {
		e.Result.Role = "primary"
	}
	switch sum % 16 {
	case 0:
		return // no result, ever
	case 1:
		e.Result = pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}
	case 2:
		e.Result = pgwire.QueryResult{Code: "XX000"}
	case 3:
		e.Err = &front.ConnectionError{Stage: front.StageRead, Err: os.ErrClosed}
	}
	at := s.now + time.Duration(5+sum%40)*time.Millisecond
	s.results[at] = append(s.results[at], e)
}

// playRequests sends the same requests through a core whose settings list request types and customers in a given order, and returns the
// core's actions.
func playRequests(t *testing.T, types, customers []int) []string {
	var file map[string]any
	require.NoError(t, json.Unmarshal(configure(t, "127.0.0.1:1", `{"index":1,"snapshot":true,"endpoints":[]}`), &file))
	settings := file["settings"].(map[string]any)
	reorder := func(list []any, order []int) (out []any) {
		for _, i := range order {
			out = append(out, list[i])
		}
		return out
	}
	classes := settings["Classes"].([]any)
	for i, c := range classes { // each type gets values of its own
		c := c.(map[string]any)
		c["Aim"], c["Deadline"], c["Worth"] = (2+i)*100_000_000, (7+2*i)*100_000_000, float64(1+i)/2
	}
	settings["Classes"] = reorder(classes, types)
	family := settings["FamilyInfo"].(map[string]any)
	for _, key := range []string{"ReadLevel", "StalenessBound"} {
		family[key] = reorder(family[key].([]any), types)
	}
	settings["Tenants"] = reorder([]any{map[string]any{"Name": "a", "QuotaPerS": 3.0}, map[string]any{"Name": "b", "QuotaPerS": 50.0},
		map[string]any{"Name": "c", "Share": 0.5}}, customers)
	data, err := json.Marshal(file)
	require.NoError(t, err)
	instance, err := deployment.Load(func(name string) string { return map[string]string{deployment.FileVariable: "x"}[name] }, func(string) ([]byte, error) { return data, nil })
	require.NoError(t, err)
	s := &steppedFront{results: map[time.Duration][]front.Event{}}
	s.core = front.NewCore(front.Options{StartedAt: time.UnixMilli(1_000_000), Seed: 5, Settings: instance.Settings,
		NewRouter: router.New, Pools: s, Endpoints: s})
	var servers []discovery.Endpoint
	for i := range 3 {
		servers = append(servers, discovery.Endpoint{Name: fmt.Sprint("s", i), Address: "x", Zone: "a", Weight: 1, Primary: i == 0})
	}
	s.core.Post(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Index: 1, Snapshot: true, Endpoints: servers}})
	r := rand.New(rand.NewPCG(3, 4))
	names, gone := []string{"browse", "mine", "book", "slots", "pay"}, 0
	for n := 0; s.now < 4*time.Second; s.now += time.Millisecond {
		for _, e := range s.results[s.now] {
			s.core.Post(e)
		}
		if r.IntN(3) == 0 {
			typ := r.IntN(len(names))
			sql := "SELECT data FROM facts WHERE code = '%d' /* id=%d,c=%s,t=%s,d=%d,cluster=0 */\x00"
			if names[typ] == "book" || names[typ] == "pay" {
				sql = "INSERT INTO facts (code, data) VALUES ('%d', '') /* id=%d,c=%s,t=%s,d=%d,cluster=0 */\x00"
			}
			st, err := pgwire.ParseStatement(fmt.Appendf(nil, sql, r.IntN(9), n, names[typ], string("abc"[r.IntN(3)]), 100+r.IntN(900)))
			require.NoError(t, err)
			a := front.NewRequest(s, st, s.now)
			s.core.Post(a)
			if n++; r.IntN(20) == 0 {
				gone++
				s.core.Post(a.MarkClientGone())
			}
		}
		s.core.Step(s.now)
	}
	require.NotZero(t, gone)
	return s.actions
}

// Request types and customers are identified by name: their order in the settings does not change the actions for the same requests.
func TestOrderOfTypesAndCustomersIsIrrelevant(t *testing.T) {
	want := playRequests(t, []int{0, 1, 2, 3, 4}, []int{0, 1, 2})
	require.Greater(t, len(want), 1000)
	r := rand.New(rand.NewPCG(1, 2))
	for range 12 {
		types, customers := r.Perm(5), r.Perm(3)
		if slices.IsSorted(types) && slices.IsSorted(customers) {
			continue
		}
		assert.Equal(t, want, playRequests(t, types, customers), "types %v, customers %v", types, customers)
	}
}
