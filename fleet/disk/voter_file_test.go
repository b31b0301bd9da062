package disk

import (
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
)

// entry returns a log entry.
func entry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(data)}
}

func TestVoterFileSurvivesReopening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	f, s, err := OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	assert.Nil(t, s.Hard)
	assert.EqualValues(t, 1, s.OpenCount)
	first := &pb.Snapshot{Data: []byte("r"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	require.NoError(t, f.Save(&fleet.DiskWrite{Snapshot: first}))
	require.NoError(t, f.Save(&fleet.DiskWrite{Hard: &pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(9), Commit: proto.Uint64(2)},
		Entries: []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, Floors: map[string]fleet.Floor{"k2": {Term: 5}}}))
	require.NoError(t, f.Save(&fleet.DiskWrite{Entries: []*pb.Entry{entry(3, 3, "B")}}), "conflicting entries are replaced")
	require.NoError(t, f.Close())

	f, s, err = OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	assert.EqualValues(t, 2, s.OpenCount)
	assert.EqualValues(t, 9, s.Hard.GetVote())
	assert.EqualValues(t, 5, s.Floors["k2"].Term)
	require.Len(t, s.Entries, 2)
	assert.Equal(t, "B", string(s.Entries[1].Data))
	at := &pb.Snapshot{Data: []byte("s"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(2), Term: proto.Uint64(2)}}
	require.NoError(t, f.Save(&fleet.DiskWrite{Snapshot: at}))
	_, _, err = OpenVoterFile(path, "x", "k1")
	assert.ErrorContains(t, err, "in use by another process")
	assert.ErrorIs(t, err, ErrVoterFileInUse)
	require.NoError(t, f.Close())

	f, s, err = OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	require.Len(t, s.Entries, 1, "a snapshot replaces the entries that it covers")
	require.NoError(t, f.Close())
	_, _, err = OpenVoterFile(path, "x", "k2")
	assert.ErrorContains(t, err, "belongs to x/k1")
	var other OtherVoterError
	require.ErrorAs(t, err, &other)
	assert.Equal(t, OtherVoterError{Owner: "x/k1", Voter: "x/k2"}, other)
}

func TestTruncatedVoterFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	f, _, err := OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	require.NoError(t, f.Save(&fleet.DiskWrite{Hard: &pb.HardState{Term: proto.Uint64(3)}, Entries: []*pb.Entry{entry(1, 2, "a")}}))
	var used int64
	require.NoError(t, f.db.View(func(tx *bbolt.Tx) error { used = tx.Size(); return nil }))
	require.NoError(t, f.Close())
	complete, err := os.ReadFile(path)
	require.NoError(t, err)
	sizes := []int{100, 5000, len(complete) / 2}
	for size := 4096; size <= len(complete); size += 4096 {
		sizes = append(sizes, size)
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d of %d bytes", size, len(complete)), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fleet.db") // a separate file: one whose opening panicked stays locked
			require.NoError(t, os.WriteFile(path, complete[:size], 0o600))
			f, s, err := OpenVoterFile(path, "x", "k1")
			if int64(size) >= used { // the pages after this size are not in use yet
				require.NoError(t, err)
				assert.EqualValues(t, 3, s.Hard.GetTerm())
				assert.Len(t, s.Entries, 1)
				assert.NoError(t, f.Close())
				return
			}
			assert.ErrorContains(t, err, path)
			assert.ErrorContains(t, err, "add a voter with a new name")
			assert.NotErrorIs(t, err, ErrVoterFileInUse)
			if size >= 8192 { // both meta pages are complete: bbolt itself opens the file
				assert.ErrorIs(t, err, ErrVoterFileDamaged)
			}
		})
	}
	_, _, err = OpenVoterFile(filepath.Join(t.TempDir(), "no", "fleet.db"), "x", "k1")
	assert.ErrorContains(t, err, "create it")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestMissingEntryIsDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	f, _, err := OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	require.NoError(t, f.Save(&fleet.DiskWrite{Entries: []*pb.Entry{entry(2, 2, "a")}}))
	require.NoError(t, f.Close())
	_, _, err = OpenVoterFile(path, "x", "k1")
	assert.ErrorIs(t, err, ErrVoterFileDamaged)
	assert.ErrorContains(t, err, "entry 1 is missing")
}
