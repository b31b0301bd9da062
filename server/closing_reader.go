package server

import (
	"io"
	"net"
	"time"

	"dapplerouter/tcpconn"
)

// closingReader reads from a connection that is about to be closed, up to a deadline. A change of the server's stage wakes its reads, which
// then go on; from the stage closing on they end MaxCloseLinger after the change was noticed. It belongs to one goroutine.
type closingReader struct {
	server   *Server
	conn     *net.TCPConn
	deadline time.Time // until then the present step of the close may read
	closeEnd time.Time // when all steps end because the server closes; zero before
}

// Read implements io.Reader.
func (r *closingReader) Read(b []byte) (int, error) {
	for {
		deadline := r.setReadDeadline()
		n, err := r.conn.Read(b)
		if n > 0 || !tcpconn.IsTimeout(err) || !time.Now().Before(deadline) {
			return n, err
		}
	}
}

// setReadDeadline sets the deadline of the next read and returns it.
func (r *closingReader) setReadDeadline() time.Time {
	tcpconn.SetReadDeadline(r.conn, r.deadline)
	// The stage is checked after the deadline is set: setting the deadline cancels an earlier wake, but not a later one.
	if r.server.stage.Load() != closing {
		return r.deadline
	}
	if r.closeEnd.IsZero() {
		r.closeEnd = time.Now().Add(MaxCloseLinger)
	}
	if r.closeEnd.After(r.deadline) {
		return r.deadline
	}
	tcpconn.SetReadDeadline(r.conn, r.closeEnd)
	return r.closeEnd
}

// closeGracefully closes the connection such that the last answer arrives. It first shuts down the sending side. Closing a socket with
// unread bytes sends a reset, which can destroy an answer that is still in transit. So closeGracefully reads and discards what the client
// sends meanwhile, up to limits of time and length. Requests among it are not executed, and the client finds its connection closed.
func (r *closingReader) closeGracefully() {
	defer tcpconn.Close(r.conn)
	if r.conn.CloseWrite() != nil {
		return // the client has reset the connection
	}
	r.deadline = time.Now().Add(r.server.linger)
	_, _ = io.CopyN(io.Discard, r, maxDiscardedBytes) // the connection is closed next, however this ends
}
