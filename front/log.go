package front

import (
	"context"
	"log/slog"
	"time"

	"dapplerouter/routing"
)

// This file logs what servers report about themselves, so that the log shows what the router knew when it chose a server, and what became
// of requests and their attempts.

// statementSource is the message in which a server reported its role.
type statementSource string

const (
	sourceResponse   statementSource = "response"    // to a request or a health check; describes the present
	sourceLoadReport statementSource = "load report" // may be some time old
)

// roleNames are the names of roles as written in logs.
var roleNames = [...]string{routing.UnknownRole: "unknown", routing.Primary: "primary", routing.Replica: "replica"}

// roleStatement is a role that a server reported, with the log position that came with it.
type roleStatement struct {
	role        routing.Role
	position    time.Duration // on the core's clock; valid if hasPosition
	hasPosition bool
	source      statementSource
}

// logRole logs a role if it differs from the one that the server reported before.
func (c *Core) logRole(server int, stated roleStatement) {
	st := c.servers.at(server)
	if stated.role == routing.UnknownRole || stated.role == st.statedRole {
		return
	}
	st.statedRole = stated.role
	slog.Info("server role changed", append([]any{"server", c.servers.names.Key(server), "role", roleNames[stated.role], "source", stated.source},
		c.lagAttributes(stated.position, stated.hasPosition)...)...)
}

// lagAttributes returns the log attributes for a log position: how far it lies behind the present, if it is known.
func (c *Core) lagAttributes(position time.Duration, known bool) []any {
	if !known {
		return nil
	}
	return []any{"lag", c.now - position}
}

// debugLogged reports whether debug lines are written. Callers on the path of each request check it before they build the attributes.
func debugLogged() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// logRequestFinished logs the status of a request's response.
func (c *Core) logRequestFinished(e *RequestEntry[*Request], status Status) {
	if debugLogged() {
		slog.Debug("request finished", append(c.requestAttributes(e), "status", status)...)
	}
}

// logClientGone logs that the client of a request has disconnected.
func (c *Core) logClientGone(e *RequestEntry[*Request]) {
	if debugLogged() {
		slog.Debug("client gone", c.requestAttributes(e)...)
	}
}

// requestAttributes returns the log attributes of a request that ends now.
func (c *Core) requestAttributes(e *RequestEntry[*Request]) []any {
	r := e.Value
	return []any{"id", string(r.Statement.ID), "type", string(r.Statement.RequestType), "after", c.now - r.ReceivedAt,
		"timeout", r.Statement.Timeout, "attempts", e.Attempts}
}

// logAttemptStarted logs which server a request is sent to.
func (c *Core) logAttemptStarted(a *Attempt, r *Request) {
	if !debugLogged() {
		return
	}
	slog.Debug("attempt started", "id", string(r.Statement.ID), "type", string(r.Statement.RequestType), "attempt", a.number,
		"server", c.servers.names.Key(a.server), "waited", c.now-r.ReceivedAt)
}

// logAttemptFinished logs the outcome of an attempt with the id of its request.
func (c *Core) logAttemptFinished(e *AttemptFinished, o *routing.AttemptOutcome, err error) {
	if !debugLogged() {
		return
	}
	id := ""
	if entry := c.requests.table.Get(e.Attempt.ref); entry != nil {
		id = string(entry.Value.Statement.ID)
	}
	slog.Debug("attempt finished", append([]any{"id", id, "attempt", e.Attempt.number, "server", c.servers.names.Key(e.Attempt.server),
		"health_check", e.Attempt.healthCheck, "result", o.Result, "role", roleNames[o.Role], "err", err, "load", o.Load},
		c.lagAttributes(o.Position, o.HasPosition)...)...)
}

// logStaleResult logs a result that was dropped because its data is too old.
func (c *Core) logStaleResult(e *AttemptFinished, o *routing.AttemptOutcome, r *Request) {
	slog.Warn("stale result dropped", append([]any{"server", c.servers.names.Key(e.Attempt.server), "id", string(r.Statement.ID),
		"type", string(r.Statement.RequestType), "role", roleNames[o.Role], "sent", c.now - e.Attempt.sentAt},
		c.lagAttributes(o.Position, o.HasPosition)...)...)
}
