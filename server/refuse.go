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
	maxRefusals   = 8                      // connections that are being refused at a time
	minRefusal    = 100 * time.Millisecond // after which the oldest of these is cut off for the next
	refusalBuffer = readBuffer / 4
)

// refusals are the new connections that are refused, until their clients have read the error.
type refusals struct {
	slots chan struct{} // one is taken by each refusal

	mu     sync.Mutex // guards what follows
	oldest []refusal  // in progress, the oldest first
}

type refusal struct {
	conn  *net.TCPConn
	since time.Time
}

func newRefusals() refusals { return refusals{slots: make(chan struct{}, maxRefusals)} }

// refuse rejects the first request of a connection that was not admitted, which may have come with its startup, and closes it: the
// request may be retried. Only so many connections are refused at a time; the one that takes longest is cut off
// for the next, so that slow clients keep nobody waiting.
func (s *Server) refuse(conn *net.TCPConn) {
	s.refusals.acquire()
	s.refusals.add(conn)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
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
		c := &client{server: s, tcp: conn, reader: s.newReader(conn, refusalBuffer), startBy: time.Now().Add(s.linger)}
		defer c.reader.Close()
		tcpconn.SetReadDeadline(conn, c.startBy)
		if c.readStartup() != nil {
			return
		}
		c.refuseRequests()
		s.closeGracefully(conn)
	}()
}

// refuseRequests answers the first request, and each other that came in with it: what has been read is owed an answer.
func (c *client) refuseRequests() {
	tcpconn.SetReadDeadline(c.tcp, time.Now().Add(c.server.linger))
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

// acquire waits for a slot. Where there is none it cuts off the oldest refusal once that has had its time.
func (r *refusals) acquire() {
	select {
	case r.slots <- struct{}{}:
		return
	default:
	}
	r.mu.Lock()
	wait := time.Duration(0)
	if len(r.oldest) > 0 {
		wait = minRefusal - time.Since(r.oldest[0].since)
	}
	r.mu.Unlock()
	select {
	case r.slots <- struct{}{}:
		return
	case <-time.After(wait):
	}
	r.mu.Lock()
	if len(r.oldest) > 0 {
		tcpconn.Close(r.oldest[0].conn)
	}
	r.mu.Unlock()
	r.slots <- struct{}{}
}

// release gives a slot back.
func (r *refusals) release() { <-r.slots }

// add notes a refusal that begins.
func (r *refusals) add(conn *net.TCPConn) {
	r.mu.Lock()
	r.oldest = append(r.oldest, refusal{conn, time.Now()})
	r.mu.Unlock()
}

// remove forgets a refusal that has ended.
func (r *refusals) remove(conn *net.TCPConn) {
	r.mu.Lock()
	r.oldest = slices.DeleteFunc(r.oldest, func(x refusal) bool { return x.conn == conn })
	r.mu.Unlock()
}

// logPanic logs a panic that ends one connection.
func logPanic(p any) {
	slog.Error("panic in a client connection", "panic", p, "trace", string(debug.Stack()))
}
