package mesh

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// slowTiming is the timing of tests in which a handshake waits for the test. Its handshake timeout is 40 s.
var slowTiming = fleet.Timing{LeaseDuration: time.Minute}

// newIdleMesh returns a mesh of the voter a whose goroutines are not started. A test calls its methods.
func newIdleMesh(t *testing.T, maxFollowers int) *Mesh {
	t.Helper()
	n, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, InitialVoters: []fleet.Voter{{Name: "a"}}, Timing: slowTiming, Seed: 1, MaxFollowers: maxFollowers},
		&fleet.DiskState{OpenCount: 1})
	require.NoError(t, err)
	m, err := New(Options{Listen: "127.0.0.1:0", Node: n, Timing: slowTiming, Disk: noDisk{}, OnEvent: func(time.Duration, fleet.Event) {}})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	return m
}

// unbufferedPeer is the remote end of a connection without buffers: what the mesh writes waits until the test reads it.
type unbufferedPeer struct {
	net.Conn
	codec  *framing.Codec[fleet.Message]
	served chan error // receives the result of Mesh.serve
}

// serveUnbuffered makes the mesh serve a connection without buffers, exchanges the greetings and sends the hello of the front name.
// dialled is the front that the mesh dialled, or "" if the mesh accepted the connection and so receives its peer's hello first.
func serveUnbuffered(t *testing.T, m *Mesh, dialled string) *unbufferedPeer {
	t.Helper()
	return serveOver(t, m, dialled, func(c net.Conn) net.Conn { return c })
}

// serveOver is like serveUnbuffered. secure returns the peer's end of the connection, for example with TLS over c.
func serveOver(t *testing.T, m *Mesh, dialled string, secure func(c net.Conn) net.Conn) *unbufferedPeer {
	t.Helper()
	local, pipe := net.Pipe()
	t.Cleanup(func() { pipe.Close() })
	require.NoError(t, pipe.SetDeadline(time.Now().Add(10*time.Second)))
	remote := secure(pipe)
	p := &unbufferedPeer{remote, framing.NewCodec[fleet.Message](protocol, remote), make(chan error, 1)}
	m.goroutines.Go(func() { p.served <- m.serve(local, dialled, func() {}) })
	_, err := io.ReadFull(remote, make([]byte, 6)) // the mesh writes its greeting before it reads
	require.NoError(t, err)
	_, err = remote.Write([]byte{'D', 'R', 'F', 'M', 0, protocol.Version})
	require.NoError(t, err)
	return p
}

// sendHello sends the first message of the front name. toAcceptor says that the peer dialled the link.
func (p *unbufferedPeer) sendHello(t *testing.T, name string, toAcceptor bool) {
	t.Helper()
	require.NoError(t, send(p.codec, &fleet.Message{Kind: fleet.KindHello, From: name,
		Hello: &fleet.Handshake{Fleet: "x", Name: name, Incarnation: 9, Address: "there:1", Dialled: toAcceptor}}))
}

// readAll reads the messages that the mesh sends until it closes the connection. first holds bytes that were read before.
func (p *unbufferedPeer) readAll(first []byte) (messages []fleet.Message) {
	k := framing.NewCodec[fleet.Message](protocol, struct {
		io.Reader
		io.Writer
	}{io.MultiReader(bytes.NewReader(first), p.Conn), io.Discard})
	for {
		var msg fleet.Message
		if k.Read(&msg) != nil {
			return messages
		}
		messages = append(messages, msg)
	}
}

