package main

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/lab/processtest"
)

// Records of different program versions are compared with each other, so keys and units must not change.
func TestProcessRecordKeepsItsKeys(t *testing.T) {
	for name, x := range map[string]struct {
		result processtest.Result
		want   string
	}{
		"empty": {processtest.Result{}, `{"format": 1, "script": "s", "seed": 7, "held": true, "broke": null, "gaps": [], "txns": 0, "committed": 0, "declined": 0,
			"rolled_back": 0, "unanswered": 0, "p50_us": 0, "p99_us": 0, "list_calls": 0, "probes": 0, "watches": 0, "memory_kib": null, "cpu_us": 0}`},
		"full": {processtest.Result{
			Violations: []string{"v"},
			Gaps:       []processtest.Gap{{Lease: "list", For: 1500 * time.Microsecond, Reason: "lease expired"}},
			Requests: processtest.Requests{Sent: 15, Succeeded: 1, Rejected: 2, Failed: 3, Unanswered: 4,
				Latencies: []time.Duration{time.Millisecond, 2 * time.Millisecond}},
			Usage: processtest.Usage{EndpointCalls: 5, Probes: 6, Watches: 7, ResidentKiB: []int{8}, CPU: 9 * time.Microsecond},
		}, `{"format": 1, "script": "s", "seed": 7, "held": false, "broke": ["v"], "gaps": [{"duty": "list", "ms": 1, "why": "lease expired"}],
			"txns": 15, "committed": 1, "declined": 2, "rolled_back": 3, "unanswered": 4, "p50_us": 2000, "p99_us": 2000,
			"list_calls": 5, "probes": 6, "watches": 7, "memory_kib": [8], "cpu_us": 9}`},
	} {
		t.Run(name, func(t *testing.T) {
			line, err := json.Marshal(newProcessRecord(&processtest.Script{Name: "s"}, 7, &x.result))
			require.NoError(t, err)
			assert.JSONEq(t, x.want, string(line))
		})
	}
}
