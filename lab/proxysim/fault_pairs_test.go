package proxysim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/rollout"
)

// TestEveryPairOfFaultsOverTwoPublishes publishes two versions, the second of them mandatory, and injects faults of all kinds at each of
// three fronts and at various times: each fault alone, and pairs of faults. In each run fronts must act on at most two adjacent versions.
// In the end all fronts must be on the same version, new or old, and each request must have one response. By default only some of the
// pairs are run; ROLL_WALK=all runs all of them.
func TestEveryPairOfFaultsOverTwoPublishes(t *testing.T) {
	type faultAt struct {
		fault Fault
		host  int
		after time.Duration
	}
	var all []faultAt
	for _, f := range Faults {
		for host := range 3 {
			for _, when := range []time.Duration{0, 600, 1400, 2600, 4200, 7000, 9500, 12500} {
				all = append(all, faultAt{f, host, when * time.Millisecond})
			}
		}
	}
	stride := 23
	switch {
	case os.Getenv("ROLL_WALK") == "all":
		stride = 1
	case raceEnabled || testing.Short():
		stride = len(all)
	}
	run := func(first, second *faultAt, within time.Duration) []string {
		cluster := New(Options{
			Seed:          7,
			Fronts:        3,
			Voters:        3,
			Fleet:         true,
			LeaseDuration: time.Second,
			Servers:       ServerOptions{Groups: 2, PerGroup: 2, Concurrency: 4, ServiceTime: 2 * time.Millisecond},
			Load:          LoadOptions{Rate: 4, WriteFraction: 0.3, Deadline: time.Second, LatencyObjective: 250 * time.Millisecond},
			Rollout:       RolloutOptions{ConfigLease: 3 * time.Second, StopWhenIsolated: true, InForceWithin: within},
		})
		cluster.StartAll()
		cluster.Run(4 * time.Second)
		cluster.SubmitAction(cluster.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1500ms))"), Stages: []uint16{1, 1000}, ObservationTime: time.Second, MaxFenced: 400}, func(string) {})
		publishMandatory := func() {
			s := cluster.RolloutState()
			for _, f := range cluster.Fronts {
				if f.host.Up() && !f.host.Paused() {
					cluster.SubmitAction(f, rollout.Action{Type: rollout.ActionPublish, Base: s.Base, Text: []byte("(rules (given-up 1))"), Stages: []uint16{500, 1000}, ObservationTime: time.Second, MaxFenced: 400, Mandatory: true}, func(string) {})
					return
				}
			}
		}
		cluster.After(8*time.Second, publishMandatory)
		for _, f := range []*faultAt{first, second} {
			if f != nil {
				cluster.After(f.after, func() {
					if h := cluster.Hosts[f.host]; h.Up() && !h.Paused() {
						f.fault.Inject(cluster, h)
					}
				})
			}
		}
		cluster.Run(16 * time.Second)
		return cluster.AwaitRecovery(2 * time.Minute)
	}
	describe := func(x *faultAt) string { return fmt.Sprintf("%s at host %d after %v", x.fault.Name, x.host, x.after) }
	const parts, within = 6, 6 * time.Second
	for part := range parts {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < len(all); i += parts {
				if raceEnabled && i%31 > 0 {
					continue
				}
				require.Empty(t, run(&all[i], nil, 0), describe(&all[i]))
				require.Empty(t, run(&all[i], nil, within), "with a time limit: %s", describe(&all[i]))
				for j := i + 1 + i%stride; j < len(all); j += stride {
					require.Empty(t, run(&all[i], &all[j], 0), "%s, %s", describe(&all[i]), describe(&all[j]))
				}
				for j := i + 1 + i%stride; j < len(all); j += 6 * stride {
					require.Empty(t, run(&all[i], &all[j], within), "with a time limit: %s, %s", describe(&all[i]), describe(&all[j]))
				}
			}
		})
	}
}
