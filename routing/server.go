package routing

import "time"

// Role is a server's part in its group.
type Role uint8

// Roles of a server.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// LoadReport is what a server reports of itself; a number that it did not report is None (-1).
type LoadReport struct {
	InFlight, Queued float64       // requests
	Position         time.Duration // of its log, where HasPosition
	HasPosition      bool
	Role             Role    // UnknownRole where not reported
	Utilization      float64 // of its processors, 0 to 1
	LatencyMillis    float64 // mean, in milliseconds
	RequestRate      float64 // a second
	ErrorRate        float64 // a second
}

// ServerState is a server's state in the endpoint list.
type ServerState uint8

// States of a server.
const (
	Serving     ServerState = iota
	Draining                // takes no new attempts
	Removed                 // no longer in the list
	Partitioned             // healthy as far as is known, but the network to it is cut: nothing reaches it until it is Serving again
)

var serverStateNames = [...]string{"serving", "draining", "removed", "partitioned"}

// String is the state as logs have it.
func (s ServerState) String() string { return serverStateNames[s] }

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Server, Zone, Kind, Group int // Kind is the server's type of hardware
	State                     ServerState
	Weight                    float64
	Primary                   bool
	StartedAt                 time.Duration
	HasStartTime              bool // false: it started long ago
}

// UpdateKind says how an update of the endpoint list relates to what was listed before.
type UpdateKind uint8

// Kinds of update.
const (
	Delta          UpdateKind = iota // has the entries that changed
	Snapshot                         // has all entries
	CachedSnapshot                   // has all entries, perhaps out of date
	UpdateFailed                     // has none: a call failed or the subscription broke
)
