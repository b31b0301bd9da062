package front

import (
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/port"
)

// Client is where a final answer goes. Answer never blocks.
type Client interface{ Answer(Response) }

// Attended is a Client of which can be told whether it has left, though nobody has noticed so far: a front that was held up finds
// what came meanwhile in some order.
type Attended interface{ Presence() Presence }

// Presence tells so. Departed may be called from any goroutine and does not block. Attempts keep it and outlive their request.
type Presence interface{ Departed() bool }

// Status is the sort of a final answer.
type Status uint8

const (
	Served Status = iota
	Rejected
	Failed
	Senseless // the statement cannot be served: nothing was sent anywhere
	Abandoned // no answer: the client left before. For the audit only
	Words     // how many there are
)

// Response is the one answer of a request.
type Response struct {
	Status Status
	Rows   []byte        // Served: messages as the member gave them
	Come   time.Duration // Rejected: when to come again, 0 for not named
	Code   string        // Senseless
	Reason string

	MayRun  bool          // Rejected: trying again is harmless, but something of it may have run
	Primary bool          // Served: by a primary
	Place   int64         // Served: the position told, Unix milliseconds, 0 for none
	Age     time.Duration // Served: how old the data may have been when the answer came
	Aged    bool          // Age is known
}

// Arrival is a statement in the core. NewArrival makes it.
type Arrival struct {
	Client    Client
	Statement pgwire.Statement
	At        time.Duration
	Most      int // attempts, where fewer than the site allows; 0: as the site does
	ref       port.RequestRef
	expiry    time.Duration
	out       []*Attempt    // without an ending
	spent     int           // attempts made and granted to another site
	mayRun    bool          // something of it may have run:
	ranSince  time.Duration // what went out then
	gone      *atomic.Bool  // the client has left; by itself, since attempts keep it and outlive their request
	typ       int
	terms     *terms // that were in force when it was taken
	span      uint32 // the audit's
}

// NewArrival makes an Arrival of a statement that came in whole at a moment of the core's clock.
func NewArrival(client Client, statement pgwire.Statement, at time.Duration) *Arrival {
	return &Arrival{Client: client, Statement: statement, At: at, gone: new(atomic.Bool)}
}

// Gone tells that the client of an arrival went away.
type Gone struct{ Arrival *Arrival }

// Leave is what tells it: from here on nothing of the request begins to go out, however busy the core is.
func (a *Arrival) Leave() Gone {
	a.gone.Store(true)
	return Gone{a}
}

// take turns names into indices; what names nothing known is answered at once.
func (a *Arrival) take(c *Core, now time.Duration) {
	if c.lapsed || c.shut {
		c.metrics.rejected++
		a.Client.Answer(Response{Status: Rejected, Come: c.comeBack})
		return
	}
	a.terms = c.terms
	s := &a.Statement
	t := port.Request{Customer: port.None, Retry: s.Retry, Write: s.Write}
	var ok bool
	if s.Shape != nil {
		if why := a.class(c, &t); why != "" {
			a.refuse(c, why)
			return
		}
	} else if t.Type, ok = c.typeIDs.Find(string(s.Type)); !ok {
		a.refuse(c, "c names no request type of this site")
		return
	}
	ty := &c.types[t.Type]
	if s.Shape == nil && s.Write != (ty.Consistency == port.Write) {
		a.refuse(c, "the statement does not fit its request type")
		return
	}
	if len(s.Customer) > 0 && c.customers.Len() > 0 {
		if t.Customer, ok = c.customers.Find(string(s.Customer)); !ok {
			a.refuse(c, "t names no customer of this site")
			return
		}
	}
	if _, taken := c.ids[string(s.ID)]; taken {
		a.refuse(c, "id names a request in hand")
		return
	}
	if t.Group, ok = c.groups.Find(s.Group); !ok {
		a.refuse(c, "cluster names no group on the list")
		return
	}
	if _, gone := a.terms.givenUp[s.Group]; gone {
		a.refuse(c, "cluster names a group that is given up")
		return
	}
	t.MaxStaleness, t.DedupWindow = a.terms.types[t.Type].MaxStaleness, a.terms.types[t.Type].DedupWindow
	if (ty.Consistency == port.Write || ty.Consistency == port.ReadYourWrites) && (s.Shape == nil || len(s.Key) > 0) {
		t.Session = Session(s.Key)
	}
	if s.After > 0 {
		t.TokenAge = max(1, now-c.since(s.After))
	}
	if now >= a.At+s.Wait { // it waited for so long behind others of its connection, or for the core
		c.metrics.rejected++
		a.Client.Answer(Response{Status: Rejected})
		return
	}
	c.admit(a, t)
}

func (a *Arrival) refuse(c *Core, why string) {
	c.metrics.senseless++
	a.Client.Answer(Response{Status: Senseless, Code: pgwire.BadValue, Reason: why})
}
