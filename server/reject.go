package server

import (
	"net"
	"slices"
	"time"

	"dapplerouter/pgwire"
)

// rejection is a newcomer that is being rejected since a moment.
type rejection struct {
	conn *net.TCPConn
	at   time.Time
}

// reject serves a client for which there is no room: its first request, which may have come with it, is told
// that trying again is harmless, by an error after which nobody writes. Only so many are being told so at a time; the
// one that takes longest is cut off for the next, so that slow newcomers keep nobody waiting.
func (sv *Server) reject(conn *net.TCPConn) {
	sv.waitToReject()
	sv.mu.Lock()
	sv.rejected = append(sv.rejected, rejection{conn, time.Now()})
	sv.mu.Unlock()
	sv.running.Add(1)
	go func() {
		defer sv.running.Done()
		defer func() { <-sv.rejecting }()
		defer func() {
			conn.Close()
			sv.mu.Lock()
			sv.rejected = slices.DeleteFunc(sv.rejected, func(t rejection) bool { return t.conn == conn })
			sv.mu.Unlock()
		}()
		defer guard()
		c := &client{sv: sv, conn: conn, r: sv.reader(conn, clientBuffer/4),
			until: time.Now().Add(sv.linger)}
		defer c.r.Close()
		conn.SetReadDeadline(c.until)
		if c.start() != nil {
			return
		}
		c.rejectRequests()
		sv.closeGracefully(conn)
	}()
}

// rejectRequests answers the first request, and each other that came in with it: what has been read is owed an answer.
func (c *client) rejectRequests() {
	c.conn.SetReadDeadline(time.Now().Add(c.sv.linger))
	for {
		typ, _, err := c.r.Next()
		if err != nil || typ != 'Q' {
			return
		}
		if !c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeTooManyConnections, "too many clients", "")) || !c.r.MessageStarted() {
			return
		}
	}
}

// waitToReject waits for a place among those being rejected.
func (sv *Server) waitToReject() {
	select {
	case sv.rejecting <- struct{}{}:
		return
	default:
	}
	sv.mu.Lock()
	wait := time.Duration(0)
	if len(sv.rejected) > 0 {
		wait = minRejectTime - time.Since(sv.rejected[0].at)
	}
	sv.mu.Unlock()
	select {
	case sv.rejecting <- struct{}{}:
		return
	case <-time.After(wait):
	}
	sv.mu.Lock()
	if len(sv.rejected) > 0 {
		sv.rejected[0].conn.Close()
	}
	sv.mu.Unlock()
	sv.rejecting <- struct{}{}
}
