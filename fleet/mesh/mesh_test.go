package mesh

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

type noDisk struct{}

func (noDisk) Save(*fleet.DiskWrite) error { return nil }

var pace = fleet.Timing{LeaseDuration: 600 * time.Millisecond}

// one is a front that keeps the record alone.
func one(t *testing.T, slots int) (*Mesh, chan fleet.Event) { return oneOn(t, noDisk{}, slots) }

// oneOn is one on a disk.
func oneOn(t *testing.T, disk Disk, slots int) (*Mesh, chan fleet.Event) {
	told := make(chan fleet.Event, 1000)
	n, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, InitialVoters: []fleet.Voter{{Name: "a"}}, Timing: pace, Seed: 1, AcceptsLeases: true, MaxFollowers: slots},
		&fleet.DiskState{OpenCount: 1})
	require.NoError(t, err)
	n.DeclareLease("list", 0)
	m, err := New(Options{Listen: "127.0.0.1:0", Node: n, Timing: pace, Disk: disk, OnEvent: func(_ time.Duration, e fleet.Event) { told <- e }})
	require.NoError(t, err)
	m.Run()
	t.Cleanup(m.Close)
	return m, told
}

func until[E fleet.Event](t *testing.T, told <-chan fleet.Event) E {
	end := time.After(20 * time.Second) // whatever else comes
	for {
		select {
		case e := <-told:
			if e, ok := e.(E); ok {
				return e
			}
		case <-end:
			var never E
			t.Fatalf("not told among others: %T", never)
		case <-time.After(10 * time.Second):
			var never E
			t.Fatalf("never told: %T", never)
		}
	}
}

type peer struct {
	net.Conn
	*framing.Codec[fleet.Message]
}

// greeted dials a mesh and says who it is.
func greeted(t *testing.T, m *Mesh, name, id string) (p peer, first fleet.Message) {
	c, err := net.Dial("tcp", m.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	p = peer{c, framing.NewCodec[fleet.Message](protocol, c)}
	require.NoError(t, p.Greet())
	require.NoError(t, p.Append(&fleet.Message{Kind: fleet.KindHello, From: name, Hello: &fleet.Handshake{Fleet: id, Name: name, Incarnation: 9, Address: "there:1", Dialled: true}}))
	require.NoError(t, p.Flush())
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	require.NoError(t, p.Codec.Read(&first))
	return p, first
}

func TestAFrontThatKeepsAloneHoldsItsDuty(t *testing.T) {
	m, told := one(t, 0)
	e := until[fleet.LeaseAcquired](t, told)
	assert.Equal(t, "list", e.Lease)
	until[fleet.LeaseRenewed](t, told)
	assert.True(t, m.Broadcast("list", []byte("x")))
	assert.EqualValues(t, 1, until[fleet.BroadcastReceived](t, told).Term)
	assert.False(t, m.Broadcast("scout/1", nil), "what it does not hold")
}

func TestWhoDoesNotBelongIsToldWhy(t *testing.T) {
	m, told := one(t, 1)
	until[fleet.LeaseAcquired](t, told)
	_, h := greeted(t, m, "b", "y")
	assert.Equal(t, fleet.KindReject, h.Kind)
	assert.Contains(t, h.Reason, "another fleet")
	_, h = greeted(t, m, "a", "x")
	assert.Contains(t, h.Reason, "own name")
	_, h = greeted(t, m, "b", "x")
	assert.Equal(t, fleet.KindHello, h.Kind)
	_, h = greeted(t, m, "c", "x")
	assert.Contains(t, h.Reason, "as many followers")
	require.Len(t, h.Members, 1, "and who may have room")
	assert.Equal(t, "b", h.Members[0].Name)
}

func TestAPeerThatSendsNonsenseHugeLengthsOrNothingLosesItsLinkOnly(t *testing.T) {
	m, told := one(t, 0)
	until[fleet.LeaseAcquired](t, told)
	for name, send := range map[string]func(p peer){
		"nothing":  func(peer) {},
		"huge":     func(p peer) { p.Write(binary.BigEndian.AppendUint32(nil, 1<<31)); p.Write(make([]byte, 8)) },
		"nonsense": func(p peer) { p.Write([]byte("\x00\x00\x00\x04\x00\x00\x00\x00abcd")) },
		"senseless": func(p peer) {
			p.Append(&fleet.Message{Kind: fleet.KindRequest})
			p.Flush()
		},
	} {
		p, h := greeted(t, m, "b", "x")
		require.Equal(t, fleet.KindHello, h.Kind, name)
		send(p)
		_, err := io.Copy(io.Discard, p.Conn) // until it is let go
		assert.NoError(t, err, name)
		require.Eventually(t, func() bool { return m.Totals().Links == 0 }, 10*time.Second, time.Millisecond, name)
	}
	assert.True(t, m.Broadcast("list", []byte("x")), "it goes on as before")
}

// failingDisk fails with an error as long as it is told to.
type failingDisk struct{ why atomic.Pointer[error] }

func (d *failingDisk) Save(*fleet.DiskWrite) error {
	if why := d.why.Load(); why != nil {
		return fmt.Errorf("saving: %w", &os.PathError{Op: "write", Path: "x", Err: *why})
	}
	return nil
}

// TERMS.md: "Where a folder lasts: writes and syncs to it may fail for a while (ENOSPC, EIO)". A voter says nothing that rests on what
// is not written, and goes on once it is.
func TestAVoterWhoseDiskFailsForAWhileGoesOn(t *testing.T) {
	for _, number := range []error{syscall.ENOSPC, syscall.EIO} {
		disk := &failingDisk{}
		m, told := oneOn(t, disk, 0)
		until[fleet.LeaseRenewed](t, told)
		disk.why.Store(&number)
		m.Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease("other", 0) }) // which has to be written
		time.Sleep(2 * pace.LeaseDuration)
		for len(told) > 0 {
			if e, ok := (<-told).(fleet.LeaseAcquired); ok {
				assert.NotEqual(t, "other", e.Lease, "it rests on what is not written")
			}
		}
		disk.why.Store(nil)
		for until[fleet.LeaseAcquired](t, told).Lease != "other" {
		}
		until[fleet.LeaseRenewed](t, told)
		assert.True(t, m.Broadcast("list", []byte("x")), number.Error())
	}
}

// One that fails for good halts, as before.
func TestAVoterWhoseDiskIsNoneHalts(t *testing.T) {
	disk := &failingDisk{}
	m, told := oneOn(t, disk, 0)
	until[fleet.LeaseRenewed](t, told)
	why := error(os.ErrClosed)
	disk.why.Store(&why)
	m.Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease("other", 0) })
	require.Eventually(t, func() (halted bool) {
		m.Do(func(n *fleet.Node, _ time.Duration) { halted = n.VoterHaltReason() != "" })
		return halted
	}, 10*time.Second, 5*time.Millisecond)
}
