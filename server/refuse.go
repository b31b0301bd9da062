package server

import (
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/tcpconn"
)

const (
	maxRefusals            = 8                      // connections that are being refused at the same time
	minRefusalTime         = 100 * time.Millisecond // after this time the oldest refusal may be cut off to start the next
	refusalReadBufferBytes = readBufferBytes / 4
)

// refusals holds the new connections that are being refused. Each stays until it is closed after its client has read the error.
type refusals struct {
	slots chan struct{} // semaphore: each refusal holds one slot

	mu         sync.Mutex // guards inProgress
	inProgress []refusal  // the oldest first
}

// refusal is a connection that is being refused.
type refusal struct {
	conn  *net.TCPConn
	since time.Time // when the refusal began
}

func newRefusals() refusals { return refusals{slots: make(chan struct{}, maxRefusals)} }

// refuse answers the first request of a connection that was not admitted with an error and closes the connection. The client may retry
// the request. At most maxRefusals connections are refused at a time. If there are more, the oldest one is cut off, so that slow clients
// do not delay the others. Once the server closes, a refusal lasts MaxCloseLinger at most.
func (s *Server) refuse(conn *net.TCPConn) {
	s.refusals.acquire()
	s.refusals.add(conn)
	s.connections.add()
	go func() {
		defer s.connections.done()
		defer s.refusals.release()
		defer func() {
			tcpconn.Close(conn)
			s.refusals.remove(conn)
		}()
		defer func() {
			if p := recover(); p != nil {
				logPanic(p)
			}
		}()
		source := &closingReader{server: s, conn: conn, deadline: time.Now().Add(s.linger)}
		c := &client{server: s, tcp: conn, reader: s.newReader(source, refusalReadBufferBytes), firstRequestDeadline: source.deadline}
		defer c.reader.Close()
		s.add(c)
		defer s.remove(c)
		if c.readStartup() != nil {
			return
		}
		c.refuseRequests(source)
		source.closeGracefully()
	}()
}

// refuseRequests answers the first request with an error, and also each further one that was received with it, because every request
// that was read must be answered.
func (c *client) refuseRequests(source *closingReader) {
	source.deadline = time.Now().Add(c.server.linger)
	for {
		typ, _, err := c.reader.Next()
		if err != nil || typ != 'Q' {
			return
		}
		if !c.write(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: pgwire.CodeTooManyConnections, Message: errTooManyClients.Error()})) || !c.reader.MessageStarted() {
			return
		}
	}
}

// acquire waits for a slot, which a new refusal needs, and takes it. A refusal is a connection that was not admitted and that is open only
// until its client has read the error. If all slots are taken, acquire closes the connection of the oldest refusal as soon as that is
// minRefusalTime old. The caller must call release.
func (r *refusals) acquire() {
	select {
	case r.slots <- struct{}{}:
		return
	default:
	}
	r.mu.Lock()
	wait := time.Duration(0)
	if len(r.inProgress) > 0 {
		wait = minRefusalTime - time.Since(r.inProgress[0].since)
	}
	r.mu.Unlock()
	select {
	case r.slots <- struct{}{}:
		return
	case <-time.After(wait):
	}
	r.mu.Lock()
	if len(r.inProgress) > 0 {
		tcpconn.Close(r.inProgress[0].conn)
	}
	r.mu.Unlock()
	r.slots <- struct{}{}
}

// release frees a slot.
func (r *refusals) release() { <-r.slots }

// add records a refusal that begins.
func (r *refusals) add(conn *net.TCPConn) {
	r.mu.Lock()
	r.inProgress = append(r.inProgress, refusal{conn, time.Now()})
	r.mu.Unlock()
}

// remove removes a refusal that has ended.
func (r *refusals) remove(conn *net.TCPConn) {
	r.mu.Lock()
	r.inProgress = slices.DeleteFunc(r.inProgress, func(x refusal) bool { return x.conn == conn })
	r.mu.Unlock()
}

// logPanic logs a recovered panic, which ends one connection only.
func logPanic(p any) {
	slog.Error("panic in a client connection", "panic", p, "trace", string(debug.Stack()))
}
