package front

import (
	"slices"
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Client receives the response of a request. Respond must not block.
type Client interface{ Respond(Response) }

// ConnectedClient is a Client whose connection state can be queried. If the front was delayed, it handles the accumulated events in no
// particular order, so a client may have disconnected although its ClientGone event has not been posted or handled yet.
type ConnectedClient interface{ Connection() ClientConnection }

// ClientConnection reports whether the client has closed its connection. Disconnected does not block and may be called from any
// goroutine. Attempts keep a reference to the connection and may outlive their request.
type ClientConnection interface{ Disconnected() bool }

// Request is a statement of a client, from its arrival to its response. Posting a Request is the event that it was received.
type Request struct {
	Client      Client
	Statement   pgwire.Statement
	ReceivedAt  time.Duration // when the last byte was read
	MaxAttempts int           // limit below that of the deployment; 0 for the deployment's limit

	ref           routing.RequestRef
	typeIndex     int
	deadline      time.Duration
	version       *configVersion // the configuration version under which the request was accepted
	auditInterval uint32         // returned by Auditor.RequestAccepted

	inFlight     []*Attempt    // attempts that have not finished
	attemptsUsed int           // attempts started here plus those granted to other sites
	mayHaveRun   bool          // an attempt ended with a result that does not exclude that it ran; see also SetFirstRun
	firstRunAt   time.Duration // when the first such attempt was started
	clientGone   *atomic.Bool  // shared with the attempts, which may outlive the request
}

// NewRequest creates a Request for a statement. receivedAt is the time on the core's clock at which its last byte was read.
func NewRequest(client Client, statement pgwire.Statement, receivedAt time.Duration) *Request {
	return &Request{Client: client, Statement: statement, ReceivedAt: receivedAt, clientGone: new(atomic.Bool)}
}

// SetFirstRun records that the request may have run before it was received here, at the given time on the core's clock or later. It must be
// called before the request is posted.
func (r *Request) SetFirstRun(at time.Duration) { r.mayHaveRun, r.firstRunAt = true, at }

// MarkClientGone records that the client has disconnected. No attempt of the request begins to be sent afterwards, even before the core
// handles the event. The caller must post the returned event.
func (r *Request) MarkClientGone() ClientGone {
	r.clientGone.Store(true)
	return ClientGone{r}
}

// apply accepts the request and passes it to the router. Otherwise it responds at once: it rejects the request in standby, in shutdown or
// if its timeout has passed, and reports an error to the client if the request is invalid.
func (r *Request) apply(c *Core, now time.Duration) {
	if c.versions.standby || c.requests.shutdown {
		c.metrics.rejected++
		r.Client.Respond(Response{Status: StatusRejected, RetryAfter: c.catalog.limits.MaxRetryAfter})
		return
	}
	r.version = c.versions.current
	req, problem := c.resolve(r, now)
	if problem != "" {
		c.metrics.invalid++
		r.Client.Respond(Response{Status: StatusInvalid, Code: pgwire.CodeInvalidParameterValue, Reason: problem})
		return
	}
	if now >= r.ReceivedAt+r.Statement.Timeout { // it waited too long for earlier requests of its connection, or for the core
		c.metrics.rejected++
		r.Client.Respond(Response{Status: StatusRejected})
		return
	}
	c.accept(r, req)
}

// resolve converts a request into the router's form, in which indices replace names. If the request is invalid, it returns a problem
// description for the client.
func (c *Core) resolve(r *Request, now time.Duration) (req routing.Request, problem string) {
	s := &r.Statement
	req = routing.Request{Customer: routing.None, Retry: s.Retry, Write: s.Write}
	if problem = c.resolveType(s, &req); problem != "" {
		return req, problem
	}
	var ok bool
	if len(s.Customer) > 0 && c.catalog.customers.Len() > 0 {
		if req.Customer, ok = c.catalog.customers.Lookup(string(s.Customer)); !ok {
			return req, "t names no customer of this site"
		}
	}
	if c.requests.has(s.ID) {
		return req, "id names a request in hand"
	}
	if req.Group, ok = c.servers.groups.Lookup(s.Group); !ok {
		return req, "cluster names no group on the list"
	}
	if _, rejected := r.version.rejectedGroups[s.Group]; rejected {
		return req, "cluster names a group that is given up"
	}
	req.MaxStaleness, req.DedupWindow = r.version.types[req.Type].MaxStaleness, r.version.types[req.Type].DedupWindow
	consistency := c.catalog.types[req.Type].Consistency
	if (consistency == routing.Write || consistency == routing.ReadYourWrites) && (s.Normalized == nil || len(s.Key) > 0) {
		req.Session = SessionHash(s.Key)
	}
	if r.mayHaveRun {
		req.FirstRunAge = max(1, now-r.firstRunAt)
	}
	if s.LastWritePosition > 0 {
		req.TokenAge = max(1, now-c.wall.at(s.LastWritePosition))
	}
	return req, ""
}

// resolveType determines the request type, by the statement's comment or by the rules of the classifier. If it finds none, it returns a
// problem description for the client.
func (c *Core) resolveType(s *pgwire.Statement, req *routing.Request) (problem string) {
	if s.Normalized != nil {
		return c.classify(s, req)
	}
	var ok bool
	if req.Type, ok = c.catalog.typeNames.Lookup(string(s.RequestType)); !ok {
		return "c names no request type of this site"
	}
	if s.Write != (c.catalog.types[req.Type].Consistency == routing.Write) {
		return "the statement does not fit its request type"
	}
	return ""
}

// accept adds a request to the table and passes it to the router. The timeout of a request runs from the arrival of its last byte, so the
// time that it has waited since is deducted.
func (c *Core) accept(r *Request, req routing.Request) {
	// The type's deadline bounds how long a slot of the table is in use.
	r.deadline = r.ReceivedAt + min(r.Statement.Timeout, c.catalog.types[req.Type].Deadline)
	r.typeIndex = req.Type
	c.requests.add(r)
	if c.fleet.Auditor != nil {
		r.auditInterval = c.fleet.Auditor.RequestAccepted(c.now, r.Statement.ID, r.typeIndex)
	}
	req.Ref, req.Timeout = r.ref, r.deadline-c.now
	c.metrics.accepted++
	c.router.RequestReceived(c.now, req)
}

// ClientGone is the event that the client of a request has closed its connection.
type ClientGone struct{ Request *Request }

// apply marks the request as finished without a response and notifies the auditor and the router, which may cancel the attempts in flight.
// It ends those of which nothing was sent. It does nothing if the request has finished before.
func (g ClientGone) apply(c *Core, now time.Duration) {
	r := g.Request
	e := c.requests.table.Get(r.ref)
	if e == nil || e.Finished {
		return
	}
	c.markFinished(e)
	c.metrics.abandoned++
	c.auditFinished(r, StatusAbandoned)
	c.logClientGone(e)
	c.router.ClientGone(now, r.ref)
	for _, a := range slices.Clone(r.inFlight) { // even if the deployment forbids cancellation, since these attempts were not sent
		c.cancelUnsent(a)
	}
	c.requests.table.Release(r.ref)
}
