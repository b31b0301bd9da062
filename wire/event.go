// Package wire implements the line protocol of the bench, the program that drives routers through package adapter. It reads events and
// writes actions. Each line has a name and tab-separated fields of the form name=value. The bench's names for events and fields are
// confined to this package, which translates them to types of package routing. Ids are passed on as received.
//
// A Reader and a Writer have no state beyond their buffers. Each must be used by a single goroutine. Invariants: A line that cannot be read
// results in an error that names the line and, if possible, the field. Unknown fields are ignored. Page numbers are checked before they are
// used as an index.
package wire

import (
	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events. A batch consists of BatchStart, any number of other events, and BatchEnd.
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

// eventKinds maps the bench's names of events to their kinds.
var eventKinds = map[string]EventKind{
	"mark": BatchStart, "your_turn": BatchEnd, "born": InstanceStarted, "crash_now": InstanceCrashed, "catalog": EndpointPage,
	"targets": EndpointsChanged, "order": RequestReceived, "opened": AttemptConnected, "resolved": AttemptFinished,
	"aborted": ClientGone, "alarm": TimerFired, "ping_result": HealthCheckFinished, "neighbour_says": GossipReceived,
}

// Event is one event. Only the fields that belong to its Kind are meaningful. Byte slices and Page.Entries are valid until the next call
// of Reader.Next.
type Event struct {
	Kind     EventKind
	Batch    Batch          // for BatchStart
	Instance int            // for all kinds except BatchStart, BatchEnd and EndpointPage
	Start    InstanceStart  // for InstanceStarted
	Page     Page           // for EndpointPage
	Update   EndpointUpdate // for EndpointsChanged
	Request  Request        // for RequestReceived; Request.ID also for ClientGone, AttemptConnected and AttemptFinished
	Attempt  Attempt        // for AttemptConnected, AttemptFinished and HealthCheckFinished
	Timer    []byte         // for TimerFired: the token that was passed to Writer.SetTimer
	Gossip   Gossip         // for GossipReceived
}

// Batch identifies a batch of events.
type Batch struct {
	Clock int64 // time of the batch, in nanoseconds since the epoch
	ID    []byte
}

// InstanceStart is the configuration of a new instance.
type InstanceStart struct {
	Seed     uint64
	Settings *deployment.Settings
}

// Page is a page of the endpoint list. Endpoint updates refer to it by its number.
type Page struct {
	Number  int // 0 to MaxPage
	Entries []Entry
}

// MaxPage is the highest page number.
const MaxPage = 15

// Entry is the entry of a server in a Page.
type Entry struct {
	Server, Group    int64
	Zone, ServerType string
	Primary          bool
	State            routing.ServerState
	Weight           float64
	StartedAt        int64 // in nanoseconds since the epoch; 0 if not listed
}

// EndpointUpdate is an update of the endpoint list.
type EndpointUpdate struct {
	Kind    routing.UpdateKind
	Page    int // -1 for routing.UpdateFailed
	Version int64
}

// Request is a request. Its ids are those that were received.
type Request struct {
	ID                      []byte
	Type, Customer, Session []byte
	Group                   int64
	Routing                 routing.Request // only the durations and flags are set
}

// Attempt is the outcome of an attempt or a health check.
type Attempt struct {
	Server         int64
	Outcome        routing.AttemptOutcome // Ref, Server, Position, HasPosition and Load are not set
	PositionMillis int64                  // log position in milliseconds; 0 if not reported
	Load           routing.LoadReport     // Position is not set
	LoadPosition   float64                // log position in the load report, in seconds, if Load.HasPosition
}

// Gossip is a message from the router of another instance.
type Gossip struct {
	Peer    int
	Message []byte
}
