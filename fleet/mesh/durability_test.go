package mesh

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// A front that joins is not told that it is a member before the voter has its membership on disk. While writes fail, no message to it names a
// state that is newer than the disk's.
func TestJoinIsAnsweredOnlyOnceItIsOnDisk(t *testing.T) {
	timing := fleet.Timing{LeaseDuration: 3 * time.Second} // a link timeout of 2 s, for a test that is held up
	disk := &failingDisk{}
	n, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, InitialVoters: []fleet.Voter{{Name: "a"}}, Timing: timing, Seed: 1, AcceptsLeases: true},
		&fleet.DiskState{OpenCount: 1})
	require.NoError(t, err)
	n.DeclareLease("list", 0)
	events := make(chan fleet.Event, 1000)
	m, err := New(Options{Listen: "127.0.0.1:0", Node: n, Timing: timing, Disk: disk, OnEvent: func(_ time.Duration, e fleet.Event) { events <- e }})
	require.NoError(t, err)
	m.Run()
	t.Cleanup(m.Close)
	awaitEvent[fleet.LeaseRenewed](t, events)
	disk.fail(syscall.ENOSPC)
	p, hello := dialAs(t, m, "b", "x")
	require.Equal(t, fleet.KindHello, hello.Kind)
	received := make(chan fleet.Message, 1000)
	go func() {
		defer close(received)
		for {
			var msg fleet.Message
			if p.Codec.Read(&msg) != nil {
				return
			}
			received <- msg
		}
	}()
	join := &fleet.Message{Kind: fleet.KindMembership, Members: []fleet.MembershipRecord{{Name: "b", Incarnation: 9, Seq: 1, Address: "there:1", AcceptsLeases: true}}}
	require.NoError(t, send(p.Codec, join))
	go func() {
		for send(p.Codec, &fleet.Message{Kind: fleet.KindPing}) == nil { // keeps the link
			time.Sleep(timing.HeartbeatInterval() / 4)
		}
	}()
	time.Sleep(time.Second)
	for len(received) > 0 {
		msg := <-received
		assert.LessOrEqual(t, msg.Index, hello.Index, "%v of a state that is not on disk", msg.Kind)
		assert.Empty(t, msg.Entries)
		assert.Nil(t, msg.Reply, "an answer to the membership record")
	}

	disk.fail(nil)
	for joined := ""; joined != "b"; {
		joined = awaitEvent[fleet.FrontJoined](t, events).Name
	}
	for msg := range received {
		if msg.Index > hello.Index || len(msg.Entries) > 0 {
			return
		}
	}
	assert.Fail(t, "no message with the new state")
}
