package agent

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/mesh"
	"dapplerouter/fleet/rollout"
)

// The files in testdata were written by version 0.3.0 and must not be regenerated: operators' tools read these formats.

// assertMatchesFile compares text with a file of testdata.
func assertMatchesFile(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), name)
}

// zeroFields returns the names of the fields of v that are zero.
func zeroFields(v any) (names []string) {
	r := reflect.ValueOf(v)
	for i := range r.NumField() {
		if r.Field(i).IsZero() {
			names = append(names, r.Type().Field(i).Name)
		}
	}
	return names
}

func TestAdminAPIAnswersAreThoseOfVersion030(t *testing.T) {
	front := FrontStatus{"n1", "zone-a", "0.3.0", "00000000ff", "x:1", true, 2}
	lease := LeaseStatus{"list", 3, "n1", 40, "asked for", 1.25}
	participant := ParticipantStatus{"n1", "zone-a", 5, 0.5, "2026-01-02T03:04:05.000Z", 4, "unknown zone", true}
	waiting := WaitingStatus{"n2", 5, "two changes"}
	disk := DiskStatus{9, 44}
	kind := mesh.KindTotals{Kind: "heartbeat", Messages: 3, Bytes: 99}
	var out bytes.Buffer
	for _, full := range []any{
		Status{"n1", "f", "00000000ff", 44, true, "n2", 0.25, "its disk is full", []string{"n2"}, []fleet.Voter{{Name: "n1", Address: "x:1"}},
			[]FrontStatus{front}, []LeaseStatus{lease}, true, 17, &disk},
		front, lease, disk, participant, waiting, kind,
		RolloutStatus{"rolling", 4, 5, true, true, 1, []uint16{10, 1000}, "30s", "2m0s", "w", [2]string{"a", "b"}, []WaitingStatus{waiting}, []string{"n3"}, 5, 3.5,
			[]ParticipantStatus{participant}},
		RecoveryStatus{fleet.RecoveryRefused, "two disks are gone", "a majority is here", 1.5, []string{"n2", "n3"}, 44},
		Counters{3, 1, 2, 100, 200, 4, 5, true, 17, 44, 1.5, []mesh.KindTotals{kind}},
		storedVersion{5, "(rules)", 6},
	} {
		assert.Empty(t, zeroFields(full), "%T: a field that this test does not cover", full)
		for _, v := range []any{full, reflect.Zero(reflect.TypeOf(full)).Interface()} {
			b, err := json.Marshal(v)
			require.NoError(t, err)
			out.WriteString(reflect.TypeOf(v).Name() + " ")
			out.Write(append(b, '\n'))
		}
	}
	assertMatchesFile(t, "admin_api.txt", out.Bytes())
}

func TestHistoryIsWrittenAsByVersion030(t *testing.T) {
	m, err := mesh.New(mesh.Options{Listen: "127.0.0.1:0"})
	require.NoError(t, err)
	defer m.Close()
	path := filepath.Join(t.TempDir(), "history")
	h, err := openHistory(disk.SystemCalls(), path, "n1", 1<<39|1)
	require.NoError(t, err)
	since, until, at := time.Second, 3*time.Second, 2*time.Second
	for _, e := range []fleet.Event{
		fleet.LeaseAcquired{Lease: "list", Term: 3, Until: until, Since: since}, fleet.LeaseRenewed{Lease: "list", Term: 3, Until: until, Since: since},
		fleet.LeaseEnded{Lease: "list", Term: 3, Until: until, Broadcasts: 8, Reason: "released"},
		fleet.LeaseGranted{Lease: "list", Term: 3, Leaseholder: "n2", Index: 44, Reason: "asked for"},
		fleet.BroadcastReceived{Lease: "list", Term: 3, From: "n2", Number: 8, Data: []byte("x")}, fleet.BroadcastRejected{Lease: "list", Term: 2, From: "n2", Reason: "older"},
		fleet.FrontJoined{Name: "n3", Incarnation: 9, Index: 44}, fleet.FrontLeft{Name: "n3", Index: 45}, fleet.FleetReached{Term: 4}, fleet.FleetLost{Reason: "silent"},
		fleet.BecameLeader{Term: 4}, fleet.LostLeadership{}, fleet.VoterHalted{Reason: "disk"}, fleet.FrontDisplaced{Name: "n1", Reason: "another"},
		fleet.VotersRecovered{Lost: []string{"n2", "n3"}, Index: 44, Term: 4, Reason: "lost"}, fleet.VotersRecovered{Err: &fleet.VoterHaltError{Reason: "no"}, Reason: "lost"},
		fleet.RequestDone{ID: 6, Error: "no", LeaderTerm: 4}, fleet.LinkClosed{Peer: "n2", Reason: "crowded"}, fleet.StateUnreadable{Index: 44, Reason: "format 2"},
		fleet.DatagramReceived{From: "n2", Subsystem: "scout", Data: []byte("x")}, fleet.ConfigLeaseRenewed{Version: 5, Until: until, Since: since},
	} {
		h.record(m, at, e.Fields())
	}
	h.recordVersion(m, versionAdopted, 5)
	h.recordRollout(m, m.Now(), rollout.State{Base: 4, Next: 5, Phase: rollout.PhaseRolling, Reason: "w"}, 44)
	h.close()
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	zero := m.WallTime(0).UnixMicro()
	for _, d := range []time.Duration{at, since, until} { // relative to the start of the mesh, in microseconds
		got = bytes.ReplaceAll(got, strconv.AppendInt(nil, zero+d.Microseconds(), 10), strconv.AppendInt(nil, d.Microseconds(), 10))
	}
	got = regexp.MustCompile(`"at":[0-9]{12,}`).ReplaceAll(got, []byte(`"at":0`)) // time of the last two entries, which differs in each run
	assertMatchesFile(t, "history.jsonl", got)
}
