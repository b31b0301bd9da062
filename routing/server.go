package routing

import "time"

// Role is the role of a server in its group.
type Role uint8

// Roles of a server.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// LoadReport is what a server reports about itself. A number that it did not report is None (-1).
type LoadReport struct {
	InFlight, Queued float64       // requests
	Position         time.Duration // position of the server's log; valid if HasPosition
	HasPosition      bool
	Role             Role    // UnknownRole if not reported
	Utilization      float64 // processor utilization, 0 to 1
	LatencyMillis    float64 // mean latency in milliseconds
	RequestRate      float64 // requests per second
	ErrorRate        float64 // errors per second
}

// ServerState is the state of a server in the endpoint list.
type ServerState uint8

// States of a server.
const (
	Serving     ServerState = iota
	Draining                // accepts no new attempts
	Removed                 // no longer in the list
	Partitioned             // healthy as far as is known, but the network to it is cut: nothing reaches it until it is Serving again
)

// serverStateNames are the names of the states in logs, by ServerState.
var serverStateNames = [...]string{"serving", "draining", "removed", "partitioned"}

// String returns the state as written in logs.
func (s ServerState) String() string { return serverStateNames[s] }

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Server, Zone, ServerType, Group int // ServerType is the hardware type of the server
	State                           ServerState
	Weight                          float64
	Primary                         bool
	StartedAt                       time.Duration
	HasStartTime                    bool // false if the server started long ago
}

// UpdateKind says how an update of the endpoint list relates to the previous list.
type UpdateKind uint8

// Kinds of update.
const (
	Delta          UpdateKind = iota // contains the entries that changed
	Snapshot                         // contains all entries
	CachedSnapshot                   // contains all entries, but may be out of date
	UpdateFailed                     // contains no entries: a call failed or the subscription broke
)
