package proxysim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/rollout"
)

// TestEveryPairOfFaultsOverTwoPublishes walks faults of all kinds at each of three fronts and at moments all through two
// publishes, the second a must version: each alone, and pairs of them. In each world at most two adjacent versions are acted
// on, and in the end all fronts are on one, all new or all old, with one answer for each request. ROLL_WALK=all walks every pair.
func TestEveryPairOfFaultsOverTwoPublishes(t *testing.T) {
	type at struct {
		f    Fault
		host int
		when time.Duration
	}
	var all []at
	for _, f := range Faults {
		for host := range 3 {
			for _, when := range []time.Duration{0, 600, 1400, 2600, 4200, 7000, 9500, 12500} {
				all = append(all, at{f, host, when * time.Millisecond})
			}
		}
	}
	step := 23
	switch {
	case os.Getenv("ROLL_WALK") == "all":
		step = 1
	case raceOn || testing.Short():
		step = len(all)
	}
	play := func(x, y *at, within time.Duration) []string {
		w := New(Options{Seed: 7, Fronts: 3, Voters: 3, Groups: 2, PerGroup: 2, Servers: 4, Service: 2 * time.Millisecond, Rate: 4, Writes: 0.3,
			Span: time.Second, Fleet: true, Right: 3 * time.Second, Stop: true, Within: within, Deadline: time.Second, TargetLatency: 250 * time.Millisecond})
		w.StartAll()
		w.Run(4 * time.Second)
		w.Publish(w.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1500ms))"), Stages: []uint16{1, 1000}, ObservationTime: time.Second, MaxFenced: 400}, func(string) {})
		must := func() {
			s := w.State()
			for _, f := range w.Fronts {
				if f.host.Up() && !f.host.Stopped() {
					w.Publish(f, rollout.Action{Type: rollout.ActionPublish, Base: s.Base, Text: []byte("(rules (given-up 1))"), Stages: []uint16{500, 1000}, ObservationTime: time.Second, MaxFenced: 400, Mandatory: true}, func(string) {})
					return
				}
			}
		}
		w.After(8*time.Second, must)
		for _, z := range []*at{x, y} {
			if z != nil {
				w.After(z.when, func() {
					if h := w.Hosts[z.host]; h.Up() && !h.Stopped() {
						z.f.Do(w, h)
					}
				})
			}
		}
		w.Run(16 * time.Second)
		return w.Rest(2 * time.Minute)
	}
	say := func(x *at) string { return fmt.Sprintf("%s of front %d at %v", x.f.Name, x.host, x.when) }
	const parts, within = 6, 6 * time.Second
	for part := range parts {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < len(all); i += parts {
				if raceOn && i%31 > 0 {
					continue
				}
				require.Empty(t, play(&all[i], nil, 0), say(&all[i]))
				require.Empty(t, play(&all[i], nil, within), "with a time: %s", say(&all[i]))
				for j := i + 1 + i%step; j < len(all); j += step {
					require.Empty(t, play(&all[i], &all[j], 0), "%s, %s", say(&all[i]), say(&all[j]))
				}
				for j := i + 1 + i%step; j < len(all); j += 6 * step {
					require.Empty(t, play(&all[i], &all[j], within), "with a time: %s, %s", say(&all[i]), say(&all[j]))
				}
			}
		})
	}
}
