package capacity

import "dapplerouter/fleet/mesh"

// Kinds of worker process.
const (
	FollowerWorker  = "hollow"
	DiscoveryWorker = "discovery"
	DatabaseWorker  = "databases"
)

// What a worker may be asked for; it answers each Request with one Reply, a line of JSON each way, and ends with its input.
const (
	opStart       = "start"
	opCounters    = "counters"
	opEntryChange = "change"   // discovery: one entry
	opSnapshot    = "whole"    // discovery: the whole list
	opArrivals    = "arrivals" // hollow fronts: when a list or a version came
)

// Request is a question to a worker.
type Request struct {
	Operation string       `json:"do"`
	Settings  *RunSettings `json:"shared,omitempty"`    // start, hollow
	Ordinals  []int        `json:"ordinals,omitempty"`  // start, hollow: the fronts
	Databases int          `json:"databases,omitempty"` // start, databases
	Entries   []Endpoint   `json:"entries,omitempty"`   // start, discovery
	Index     int64        `json:"index,omitempty"`     // arrivals: of a list,
	Version   uint64       `json:"version,omitempty"`   // or of a configuration
}

// Reply is a worker's answer.
type Reply struct {
	Error     string   `json:"fault,omitempty"`
	Address   string   `json:"address,omitempty"`   // of discovery
	Addresses []string `json:"addresses,omitempty"` // of databases
	Index     int64    `json:"index,omitempty"`     // of the list that a change made
	ChangedAt int64    `json:"at_us,omitempty"`     // of the change, Unix microseconds
	Arrivals  []int64  `json:"arrivals_us,omitempty"`
	Counters  Counters `json:"counters"`
}

// Counters are what a process and its fronts spent since their start.
type Counters struct {
	SampledAt       int64   `json:"at_us"`      // Unix microseconds
	Fronts          int     `json:"fronts"`     // in this process
	CPUSeconds      float64 `json:"cpu_s"`      // seconds, user and system
	ResidentBytes   int64   `json:"rss_bytes"`  // VmRSS
	HeapBytes       int64   `json:"heap_bytes"` // in use; 0 of a real front
	Links           int     `json:"links"`
	Sent            uint64  `json:"sent"` // messages
	Received        uint64  `json:"received"`
	SentBytes       uint64  `json:"sent_bytes"`
	ReceivedBytes   uint64  `json:"received_bytes"`
	Shed            uint64  `json:"shed"`  // slow peers that were let go
	Dials           uint64  `json:"dials"` // of the mesh
	UsingSharedList int     `json:"leaning"`
	Watches         int     `json:"watches"`     // discovery: open
	Calls           uint64  `json:"calls"`       // discovery
	Connections     int     `json:"connections"` // databases: open
	Statements      uint64  `json:"statements"`  // databases: probes, as there are no clients
	MinListIndex    int64   `json:"least_index"` // of the endpoint list, at the front that is furthest behind
	LogIndex        uint64  `json:"log_index"`   // of the replicated state, at a real front

	Kinds map[string]KindCounters `json:"kinds,omitempty"` // of messages sent
}

// KindCounters are what was sent of one kind of message.
type KindCounters struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// addKinds adds what one front sent to a process's kinds.
func (c *Counters) addKinds(sent []mesh.KindTotals) {
	if c.Kinds == nil {
		c.Kinds = map[string]KindCounters{}
	}
	for _, k := range sent {
		x := c.Kinds[k.Kind]
		c.Kinds[k.Kind] = KindCounters{x.Messages + k.Messages, x.Bytes + k.Bytes}
	}
}

// Endpoint is an entry of the endpoint list in the service's form.
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
