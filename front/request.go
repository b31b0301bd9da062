package front

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Client is where a response goes. Respond never blocks.
type Client interface{ Respond(Response) }

// ConnectedClient is a Client whose connection can be looked at. A front that was held up handles what came meanwhile in some order,
// so a client may have gone though no event says so yet.
type ConnectedClient interface{ Connection() ClientConnection }

// ClientConnection reports whether the other side has closed the connection. Disconnected does not block and may be called from any
// goroutine; attempts keep the connection and may outlive their request.
type ClientConnection interface{ Disconnected() bool }

// Request is a statement of a client, from its arrival to its response. Posted, it is the event that it was received.
type Request struct {
	Client      Client
	Statement   pgwire.Statement
	ReceivedAt  time.Duration // when its last byte was read
	MaxAttempts int           // where fewer than the deployment allows; 0: as the deployment does

	ref       routing.RequestRef
	typeIndex int
	deadline  time.Duration
	version   *configVersion // under which it was accepted
	auditSpan uint32         // in which the auditor counts it

	inFlight     []*Attempt    // attempts that have not finished
	attemptsUsed int           // attempts started here, and granted to other sites
	mayHaveRun   bool          // an attempt ended so that it may have run
	firstRunAt   time.Duration // when the first such attempt was started
	clientGone   *atomic.Bool  // shared with the attempts, which may outlive the request
}

// NewRequest makes a Request of a statement whose last byte was read at a moment of the core's clock.
func NewRequest(client Client, statement pgwire.Statement, receivedAt time.Duration) *Request {
	return &Request{Client: client, Statement: statement, ReceivedAt: receivedAt, clientGone: new(atomic.Bool)}
}

// MarkClientGone notes that the client has gone: from here on nothing of the request begins to be sent, however busy the core is. The
// event that it returns has to be posted.
func (r *Request) MarkClientGone() ClientGone {
	r.clientGone.Store(true)
	return ClientGone{r}
}

// apply accepts the request, or responds at once where the router has nothing to decide.
func (r *Request) apply(c *Core, now time.Duration) {
	if c.versions.standby || c.requests.shutdown {
		c.metrics.rejected++
		r.Client.Respond(Response{Status: StatusRejected, RetryAfter: c.catalog.limits.MaxRetryAfter})
		return
	}
	r.version = c.versions.current
	t, problem := c.resolve(r, now)
	if problem != "" {
		c.metrics.invalid++
		r.Client.Respond(Response{Status: StatusInvalid, Code: pgwire.CodeInvalidParameterValue, Reason: problem})
		return
	}
	if now >= r.ReceivedAt+r.Statement.Timeout { // it waited for so long behind others of its connection, or for the core
		c.metrics.rejected++
		r.Client.Respond(Response{Status: StatusRejected})
		return
	}
	c.accept(r, t)
}

// resolve turns the names of a request into the indices that the router knows. A problem is a reason for the client why the request
// is invalid.
func (c *Core) resolve(r *Request, now time.Duration) (t routing.Request, problem string) {
	s := &r.Statement
	t = routing.Request{Customer: routing.None, Retry: s.Retry, Write: s.Write}
	if problem = c.resolveType(s, &t); problem != "" {
		return t, problem
	}
	var ok bool
	if len(s.Customer) > 0 && c.catalog.customers.Len() > 0 {
		if t.Customer, ok = c.catalog.customers.Lookup(string(s.Customer)); !ok {
			return t, "t names no customer of this site"
		}
	}
	if c.requests.has(s.ID) {
		return t, "id names a request in hand"
	}
	if t.Group, ok = c.servers.groups.Lookup(s.Group); !ok {
		return t, "cluster names no group on the list"
	}
	if _, rejected := r.version.rejectedGroups[s.Group]; rejected {
		return t, "cluster names a group that is given up"
	}
	t.MaxStaleness, t.DedupWindow = r.version.types[t.Type].MaxStaleness, r.version.types[t.Type].DedupWindow
	consistency := c.catalog.types[t.Type].Consistency
	if (consistency == routing.Write || consistency == routing.ReadYourWrites) && (s.Normalized == nil || len(s.Key) > 0) {
		t.Session = SessionHash(s.Key)
	}
	if s.After > 0 {
		t.TokenAge = max(1, now-c.wall.at(s.After))
	}
	return t, ""
}

// resolveType finds the request type, by the comment or by the rules of the classifier.
func (c *Core) resolveType(s *pgwire.Statement, t *routing.Request) (problem string) {
	if s.Normalized != nil {
		return c.classify(s, t)
	}
	var ok bool
	if t.Type, ok = c.catalog.typeNames.Lookup(string(s.RequestType)); !ok {
		return "c names no request type of this site"
	}
	if s.Write != (c.catalog.types[t.Type].Consistency == routing.Write) {
		return "the statement does not fit its request type"
	}
	return ""
}

// accept enters a request into the table and hands it to the router. Its time runs from its last byte, so what it has waited since is
// off its timeout.
func (c *Core) accept(r *Request, t routing.Request) {
	r.deadline = r.ReceivedAt + min(r.Statement.Timeout, c.catalog.types[t.Type].Deadline) // no slot is in use for longer than its type allows
	r.typeIndex = t.Type
	c.requests.add(r)
	if c.fleet.Auditor != nil {
		r.auditSpan = c.fleet.Auditor.RequestAccepted(c.now, r.Statement.ID, r.typeIndex)
	}
	t.Ref, t.Timeout = r.ref, r.deadline-c.now
	c.metrics.accepted++
	c.router.RequestReceived(c.now, t)
}

// ClientGone is the event that the client of a request has closed its connection.
type ClientGone struct{ Request *Request }

func (g ClientGone) apply(c *Core, now time.Duration) {
	r := g.Request
	e := c.requests.table.Get(r.ref)
	if e == nil || e.Finished {
		return
	}
	c.markFinished(e)
	c.metrics.abandoned++
	c.auditFinished(r, StatusAbandoned)
	slog.Debug("client gone", "type", string(r.Statement.RequestType), "after", now-r.ReceivedAt, "timeout", r.Statement.Timeout,
		"attempts", e.Attempts)
	c.router.ClientGone(now, r.ref)
	for _, a := range slices.Clone(r.inFlight) { // also where the deployment forbids cancellation: what was not sent is not sent any more
		c.cancelUnsent(a)
	}
	c.requests.table.Release(r.ref)
}
