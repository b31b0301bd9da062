package mesh

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/testsupport/conntest"
)

// Guards against a data race between Close and the TLS handshake. Close read the variable that the handshake overwrites with the TLS
// connection. That variable is an interface value of two words, so Close could combine the type of one connection with the data of the
// other. Only the race detector notices it (go test -race).
func TestCloseDuringTLSHandshakeEndsTheConnection(t *testing.T) {
	pair := conntest.KeyPair(t, "a")
	node, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, Timing: timing, Seed: 1}, nil)
	require.NoError(t, err)
	m, err := New(Options{Listen: "127.0.0.1:0", Node: node, Timing: timing, OnEvent: func(time.Duration, fleet.Event) {},
		Keys: func(string) (*tls.Config, error) { return &tls.Config{Certificates: []tls.Certificate{pair}}, nil }})
	require.NoError(t, err)
	m.Run()
	c, err := tls.Dial("tcp", m.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	time.Sleep(100 * time.Millisecond) // reading the greeting instead would synchronize both goroutines and hide the race
	m.Close()
	_, err = io.Copy(io.Discard, c)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a peer that holds up the mesh. The mesh closes links while it holds its lock. The close of a TLS connection first wrote
// close_notify, and waited up to 5 s for a peer that did not read. All other links, and the leases of this front, waited as well.
func TestCloseOfALinkToAPeerThatDoesNotReadTakesNoTime(t *testing.T) {
	m := newIdleMesh(t, 0)
	own, peers := conntest.KeyPair(t, "a"), conntest.KeyPair(t, "b")
	m.options.Keys = func(string) (*tls.Config, error) {
		return &tls.Config{Certificates: []tls.Certificate{own}, ClientAuth: tls.RequireAnyClientCert, SessionTicketsDisabled: true}, nil
	}
	p := serveOver(t, m, "", func(c net.Conn) net.Conn {
		return tls.Client(c, &tls.Config{Certificates: []tls.Certificate{peers}, InsecureSkipVerify: true})
	})
	p.sendHello(t, "b", true)
	var msg fleet.Message
	for msg.Kind != fleet.KindSnapshot { // the last message that the mesh sends by itself
		require.NoError(t, p.codec.Read(&msg))
	}
	time.Sleep(100 * time.Millisecond) // the writer waits for messages again

	began := time.Now()
	m.Do(func(n *fleet.Node, now time.Duration) { // closes all links
		n.DialFailed(now, "c", "another front has its name", nil)
	})
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Error(t, <-p.served)
	assert.Zero(t, m.Totals().Links)
}

// Close ends a link whose peer has been attached and has not read its hello, and the link's goroutines.
func TestCloseWhileALinkIsBeingEstablishedEndsIt(t *testing.T) {
	for _, readHello := range []bool{false, true} {
		m := newIdleMesh(t, 0)
		p := serveUnbuffered(t, m, "")
		p.sendHello(t, "b", true)
		if readHello { // then the link's writer waits for the peer to read the state
			var msg fleet.Message
			require.NoError(t, p.codec.Read(&msg))
			require.Equal(t, fleet.KindHello, msg.Kind)
		} else { // then the mesh waits for the peer to read the hello
			_, err := io.ReadFull(p, make([]byte, 1))
			require.NoError(t, err)
		}
		closed := make(chan struct{})
		go func() { m.Close(); close(closed) }()
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			require.Fail(t, "Close waits for the peer")
		}
		assert.Error(t, <-p.served)
		assert.Zero(t, m.Totals().Links)
	}
}

// The goroutine that writes ends with its link, whatever ends the link, also while a write waits for the peer.
func TestWriterEndsWithItsLink(t *testing.T) {
	for name, end := range map[string]func(m *Mesh, p *unbufferedPeer){
		"the peer closes": func(_ *Mesh, p *unbufferedPeer) { p.Close() },
		"the node closes": func(m *Mesh, _ *unbufferedPeer) {
			m.Do(func(n *fleet.Node, now time.Duration) { n.DialFailed(now, "c", "another front has its name", nil) })
		},
		"a message is invalid": func(_ *Mesh, p *unbufferedPeer) { _ = send(p.codec, &fleet.Message{Kind: fleet.KindRequest}) },
		"another link replaces it": func(m *Mesh, p *unbufferedPeer) {
			newer := serveUnbuffered(t, m, "")
			newer.sendHello(t, "b", true)
			newer.Close()
			<-newer.served
			<-p.served
		},
	} {
		m := newIdleMesh(t, 0)
		p := serveUnbuffered(t, m, "")
		p.sendHello(t, "b", true)
		var msg fleet.Message
		require.NoError(t, p.codec.Read(&msg)) // the writer then waits for the peer to read the state
		end(m, p)
		ended := make(chan struct{})
		go func() { m.goroutines.Wait(); close(ended) }() // the links' goroutines, as no others are started
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the writer goes on", name)
		}
	}
}
