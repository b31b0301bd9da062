package conntest

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
)

// Sizes in bytes of the read buffer of a Peer and of the longest message that it accepts.
const (
	peerBuffer     = 4 << 10
	peerMaxMessage = 1 << 20
)

// Peer is one end of a connection, driven by a test.
type Peer struct {
	net.Conn
	Reader *pgwire.Reader
	t      *testing.T
}

// NewPeer returns a Peer for a connection, which is closed when the test ends. Reads and writes fail 20 s later, so that a test
// that waits in vain ends.
func NewPeer(t *testing.T, c net.Conn) *Peer {
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &Peer{Conn: c, Reader: pgwire.NewReader(c, peerBuffer, peerMaxMessage), t: t}
}

// Send writes bytes in one piece.
func (p *Peer) Send(b ...byte) {
	p.t.Helper()
	_, err := p.Write(b)
	require.NoError(p.t, err)
}

// SendBytewise writes each byte separately.
func (p *Peer) SendBytewise(b []byte) {
	p.t.Helper()
	for i := range b {
		p.Send(b[i])
	}
}

// Expect reads one message of each of the given types, in order, and returns the body of the last one that is not a
// ReadyForQuery message.
func (p *Peer) Expect(types string) (last []byte) {
	p.t.Helper()
	for _, want := range types {
		typ, body, err := p.Reader.Next()
		require.NoError(p.t, err)
		require.Equal(p.t, string(want), string(typ), "%q", body)
		if typ != 'Z' {
			last = append(last[:0], body...)
		}
	}
	return last
}

// emptyQuery is the body of a Query message without a statement.
const emptyQuery = "\x00"

// ExpectStatement reads a statement as a server does, and returns its body. On a connection that has carried a statement before, it answers
// the empty query that comes first.
func (p *Peer) ExpectStatement() (statement []byte) {
	p.t.Helper()
	statement = p.Expect("Q")
	if string(statement) != emptyQuery {
		return statement
	}
	p.Send(pgwire.AppendEmptyQueryResponse(nil)...)
	return p.Expect("Q")
}

// AnswerAll plays a server that answers every statement with one row, until the connection ends. It calls statement for each that is not
// empty.
func (p *Peer) AnswerAll(statement func()) {
	for {
		_, body, err := p.Reader.Next()
		if err != nil {
			return
		}
		response := pgwire.AppendEmptyQueryResponse(nil)
		if string(body) != emptyQuery {
			statement()
			response = RowResponse("v")
		}
		if _, err := p.Write(response); err != nil {
			return
		}
	}
}

// ExpectClosed reads and expects the end of the connection.
func (p *Peer) ExpectClosed() {
	p.t.Helper()
	_, _, err := p.Reader.Next()
	require.ErrorIs(p.t, err, io.EOF)
}
