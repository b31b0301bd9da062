package front

import (
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Client is where a final answer goes. Answer never blocks.
type Client interface{ Respond(Response) }

// ConnectedClient is a Client of which can be told whether it has left, though nobody has noticed so far: a front that was held up finds
// what came meanwhile in some order.
type ConnectedClient interface{ Connection() ClientConnection }

// ClientConnection tells so. Departed may be called from any goroutine and does not block. Attempts keep it and outlive their request.
type ClientConnection interface{ Disconnected() bool }

// Status is the sort of a final answer.
type Status uint8

const (
	StatusSucceeded Status = iota
	StatusRejected
	StatusFailed
	StatusInvalid   // the statement cannot be served: nothing was sent anywhere
	StatusAbandoned // no answer: the client left before. For the audit only
	StatusCount     // how many there are
)

// Response is the one answer of a request.
type Response struct {
	Status     Status
	Rows       []byte        // Served: messages as the member gave them
	RetryAfter time.Duration // Rejected: when to come again, 0 for not named
	Code       string        // Senseless
	Reason     string

	MayHaveRun   bool          // Rejected: trying again is harmless, but something of it may have run
	FromPrimary  bool          // Served: by a primary
	Position     int64         // Served: the position told, Unix milliseconds, 0 for none
	DataAge      time.Duration // Served: how old the data may have been when the answer came
	DataAgeKnown bool          // Age is known
}

// Request is a statement in the core. NewArrival makes it.
type Request struct {
	Client       Client
	Statement    pgwire.Statement
	ReceivedAt   time.Duration
	MaxAttempts  int // attempts, where fewer than the site allows; 0: as the site does
	ref          routing.RequestRef
	deadline     time.Duration
	inFlight     []*Attempt    // without an ending
	attemptsUsed int           // attempts made and granted to another site
	mayHaveRun   bool          // something of it may have run:
	firstRunAt   time.Duration // what went out then
	clientGone   *atomic.Bool  // the client has left; by itself, since attempts keep it and outlive their request
	typeIndex    int
	version      *configVersion // that were in force when it was taken
	auditSpan    uint32         // the audit's
}

// NewRequest makes an Arrival of a statement that came in whole at a moment of the core's clock.
func NewRequest(client Client, statement pgwire.Statement, at time.Duration) *Request {
	return &Request{Client: client, Statement: statement, ReceivedAt: at, clientGone: new(atomic.Bool)}
}

// ClientGone tells that the client of an arrival went away.
type ClientGone struct{ Request *Request }

// MarkClientGone is what tells it: from here on nothing of the request begins to go out, however busy the core is.
func (a *Request) MarkClientGone() ClientGone {
	a.clientGone.Store(true)
	return ClientGone{a}
}

// apply turns names into indices; what names nothing known is answered at once.
func (a *Request) apply(c *Core, now time.Duration) {
	if c.lapsed || c.shut {
		c.metrics.rejected++
		a.Client.Respond(Response{Status: StatusRejected, RetryAfter: c.comeBack})
		return
	}
	a.version = c.terms
	s := &a.Statement
	t := routing.Request{Customer: routing.None, Retry: s.Retry, Write: s.Write}
	var ok bool
	if s.Normalized != nil {
		if why := a.classify(c, &t); why != "" {
			a.respondInvalid(c, why)
			return
		}
	} else if t.Type, ok = c.typeIDs.Lookup(string(s.RequestType)); !ok {
		a.respondInvalid(c, "c names no request type of this site")
		return
	}
	ty := &c.types[t.Type]
	if s.Normalized == nil && s.Write != (ty.Consistency == routing.Write) {
		a.respondInvalid(c, "the statement does not fit its request type")
		return
	}
	if len(s.Customer) > 0 && c.customers.Len() > 0 {
		if t.Customer, ok = c.customers.Lookup(string(s.Customer)); !ok {
			a.respondInvalid(c, "t names no customer of this site")
			return
		}
	}
	if _, taken := c.ids[string(s.ID)]; taken {
		a.respondInvalid(c, "id names a request in hand")
		return
	}
	if t.Group, ok = c.groups.Lookup(s.Group); !ok {
		a.respondInvalid(c, "cluster names no group on the list")
		return
	}
	if _, gone := a.version.rejectedGroups[s.Group]; gone {
		a.respondInvalid(c, "cluster names a group that is given up")
		return
	}
	t.MaxStaleness, t.DedupWindow = a.version.types[t.Type].MaxStaleness, a.version.types[t.Type].DedupWindow
	if (ty.Consistency == routing.Write || ty.Consistency == routing.ReadYourWrites) && (s.Normalized == nil || len(s.Key) > 0) {
		t.Session = SessionHash(s.Key)
	}
	if s.After > 0 {
		t.TokenAge = max(1, now-c.fromUnix(s.After))
	}
	if now >= a.ReceivedAt+s.Timeout { // it waited for so long behind others of its connection, or for the core
		c.metrics.rejected++
		a.Client.Respond(Response{Status: StatusRejected})
		return
	}
	c.accept(a, t)
}

func (a *Request) respondInvalid(c *Core, why string) {
	c.metrics.invalid++
	a.Client.Respond(Response{Status: StatusInvalid, Code: pgwire.CodeInvalidParameterValue, Reason: why})
}
