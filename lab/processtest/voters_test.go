package processtest

import (
	"testing"

	"github.com/stretchr/testify/assert"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
)

// lacksState must accept a copy that lacks no state, and report every copy that lacks some.
func TestCopyOfVoterFileLacksState(t *testing.T) {
	present := func() *fleet.DiskState {
		return &fleet.DiskState{OpenCount: 2, Hard: &pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(7), Commit: proto.Uint64(5)},
			Entries: []*pb.Entry{{Index: proto.Uint64(5)}, {Index: proto.Uint64(6)}}}
	}
	same := present()
	same.Floors = map[string]fleet.Floor{"n1": {Term: 3}}
	assert.False(t, lacksState(same, present()))
	for name, change := range map[string]func(s *fleet.DiskState){
		"an opening":  func(s *fleet.DiskState) { s.OpenCount-- },
		"a term":      func(s *fleet.DiskState) { s.Hard.Term = proto.Uint64(2) },
		"a vote":      func(s *fleet.DiskState) { s.Hard.Vote = nil },
		"a commit":    func(s *fleet.DiskState) { s.Hard.Commit = proto.Uint64(4) },
		"an entry":    func(s *fleet.DiskState) { s.Entries = s.Entries[:1] },
		"all entries": func(s *fleet.DiskState) { s.Entries = nil },
		"its state":   func(s *fleet.DiskState) { s.Hard = nil },
	} {
		restored := present()
		change(restored)
		assert.True(t, lacksState(restored, present()), name)
	}
}
