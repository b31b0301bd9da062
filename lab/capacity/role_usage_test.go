package capacity

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRoleChangeMakesRolePartial(t *testing.T) {
	before := roles{leader: "n1", endpoints: "n4", rollouts: "n5"}
	assert.Empty(t, roleChanges(before, before))
	after := roles{leader: "n2", endpoints: "n4", rollouts: "n6"}
	reasons := roleChanges(before, after)
	assert.Equal(t, "the leader was n1 and is n2", reasons[RoleLeader])
	assert.Contains(t, reasons, RoleVoter)
	assert.NotContains(t, reasons, RoleEndpointsLeaseholder)
	assert.Equal(t, "the lease was n5's and is n6's", reasons[RoleRolloutsLeaseholder])
	assert.Equal(t, noRole, after.roleOf(historyOrdinal), "the front that writes the history is counted in no role")
}

func TestProcessWithoutFirstSampleIsLeftOut(t *testing.T) {
	simulatedCounters := func(at int64, sent uint64) Counters {
		return Counters{SampledAt: at, Fronts: 4, MeshCounters: MeshCounters{Sent: sent}}
	}
	before := []sample{{process: "hollow-1", ordinal: -1, role: RoleSimulatedFollower, Counters: simulatedCounters(1e6, 10)}}
	after := []sample{
		{process: "hollow-1", ordinal: -1, role: RoleSimulatedFollower, Counters: simulatedCounters(3e6, 90)},
		{process: "hollow-2", ordinal: -1, role: RoleSimulatedFollower, Counters: simulatedCounters(3e6, 500)}}
	u := usageBetween(before, after, roles{})[RoleSimulatedFollower]
	assert.Equal(t, 4, u.fronts)
	assert.Equal(t, 80.0, u.mesh.sent)
	assert.Equal(t, 8.0, u.frontSeconds, "two seconds, four fronts")
}

func TestCountersStayFlatInJSON(t *testing.T) {
	c := Counters{SampledAt: 1, Fronts: 2, ProcessUsage: ProcessUsage{CPUSeconds: 3, ResidentBytes: 4, HeapBytes: 5},
		MeshCounters:    MeshCounters{Links: 6, Sent: 7, Received: 8, SentBytes: 9, ReceivedBytes: 10, Shed: 11, Dials: 12},
		UsingSharedList: 13, ServerCounters: ServerCounters{Watches: 14, Calls: 15, Connections: 16, Statements: 17},
		MinListIndex: 18, LogIndex: 19, Kinds: map[string]KindCounters{"entries": {Messages: 20, Bytes: 21}}}
	b, err := json.Marshal(c)
	require.NoError(t, err)
	assert.Equal(t, `{"at_us":1,"fronts":2,"cpu_s":3,"rss_bytes":4,"heap_bytes":5,"links":6,"sent":7,"received":8,"sent_bytes":9,`+
		`"received_bytes":10,"shed":11,"dials":12,"leaning":13,"watches":14,"calls":15,"connections":16,"statements":17,`+
		`"least_index":18,"log_index":19,"kinds":{"entries":{"messages":20,"bytes":21}}}`, string(b))
	var decoded Counters
	require.NoError(t, json.Unmarshal(b, &decoded))
	assert.Equal(t, c, decoded)
}
