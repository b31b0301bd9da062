package capacity

import "dapplerouter/fleet/mesh"

// Kinds of worker processes. They are arguments of the worker's command.
const (
	FollowerWorker  = "hollow" // hosts simulated followers
	DiscoveryWorker = "discovery"
	DatabaseWorker  = "databases"
)

// Operations of workers. Requests and replies are JSON, one per line. A worker answers each Request with one Reply, and exits at the
// end of its input.
const (
	opStart       = "start"
	opCounters    = "counters"
	opEntryChange = "change"   // discovery: changes one entry
	opSnapshot    = "whole"    // discovery: sends a snapshot of the list
	opArrivals    = "arrivals" // simulated followers: returns when a list or a configuration arrived
)

// Request is a request of the supervisor to a worker.
type Request struct {
	Operation string       `json:"do"`
	Settings  *RunSettings `json:"shared,omitempty"`    // opStart of simulated followers
	Ordinals  []int        `json:"ordinals,omitempty"`  // opStart of simulated followers: which fronts to start
	Databases int          `json:"databases,omitempty"` // opStart of databases: how many to start
	Entries   []Endpoint   `json:"entries,omitempty"`   // opStart of discovery: the endpoint list
	Index     int64        `json:"index,omitempty"`     // opArrivals of an endpoint list: its index
	Version   uint64       `json:"version,omitempty"`   // opArrivals of a configuration: its version; 0 for an endpoint list
}

// Reply is a worker's reply to a Request.
type Reply struct {
	Error     string   `json:"fault,omitempty"`       // "" for success; the supervisor turns it into a WorkerError
	Address   string   `json:"address,omitempty"`     // address of the discovery server
	Addresses []string `json:"addresses,omitempty"`   // addresses of the databases
	Index     int64    `json:"index,omitempty"`       // index of the list after a change
	ChangedAt int64    `json:"at_us,omitempty"`       // when the change was sent; Unix microseconds
	Arrivals  []int64  `json:"arrivals_us,omitempty"` // Unix microseconds, one for each follower; 0 means not yet
	Counters  Counters `json:"counters"`
}

// Counters holds what a process and its fronts have used since they were started. The fields of the embedded structs are flat in JSON.
type Counters struct {
	SampledAt int64 `json:"at_us"`  // Unix microseconds
	Fronts    int   `json:"fronts"` // number of fronts in this process
	ProcessUsage
	MeshCounters
	UsingSharedList int `json:"leaning"` // number of fronts that have the endpoint list from the fleet
	ServerCounters
	MinListIndex int64  `json:"least_index"` // smallest index of the endpoint list at any front of the process
	LogIndex     uint64 `json:"log_index"`   // log index of the replicated state; only for a real front

	Kinds map[string]KindCounters `json:"kinds,omitempty"` // messages sent, by kind
}

// ProcessUsage holds the machine resources that a process has used.
type ProcessUsage struct {
	CPUSeconds    float64 `json:"cpu_s"`      // user and system time
	ResidentBytes int64   `json:"rss_bytes"`  // VmRSS
	HeapBytes     int64   `json:"heap_bytes"` // heap in use; 0 for a real front
}

// MeshCounters holds what fronts have exchanged with their peers, summed over the fronts of the process. Bytes include frames, but not
// TCP overhead.
type MeshCounters struct {
	Links         int    `json:"links"`
	Sent          uint64 `json:"sent"` // messages
	Received      uint64 `json:"received"`
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Shed          uint64 `json:"shed"` // number of links that were closed because the peer was slow
	Dials         uint64 `json:"dials"`
}

// addMesh adds the counters of another front of the same process to the sum.
func (c *MeshCounters) addMesh(o MeshCounters) {
	c.Links += o.Links
	c.Sent += o.Sent
	c.Received += o.Received
	c.SentBytes += o.SentBytes
	c.ReceivedBytes += o.ReceivedBytes
	c.Shed += o.Shed
	c.Dials += o.Dials
}

// ServerCounters holds the counters of the fake servers.
type ServerCounters struct {
	Watches     int    `json:"watches"`     // discovery: open watches
	Calls       uint64 `json:"calls"`       // discovery: requests
	Connections int    `json:"connections"` // databases: open connections; not counted, always 0
	Statements  uint64 `json:"statements"`  // databases: only health checks, because there are no clients
}

// KindCounters counts the messages of one kind that were sent.
type KindCounters struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// addKinds adds the messages that one front has sent, by kind.
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
