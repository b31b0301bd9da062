package mesh

import (
	"bytes"
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

// noDisk is a Disk that discards all writes.
type noDisk struct{}

func (noDisk) Save(*fleet.DiskWrite) error { return nil }

// timing is the timing of the fleet in the tests of this package.
var timing = fleet.Timing{LeaseDuration: 600 * time.Millisecond}

// startVoter starts the mesh of the only voter of a fleet and returns a channel of its events. maxFollowers limits the followers that its
// node accepts; 0 means the default limit.
func startVoter(t *testing.T, disk Disk, maxFollowers int) (m *Mesh, events chan fleet.Event) {
	t.Helper()
	events = make(chan fleet.Event, 1000)
	return runVoter(t, disk, maxFollowers, func(_ time.Duration, e fleet.Event) { events <- e }, nil), events
}

// runVoter is like startVoter, but passes events to the given handlers.
func runVoter(t *testing.T, disk Disk, maxFollowers int, onEvent func(time.Duration, fleet.Event), onDropped func(uint64)) *Mesh {
	t.Helper()
	n, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, InitialVoters: []fleet.Voter{{Name: "a"}}, Timing: timing, Seed: 1, AcceptsLeases: true, MaxFollowers: maxFollowers},
		&fleet.DiskState{OpenCount: 1})
	require.NoError(t, err)
	n.DeclareLease("list", 0)
	m, err := New(Options{Listen: "127.0.0.1:0", Node: n, Timing: timing, Disk: disk, OnEvent: onEvent, OnDropped: onDropped})
	require.NoError(t, err)
	m.Run()
	t.Cleanup(m.Close)
	return m
}

// awaitEvent returns the next event of type E and discards other events.
func awaitEvent[E fleet.Event](t *testing.T, events <-chan fleet.Event) E {
	t.Helper()
	end := time.After(20 * time.Second) // in total, however many other events arrive
	for {
		select {
		case e := <-events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-end:
			var missing E
			t.Fatalf("only other events than %T", missing)
		case <-time.After(10 * time.Second):
			var missing E
			t.Fatalf("no event %T", missing)
		}
	}
}

// peer is the remote end of a link to the mesh under test.
type peer struct {
	net.Conn
	*framing.Codec[fleet.Message]
}

