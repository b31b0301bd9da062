package disk

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/front"
)

// The files in testdata were written by version 0.3.0 and must not be regenerated: processes of two versions read each other's files.

// assertMatchesFile compares bytes with a file of testdata.
func assertMatchesFile(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), name)
}

// copyTestdata copies a file of testdata to a temporary directory, since opening the file writes to it.
func copyTestdata(t *testing.T, name string) (path string) {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	path = filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, b, 0o600))
	return path
}

// voterWrites returns the disk writes that produced testdata/voter.db, the file of voter k1 of fleet x. Together they contain every kind
// of data.
func voterWrites() []*fleet.DiskWrite {
	return []*fleet.DiskWrite{
		{Snapshot: &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(300), Term: proto.Uint64(4),
			ConfState: &pb.ConfState{Voters: []uint64{11, 12, 13}}}}},
		{Hard: &pb.HardState{Term: proto.Uint64(5), Vote: proto.Uint64(11), Commit: proto.Uint64(301)},
			Entries: []*pb.Entry{entry(301, 4, "first"), entry(302, 5, "second"), {Index: proto.Uint64(303), Term: proto.Uint64(5), Type: pb.EntryConfChangeV2.Enum(), Data: []byte{0}}},
			Floors:  map[string]fleet.Floor{"k2": {Term: 5, Vote: 12, Commit: 300, OpenCount: 3}}},
	}
}

func TestVoterFileOfVersion030IsRead(t *testing.T) {
	f, s, err := OpenVoterFile(copyTestdata(t, "voter.db"), "x", "k1")
	require.NoError(t, err)
	defer f.Close()
	writes := voterWrites()
	assert.EqualValues(t, 2, s.OpenCount)
	assert.True(t, proto.Equal(writes[0].Snapshot, s.Snapshot), s.Snapshot)
	assert.True(t, proto.Equal(writes[1].Hard, s.Hard), s.Hard)
	assert.Equal(t, writes[1].Floors, s.Floors)
	require.Len(t, s.Entries, 3)
	for i, e := range writes[1].Entries {
		assert.True(t, proto.Equal(e, s.Entries[i]), s.Entries[i])
	}
}

func TestVoterFileIsWrittenAsByVersion030(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter.db")
	f, _, err := OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	for _, w := range voterWrites() {
		require.NoError(t, f.Save(w))
	}
	require.NoError(t, f.Close())
	got, want := dumpVoterFile(t, path), dumpVoterFile(t, copyTestdata(t, "voter.db"))
	assert.Equal(t, want, got)
	assertMatchesFile(t, "voter.txt", []byte(got))
}

// dumpVoterFile returns the content of a voter file as text: one line for each key of each bucket.
func dumpVoterFile(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	require.NoError(t, err)
	defer db.Close()
	var out bytes.Buffer
	require.NoError(t, db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&out, "%s %q %x\n", bucket, k, v)
				return err
			})
		})
	}))
	return out.String()
}

func TestAuditSegmentIsWrittenAsByVersion030(t *testing.T) {
	dir := t.TempDir()
	s, err := OpenSegments(dir, "n1", 1<<20, 1<<24)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.Index = "n1", 7, 12 }
	s.CountLost(2, "no room")
	ids := &audit.Interval{Number: 1, IDs: []uint64{audit.HashID([]byte("order-1")), audit.HashID([]byte("order-2"))}, Outcomes: make([][front.StatusCount]uint32, 1)}
	index, hash := audit.EncodeIndex(ids)
	for _, l := range []*audit.Line{
		{Event: audit.EventProcessStarted, Program: "0.3.0", RequestTypes: []string{"order", "news"}, MaxClockError: 50_000, Version: 3, RulesHash: "abc"},
		{Event: audit.EventLeaseAcquired, Lease: "list", Term: 4},
		{Event: audit.EventVersionAdopted, Version: 4, RulesHash: "def"},
		{Event: audit.EventInterval, Interval: 1, Start: 1_000_000, End: 2_000_000, ConfigLeaseExpiry: 3_000_000, Standby: true, Version: 4, EndpointListVersions: []int64{10, 11}, Requests: 2,
			Outcomes: [][]uint32{{1, 0, 1, 0, 0}, {0, 0, 0, 0, 0}}, IndexHash: hash},
		{Event: audit.EventLeaseEnded, Lease: "list", Term: 4, LeaseActions: 17, Reason: "released"},
		{Event: audit.EventVersionRejected, Version: 5, Reason: "unknown zone"},
		{Event: audit.EventConfigLeaseAcquired}, {Event: audit.EventConfigLeaseExpired}, {Event: audit.EventRolloutChanged, Version: 5, Reason: "rolling of 4 to 5: w"}, {Event: audit.EventProcessStopped},
	} {
		l.Front, l.Incarnation, l.Index, l.At = "n1", 7, 12, 1_700_000_000_000_000
		var b []byte
		if l.Event == audit.EventInterval {
			b = index
		}
		require.NoError(t, s.Write(l, b))
	}
	require.NoError(t, s.Close())
	for _, end := range []string{audit.LogSuffix, audit.IndexSuffix} {
		got, err := os.ReadFile(filepath.Join(dir, "n1.00000001"+end))
		require.NoError(t, err)
		assertMatchesFile(t, "n1.00000001"+end, got)
	}
}

func TestAuditSegmentOfVersion030IsRead(t *testing.T) {
	l, err := OpenAuditLogs("testdata")
	require.NoError(t, err)
	assert.Equal(t, []string{"n1.00000001"}, l.Names())
	all, _ := audit.ReadLogs(l)
	require.Len(t, all, 1)
	assert.Len(t, all[0].Lines, 11)
	hits, unread := l.Find("order-2")
	assert.Empty(t, unread)
	assert.Equal(t, []Match{{Segment: "n1.00000001", Interval: 1}}, hits)
}
