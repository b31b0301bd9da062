package capacity

import "dapplerouter/fleet/mesh"

// Kinds of worker process, as arguments of its command.
const (
	FollowerWorker  = "hollow" // hosts simulated followers
	DiscoveryWorker = "discovery"
	DatabaseWorker  = "databases"
)

// Operations of workers. A worker answers each Request with one Reply, a line of JSON each way, and ends with its input.
const (
	opStart       = "start"
	opCounters    = "counters"
	opEntryChange = "change"   // discovery: changes one entry
	opSnapshot    = "whole"    // discovery: sends a snapshot of the list
	opArrivals    = "arrivals" // simulated followers: when a list or a configuration arrived
)

// Request is what the supervisor asks of a worker.
type Request struct {
	Operation string       `json:"do"`
	Settings  *RunSettings `json:"shared,omitempty"`    // start, simulated followers
	Ordinals  []int        `json:"ordinals,omitempty"`  // start, simulated followers
	Databases int          `json:"databases,omitempty"` // start, databases
	Entries   []Endpoint   `json:"entries,omitempty"`   // start, discovery
	Index     int64        `json:"index,omitempty"`     // arrivals: of an endpoint list,
	Version   uint64       `json:"version,omitempty"`   // or of a configuration
}

// Reply is a worker's answer.
type Reply struct {
	Error     string   `json:"fault,omitempty"`       // "" for success; a WorkerError at the supervisor
	Address   string   `json:"address,omitempty"`     // of discovery
	Addresses []string `json:"addresses,omitempty"`   // of databases
	Index     int64    `json:"index,omitempty"`       // of the list that a change made
	ChangedAt int64    `json:"at_us,omitempty"`       // Unix microseconds
	Arrivals  []int64  `json:"arrivals_us,omitempty"` // Unix microseconds, by follower; 0 for not yet
	Counters  Counters `json:"counters"`
}

// Counters are what a process and its fronts used since their start. The embedded groups are flat in JSON.
type Counters struct {
	SampledAt int64 `json:"at_us"`  // Unix microseconds
	Fronts    int   `json:"fronts"` // in this process
	ProcessUsage
	MeshCounters
	UsingSharedList int `json:"leaning"` // fronts that have the endpoint list from the fleet
	ServerCounters
	MinListIndex int64  `json:"least_index"` // of the endpoint list, at the front that is furthest behind
	LogIndex     uint64 `json:"log_index"`   // of the replicated state, at a real front

	Kinds map[string]KindCounters `json:"kinds,omitempty"` // messages sent, by kind
}

// ProcessUsage is what a process used of the machine.
type ProcessUsage struct {
	CPUSeconds    float64 `json:"cpu_s"`      // user and system
	ResidentBytes int64   `json:"rss_bytes"`  // VmRSS
	HeapBytes     int64   `json:"heap_bytes"` // in use; 0 of a real front
}

// MeshCounters are what fronts exchanged with their peers. Bytes are frames, without TCP.
type MeshCounters struct {
	Links         int    `json:"links"`
	Sent          uint64 `json:"sent"` // messages
	Received      uint64 `json:"received"`
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Shed          uint64 `json:"shed"` // links to slow peers that were closed
	Dials         uint64 `json:"dials"`
}

// addMesh adds another front's.
func (c *MeshCounters) addMesh(o MeshCounters) {
	c.Links += o.Links
	c.Sent += o.Sent
	c.Received += o.Received
	c.SentBytes += o.SentBytes
	c.ReceivedBytes += o.ReceivedBytes
	c.Shed += o.Shed
	c.Dials += o.Dials
}

// ServerCounters are those of the fake servers.
type ServerCounters struct {
	Watches     int    `json:"watches"`     // discovery: open
	Calls       uint64 `json:"calls"`       // discovery
	Connections int    `json:"connections"` // databases: open; not counted, always 0
	Statements  uint64 `json:"statements"`  // databases: health checks, as there are no clients
}

// KindCounters are the messages of one kind that were sent.
type KindCounters struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// addKinds adds what one front sent.
func (c *Counters) addKinds(sent []mesh.KindTotals) {
	if c.Kinds == nil {
		c.Kinds = map[string]KindCounters{}
	}
	for _, k := range sent {
		x := c.Kinds[k.Kind]
		c.Kinds[k.Kind] = KindCounters{x.Messages + k.Messages, x.Bytes + k.Bytes}
	}
}

// Endpoint is an entry of the endpoint list in the discovery service's JSON.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Type        string  `json:"type"`
	Group       int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	SinceMillis int64   `json:"since_ms"`
	Role        string  `json:"role"`
}