// Guards against a hello to a peer that is not attached. The hello was sent before the link was attached. A second follower, checked while
// the hello of the first was being written, got a hello as well. One of the two was then refused, and its link closed without the
// reason and without the fronts that it could link to instead.
func TestFollowerBeyondTheLimitIsRejectedWhileAnotherAwaitsItsHello(t *testing.T) {
	m := newIdleMesh(t, 1)
	b := serveUnbuffered(t, m, "")
	b.sendHello(t, "b", true)
	first := make([]byte, 1)
	_, err := io.ReadFull(b, first) // the mesh has checked b, and waits for the rest of its hello to be read
	require.NoError(t, err)

	c := serveUnbuffered(t, m, "")
	c.sendHello(t, "c", true)
	answers := c.readAll(nil)
	require.Len(t, answers, 1, "a rejection, and then the end of the connection")
	assert.Equal(t, fleet.KindReject, answers[0].Kind)
	assert.Contains(t, answers[0].Reason, "as many followers")
	require.Len(t, answers[0].Members, 1, "fronts that may accept the link instead")
	assert.Equal(t, "b", answers[0].Members[0].Name)
	assert.Error(t, <-c.served)

	m.mu.Lock()
	attached := m.links["b"] != nil
	peers := m.node.Peers()
	m.mu.Unlock()
	assert.True(t, attached, "b was accepted")
	assert.Equal(t, []string{"b"}, peers, "no more followers than the limit")
	require.NoError(t, b.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	answers = b.readAll(first)
	require.NotEmpty(t, answers)
	assert.Equal(t, fleet.KindHello, answers[0].Kind)
}

// Guards against a dialled peer whose link ends without the reason. This front's own check of the peer's hello closed the connection only.
func TestDialledPeerThatIsNotAttachedIsToldWhy(t *testing.T) {
	m := newIdleMesh(t, 0)
	accepted := serveUnbuffered(t, m, "")
	accepted.sendHello(t, "Z", true) // before "a" in the order of names, so that the link that it dialled stays
	go accepted.readAll(nil)
	require.Eventually(t, func() bool { return m.Totals().Links == 1 }, 10*time.Second, time.Millisecond)

	dialled := serveUnbuffered(t, m, "Z")
	first := make([]byte, 1)
	_, err := io.ReadFull(dialled, first) // the mesh sends its hello first
	require.NoError(t, err)
	go dialled.sendHello(t, "Z", false)
	answers := dialled.readAll(first)
	require.Len(t, answers, 2)
	assert.Equal(t, fleet.KindHello, answers[0].Kind)
	assert.Equal(t, fleet.KindReject, answers[1].Kind)
	assert.Contains(t, answers[1].Reason, "link")
	assert.Error(t, <-dialled.served)
	assert.Equal(t, 1, m.Totals().Links, "the link that stays")
}

// Guards against a panic. The name of a dialled peer was read from a first message that was not checked to hold one.
func TestDialledPeerWithoutHelloIsRejected(t *testing.T) {
	m := newIdleMesh(t, 0)
	p := serveUnbuffered(t, m, "b")
	first := make([]byte, 1)
	_, err := io.ReadFull(p, first)
	require.NoError(t, err)
	go func() { _ = send(p.codec, &fleet.Message{Kind: fleet.KindPing}) }()
	answers := p.readAll(first)
	err = <-p.served
	assert.NotErrorIs(t, err, errPanic)
	require.Len(t, answers, 2)
	assert.Equal(t, fleet.KindReject, answers[1].Kind)
	assert.Equal(t, answers[1].Reason, err.Error())
}

// A peer that dialled may reject the link after it has received the hello. Its reason is the error that the link ends with.
func TestRejectionAfterTheHelloEndsTheLinkWithItsReason(t *testing.T) {
	m := newIdleMesh(t, 0)
	p := serveUnbuffered(t, m, "")
	p.sendHello(t, "b", true)
	go func() { _ = send(p.codec, &fleet.Message{Kind: fleet.KindReject, Reason: "another link"}) }()
	answers := p.readAll(nil)
	require.NotEmpty(t, answers)
	assert.Equal(t, fleet.KindHello, answers[0].Kind)
	var rejected rejectedError
	require.ErrorAs(t, <-p.served, &rejected)
	assert.Equal(t, "another link", rejected.reason)
	assert.EqualValues(t, 1, m.Totals().Rejected)
	assert.Zero(t, m.Totals().Links)
}

// A peer whose connection ends before it has received its hello is not attached, and takes no follower's place.
func TestPeerThatLeavesBeforeItsHelloIsNotAttached(t *testing.T) {
	m := newIdleMesh(t, 1)
	p := serveUnbuffered(t, m, "")
	p.sendHello(t, "b", true)
	_, err := io.ReadFull(p, make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, p.Close())
	assert.Error(t, <-p.served)
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.Empty(t, m.links)
	assert.Empty(t, m.node.Peers())
}
