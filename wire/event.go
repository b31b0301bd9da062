// Package wire reads the events and writes the actions of the bench: lines of tab-separated name=value parts. The bench's
// own words stay in this package; what leaves it are types of package routing, and ids as they were received.
//
// A Reader and a Writer have no state beyond their buffers, and each belongs to one goroutine. Invariants: a line that can't
// be read is an error that names the line and the field; fields that are not known are ignored; numbers are bounded before
// they are used as an index.
package wire

import (
	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// EventKind is what an Event is about.
type EventKind uint8

// Kinds of events. A batch is BatchStart, events, BatchEnd.
const (
	BatchStart EventKind = iota
	BatchEnd
	InstanceStarted
	InstanceCrashed
	EndpointPage
	EndpointsChanged
	RequestReceived
	AttemptConnected
	AttemptFinished
	ClientGone
	TimerFired
	HealthCheckFinished
	GossipReceived
)

var eventKinds = map[string]EventKind{
	"mark": BatchStart, "your_turn": BatchEnd, "born": InstanceStarted, "crash_now": InstanceCrashed, "catalog": EndpointPage,
	"targets": EndpointsChanged, "order": RequestReceived, "opened": AttemptConnected, "resolved": AttemptFinished,
	"aborted": ClientGone, "alarm": TimerFired, "ping_result": HealthCheckFinished, "neighbour_says": GossipReceived,
}

// Event is one event; the fields of other kinds have no meaning. Byte slices and Page.Entries are valid until the next call
// of Reader.Next.
type Event struct {
	Kind     EventKind
	Batch    Batch          // of BatchStart
	Instance int            // of all kinds but BatchStart, BatchEnd and EndpointPage
	Start    InstanceStart  // of InstanceStarted
	Page     Page           // of EndpointPage
	Update   EndpointUpdate // of EndpointsChanged
	Request  Request        // of RequestReceived; ID is also of ClientGone and the attempt's kinds
	Attempt  Attempt        // of AttemptConnected, AttemptFinished and HealthCheckFinished
	Timer    []byte         // of TimerFired: the token
	Gossip   Gossip         // of GossipReceived
}

// Batch is the start of a batch.
type Batch struct {
	Clock int64 // nanoseconds since the epoch
	ID    []byte
}

// InstanceStart has what an instance is made with.
type InstanceStart struct {
	Seed     uint64
	Settings *deployment.Settings
}

// Page is one page of the endpoint list, to which updates refer by its number.
type Page struct {
	Number  int // 0 to MaxPage
	Entries []Entry
}

// MaxPage is the highest number of a Page.
const MaxPage = 15

// Entry is a server in the endpoint list.
type Entry struct {
	Server, Group    int64
	Zone, ServerType string
	Primary          bool
	State            routing.ServerState
	Weight           float64
	StartedAt        int64 // nanoseconds since the epoch, 0 where not listed
}

// EndpointUpdate is an update of the endpoint list.
type EndpointUpdate struct {
	Kind    routing.UpdateKind
	Page    int // -1 where it failed
	Version int64
}

// Request is a request with the ids as they were received.
type Request struct {
	ID                      []byte
	Type, Customer, Session []byte
	Group                   int64
	Routing                 routing.Request // durations and flags only
}

// Attempt is the outcome of an attempt or a health check.
type Attempt struct {
	Server         int64
	Outcome        routing.AttemptOutcome // without ids, Position and Load
	PositionMillis int64                  // log position, 0 where not reported
	Load           routing.LoadReport     // without Position
	LoadPosition   float64                // log position of the load report in seconds, where Load.HasPosition
}

// Gossip is a message of a peer.
type Gossip struct {
	Peer    int
	Message []byte
}
