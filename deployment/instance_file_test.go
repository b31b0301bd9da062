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

// described lists the value of each setting under its key in the file.
func described(s *Instance) string {
	var b strings.Builder
	line := func(key string, values ...any) { fmt.Fprintf(&b, "%s\t%s", key, fmt.Sprintln(values...)) }
	line("name", s.Name)
	line("listen", s.Listen)
	line("discovery", s.Discovery)
	line("seed", s.Seed)
	line("limits.cores", s.Cores)
	line("limits.memory_mb", s.MemoryBytes)
	line("limits.sockets", s.MaxDescriptors)
	line("known", s.CachedList.Index, s.CachedList.Snapshot, len(s.CachedList.Endpoints))
	for i, e := range s.CachedList.Endpoints {
		line(fmt.Sprint("known.", i), strconv.Quote(e.Name), e.Address, strconv.Quote(e.Zone), e.ServerType, e.Group, int(e.State), e.Weight, e.Primary, e.StartedAtMillis)
	}
	for i, err := range s.SkippedEndpoints {
		line(fmt.Sprint("known passed over ", i), err)
	}
	x := s.Settings
	line("FamilyInfo.Zero", x.PositionOrigin)
	for i, ty := range x.RequestTypes {
		line(fmt.Sprint("Classes.", i), x.TypeNames[i], int64(ty.LatencyObjective), int64(ty.Deadline), ty.WorkMultiple, ty.PriorityWeight, ty.LateFraction,
			int(ty.Idempotency), int(ty.DedupScope), int64(ty.DedupWindow), int(ty.Consistency), int64(ty.MaxStaleness))
	}
	for i, c := range x.CustomerQuotas {
		line(fmt.Sprint("Tenants.", i), x.CustomerNames[i], c.RequestsPerSecond, c.Quota)
	}
	t := x.Topology
	line("Zones", fmt.Sprintf("%q", x.ZoneNames), t.ZoneCount)
	line("Locality", t.Zone)
	line("FleetSize", t.FleetSize)
	line("Ordinal", t.Ordinal)
	line("Discovery", t.PullEndpoints)
	line("Tick", int64(t.TickInterval))
	line("Clients.MarksRetry", t.RetriesMarked)
	line("FamilyInfo.RoleListed", int(t.RoleListing))
	r := x.Replication
	line("FamilyInfo.Checks", int(r.StalenessCheck))
	line("FamilyInfo.HoldsFor", int64(r.FreshnessWait))
	line("FamilyInfo.WriteMarks", r.ClientCarriesToken)
	line("FamilyInfo.TellsPosition", r.PositionInResponses)
	line("FamilyInfo.Synchronous", r.SemiSyncWrites)
	line("Stats.Source", r.LoadInResponses)
	g := x.Guardrails
	line("Rules", int64(g.AnswerSlack), int64(g.DrainGrace), int64(g.MaxPollInterval), g.InitialCapacity, g.OverloadMultiple, int64(g.SlowStartDuration), int64(g.OverloadWindow))
	a := x.Limits
	line("Limits", a.MaxAttempts, a.HealthChecks, a.Gossip, a.Cancellation, a.HedgedRequests, int64(a.MaxRetryAfter), int64(a.DialTimeout), int64(a.IdleConnTimeout))
	f := x.CostWeights
	line("Deductions", f.CrossZone, f.WastedWork, f.HealthCheck, f.LateFailure, f.Gossip)
	line("OverShareWorth", f.OverQuota)
	return b.String()
}

// leaves calls each with the path of every value that is no object, and with a function that sets or, for nil, removes it.
func leaves(path []string, v any, set func(any), each func(path []string, set func(any))) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			old := v[k]
			leaves(append(slices.Clip(path), k), old, func(now any) {
				if now == nil {
					delete(v, k)
				} else {
					v[k] = now
				}
			}, each)
			v[k] = old
		}
		if len(path) > 0 {
			each(path, set)
		}
	case []any:
		for i := range v {
			if _, object := v[i].(map[string]any); !object {
				break
			}
			old := v[i]
			leaves(append(slices.Clip(path), strconv.Itoa(i)), old, func(now any) { v[i] = now }, each)
			v[i] = old
		}
		each(path, set)
	default:
		each(path, set)
	}
}

// TestInstanceFile compares what is read from a file that has every key, and what is read, or which error comes, where one key is
// missing, is a word without meaning, or is a number below 0.
func TestInstanceFile(t *testing.T) {
	text, err := os.ReadFile("testdata/instance.json")
	require.NoError(t, err)
	s, err := load(string(text), nil)
	require.NoError(t, err)
	full := described(s)
	var b strings.Builder
	b.WriteString(full)
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree any
	require.NoError(t, d.Decode(&tree))
	leaves(nil, tree, nil, func(path []string, set func(any)) {
		for _, changed := range []struct {
			how string
			to  any
		}{{"removed", nil}, {"a word", "nonsense"}, {"-1", json.Number("-1")}} {
			set(changed.to)
			file, err := json.Marshal(tree)
			require.NoError(t, err)
			result := ""
			if s, err := load(string(file), nil); err != nil {
				text, _, _ := strings.Cut(err.Error(), " json: ") // what follows names Go's types
				result = " error: " + text
			} else {
				before := strings.Split(full, "\n")
				for _, line := range strings.Split(described(s), "\n") {
					if !slices.Contains(before, line) {
						result += " | " + line
					}
				}
			}
			fmt.Fprintf(&b, "%s %s:%s\n", strings.Join(path, "."), changed.how, result)
		}
	})
	want, err := os.ReadFile("testdata/instance.txt")
	require.NoError(t, err)
	assert.Equal(t, string(want), b.String())
}
