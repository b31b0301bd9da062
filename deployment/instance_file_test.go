package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// describeInstance lists the value of each setting under its key in the file, one per line.
func describeInstance(instance *Instance) string {
	var out strings.Builder
	line := func(key string, values ...any) { fmt.Fprintf(&out, "%s\t%s", key, fmt.Sprintln(values...)) }
	line("name", instance.Name)
	line("listen", instance.Listen)
	line("discovery", instance.Discovery)
	line("seed", instance.Seed)
	line("limits.cores", instance.Cores)
	line("limits.memory_mb", instance.MemoryBytes)
	line("limits.sockets", instance.MaxDescriptors)
	line("known", instance.CachedList.Index, instance.CachedList.Snapshot, len(instance.CachedList.Endpoints))
	for i, e := range instance.CachedList.Endpoints {
		line(fmt.Sprint("known.", i), strconv.Quote(e.Name), e.Address, strconv.Quote(e.Zone),
			e.ServerType, e.Group, int(e.State), e.Weight, e.Primary, e.StartedAtMillis)
	}
	for i, err := range instance.SkippedEndpoints {
		line(fmt.Sprint("known passed over ", i), err)
	}
	settings := instance.Settings
	line("FamilyInfo.Zero", settings.PositionOrigin)
	for i, requestType := range settings.RequestTypes {
		line(fmt.Sprint("Classes.", i), settings.TypeNames[i], int64(requestType.LatencyObjective), int64(requestType.Deadline),
			requestType.WorkMultiple, requestType.PriorityWeight, requestType.LateFraction, int(requestType.Idempotency),
			int(requestType.DedupScope), int64(requestType.DedupWindow), int(requestType.Consistency), int64(requestType.MaxStaleness))
	}
	for i, c := range settings.CustomerQuotas {
		line(fmt.Sprint("Tenants.", i), settings.CustomerNames[i], c.RequestsPerSecond, c.Quota)
	}
	topology := settings.Topology
	line("Zones", fmt.Sprintf("%q", settings.ZoneNames), topology.ZoneCount)
	line("Locality", topology.Zone)
	line("FleetSize", topology.FleetSize)
	line("Ordinal", topology.Ordinal)
	line("Discovery", topology.PullEndpoints)
	line("Tick", int64(topology.TickInterval))
	line("Clients.MarksRetry", topology.RetriesMarked)
	line("FamilyInfo.RoleListed", int(topology.RoleListing))
	replication := settings.Replication
	line("FamilyInfo.Checks", int(replication.StalenessCheck))
	line("FamilyInfo.HoldsFor", int64(replication.FreshnessWait))
	line("FamilyInfo.WriteMarks", replication.ClientCarriesToken)
	line("FamilyInfo.TellsPosition", replication.PositionInResponses)
	line("FamilyInfo.Synchronous", replication.SemiSyncWrites)
	line("Stats.Source", replication.LoadInResponses)
	rules := settings.DeploymentRules
	line("Rules", int64(rules.DeadlineGrace), int64(rules.DrainGrace), int64(rules.MaxPollInterval),
		rules.InitialCapacity, rules.OverloadMultiple, int64(rules.SlowStartDuration), int64(rules.OverloadWindow), rules.OnlyDrainingBinds)
	limits := settings.Limits
	line("Limits", limits.MaxAttempts, limits.HealthChecks, limits.Gossip, limits.Cancellation, limits.HedgedRequests,
		int64(limits.MaxRetryAfter), int64(limits.DialTimeout), int64(limits.IdleConnTimeout))
	weights := settings.CostWeights
	line("Deductions", weights.CrossZone, weights.WastedWork, weights.HealthCheck, weights.LateFailure, weights.Gossip)
	line("OverShareWorth", weights.OverQuota)
	return out.String()
}

// walkValues calls visit for each value in the JSON tree v, at its path: scalars, objects and lists, except the root and the
// items of lists of scalars. The set function replaces the value, or removes it if its argument is nil; walkValues restores the
// value afterwards.
func walkValues(path []string, v any, set func(any), visit func(path []string, set func(any))) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			old := v[k]
			walkValues(append(slices.Clip(path), k), old, func(replacement any) {
				if replacement == nil {
					delete(v, k)
				} else {
					v[k] = replacement
				}
			}, visit)
			v[k] = old
		}
		if len(path) > 0 {
			visit(path, set)
		}
	case []any:
		for i := range v {
			if _, object := v[i].(map[string]any); !object {
				break
			}
			old := v[i]
			walkValues(append(slices.Clip(path), strconv.Itoa(i)), old, func(replacement any) { v[i] = replacement }, visit)
			v[i] = old
		}
		visit(path, set)
	default:
		visit(path, set)
	}
}

// TestInstanceFile loads a file that has every key. It then loads the file with each value in turn removed, replaced by an
// unknown word, or replaced by -1, and compares the changed settings or the error with the recorded ones.
func TestInstanceFile(t *testing.T) {
	text, err := os.ReadFile("testdata/instance.json")
	require.NoError(t, err)
	instance, err := load(string(text), nil)
	require.NoError(t, err)
	full := describeInstance(instance)
	var out strings.Builder
	out.WriteString(full)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	require.NoError(t, decoder.Decode(&tree))
	walkValues(nil, tree, nil, func(path []string, set func(any)) {
		for _, change := range []struct {
			name  string
			value any
		}{{"removed", nil}, {"a word", "nonsense"}, {"-1", json.Number("-1")}} {
			set(change.value)
			file, err := json.Marshal(tree)
			require.NoError(t, err)
			result := ""
			if instance, err := load(string(file), nil); err != nil {
				text, _, _ := strings.Cut(err.Error(), " json: ") // the rest of the text depends on Go types
				result = " error: " + text
			} else {
				before := strings.Split(full, "\n")
				for _, line := range strings.Split(describeInstance(instance), "\n") {
					if !slices.Contains(before, line) {
						result += " | " + line
					}
				}
			}
			fmt.Fprintf(&out, "%s %s:%s\n", strings.Join(path, "."), change.name, result)
		}
	})
	want, err := os.ReadFile("testdata/instance.txt")
	require.NoError(t, err)
	assert.Equal(t, string(want), out.String())
}