// dialAs connects to a mesh as the front name of the fleet id, and returns the link and the first message received.
func dialAs(t *testing.T, m *Mesh, name, id string) (p peer, first fleet.Message) {
	t.Helper()
	c, err := net.Dial("tcp", m.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	p = peer{c, framing.NewCodec[fleet.Message](protocol, c)}
	require.NoError(t, p.Greet())
	require.NoError(t, p.Append(&fleet.Message{Kind: fleet.KindHello, From: name, Hello: &fleet.Handshake{Fleet: id, Name: name, Incarnation: 9, Address: "there:1", Dialled: true}}))
	require.NoError(t, p.Flush())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	require.NoError(t, p.Codec.Read(&first))
	return p, first
}

func TestOnlyVoterHoldsItsLease(t *testing.T) {
	m, events := startVoter(t, noDisk{}, 0)
	e := awaitEvent[fleet.LeaseAcquired](t, events)
	assert.Equal(t, "list", e.Lease)
	awaitEvent[fleet.LeaseRenewed](t, events)
	assert.True(t, m.Broadcast("list", []byte("x")))
	assert.EqualValues(t, 1, awaitEvent[fleet.BroadcastReceived](t, events).Term)
	assert.False(t, m.Broadcast("scout/1", nil), "a lease that the front does not hold")
}

func TestRejectedHandshakeSaysWhy(t *testing.T) {
	m, events := startVoter(t, noDisk{}, 1)
	awaitEvent[fleet.LeaseAcquired](t, events)
	_, h := dialAs(t, m, "b", "y")
	assert.Equal(t, fleet.KindReject, h.Kind)
	assert.Contains(t, h.Reason, "another fleet")
	_, h = dialAs(t, m, "a", "x")
	assert.Contains(t, h.Reason, "own name")
	_, h = dialAs(t, m, "b", "x")
	assert.Equal(t, fleet.KindHello, h.Kind)
	_, h = dialAs(t, m, "c", "x")
	assert.Contains(t, h.Reason, "as many followers")
	require.Len(t, h.Members, 1, "fronts that may accept the link instead")
	assert.Equal(t, "b", h.Members[0].Name)
}

func TestInvalidFramesCloseOnlyTheirLink(t *testing.T) {
	m, events := startVoter(t, noDisk{}, 0)
	awaitEvent[fleet.LeaseAcquired](t, events)
	for name, send := range map[string]func(p peer){
		"silence":        func(peer) {},
		"huge length":    func(p peer) { p.Write(binary.BigEndian.AppendUint32(nil, 1<<31)); p.Write(make([]byte, 8)) },
		"wrong checksum": func(p peer) { p.Write([]byte("\x00\x00\x00\x04\x00\x00\x00\x00abcd")) },
		"invalid message": func(p peer) {
			p.Append(&fleet.Message{Kind: fleet.KindRequest})
			p.Flush()
		},
	} {
		p, h := dialAs(t, m, "b", "x")
		require.Equal(t, fleet.KindHello, h.Kind, name)
		send(p)
		_, err := io.Copy(io.Discard, p.Conn) // returns when the mesh closes the connection
		assert.NoError(t, err, name)
		require.Eventually(t, func() bool { return m.Totals().Links == 0 }, 10*time.Second, time.Millisecond, name)
	}
	assert.True(t, m.Broadcast("list", []byte("x")), "the mesh continues to work")
}

// The reasons of rejections are sent to the peer, so their texts are part of the protocol.
func TestHandshakeErrorsAndTheirTexts(t *testing.T) {
	m, _ := startVoter(t, noDisk{}, 0)
	hello := func(name string) *fleet.Message {
		return &fleet.Message{Kind: fleet.KindHello, From: name, Hello: &fleet.Handshake{Fleet: "x", Name: name, Incarnation: 9}}
	}
	anyName := func(string) bool { return true }
	handshake := func(first *fleet.Message, mayHaveName nameCheck) (sent []fleet.Message, err error) {
		var in, out bytes.Buffer
		require.NoError(t, send(framing.NewCodec[fleet.Message](protocol, &in), first))
		_, err = m.handshake(framing.NewCodec[fleet.Message](protocol, struct {
			io.Reader
			io.Writer
		}{&in, &out}), "b", mayHaveName)
		for k := framing.NewCodec[fleet.Message](protocol, &out); ; {
			var msg fleet.Message
			if k.Read(&msg) != nil {
				return sent, err
			}
			sent = append(sent, msg)
		}
	}

	sent, err := handshake(&fleet.Message{Kind: fleet.KindReject, Reason: "full", Members: []fleet.MembershipRecord{{Name: "c"}}}, anyName)
	var rejected rejectedError
	require.ErrorAs(t, err, &rejected)
	assert.Equal(t, "full", rejected.reason)
	assert.Equal(t, "c", rejected.alternatives[0].Name)
	assert.Len(t, sent, 1, "only the hello, and no answer to a rejection")

	sent, err = handshake(hello("c"), anyName)
	var name peerNameError
	require.ErrorAs(t, err, &name)
	assert.Equal(t, peerNameError{claimed: "c", dialled: "b"}, name)
	assert.Equal(t, `it calls itself "c", and "b" was dialled`, sent[1].Reason)

	sent, err = handshake(hello("b"), func(name string) bool { return name != "b" })
	require.ErrorIs(t, err, errCertificateName)
	assert.Equal(t, fleet.KindReject, sent[1].Kind)
	assert.Equal(t, "its key is for another name", sent[1].Reason)
}

// failingDisk is a Disk whose writes fail while an error is set.
type failingDisk struct{ cause atomic.Pointer[error] }

// fail sets the error that the writes fail with, nil for none.
func (d *failingDisk) fail(err error) { d.cause.Store(&err) }

func (d *failingDisk) Save(*fleet.DiskWrite) error {
	if cause := d.cause.Load(); cause != nil && *cause != nil {
		return fmt.Errorf("saving: %w", &os.PathError{Op: "write", Path: "x", Err: *cause})
	}
	return nil
}

// Writes and syncs to a directory may fail for a while, for example with ENOSPC or EIO. Until the failed write has succeeded a voter must
// not send anything that depends on it; afterwards it continues.
func TestVoterResumesAfterTransientDiskError(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EIO} {
		disk := &failingDisk{}
		m, events := startVoter(t, disk, 0)
		awaitEvent[fleet.LeaseRenewed](t, events)
		disk.fail(errno)
		m.Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease("other", 0) }) // the new lease requires a disk write
		time.Sleep(2 * timing.LeaseDuration)
		for len(events) > 0 {
			if e, ok := (<-events).(fleet.LeaseAcquired); ok {
				assert.NotEqual(t, "other", e.Lease, "the lease depends on a write that failed")
			}
		}
		disk.fail(nil)
		for lease := ""; lease != "other"; {
			lease = awaitEvent[fleet.LeaseAcquired](t, events).Lease
		}
		awaitEvent[fleet.LeaseRenewed](t, events)
		assert.True(t, m.Broadcast("list", []byte("x")), errno.Error())
	}
}

func TestVoterHaltsOnPermanentDiskError(t *testing.T) {
	disk := &failingDisk{}
	m, events := startVoter(t, disk, 0)
	awaitEvent[fleet.LeaseRenewed](t, events)
	disk.fail(os.ErrClosed)
	m.Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease("other", 0) })
	require.Eventually(t, func() (halted bool) {
		m.Do(func(n *fleet.Node, _ time.Duration) { halted = n.VoterHaltReason() != "" })
		return halted
	}, 10*time.Second, 5*time.Millisecond)
}
