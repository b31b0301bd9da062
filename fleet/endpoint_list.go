package fleet

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// EndpointListLease is the lease of the front that follows the discovery service for all.
const EndpointListLease = "list"

// endpointUpdate is a broadcast under that lease: the complete list, the changes since index After, or only that the
// service answered.
type endpointUpdate struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Complete  bool
	After     int64
	Index     int64
	Endpoints []encodedEndpoint
}

type encodedEndpoint struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name, Address, Zone, Kind string
	Group                     int64
	State                     uint8
	Weight                    float64
	Primary                   bool
	Since                     int64
}

const maxEndpoints = 1 << 16

// EndpointList is the list of servers that one front of the fleet follows for all: a Mirror of that front's broadcasts. Older
// content never replaces newer content, whoever sends it.
type EndpointList struct {
	term         uint64
	index        int64
	known        bool // a complete list was received
	endpoints    map[string]discovery.Endpoint
	StaleUpdates int // updates that were older than the list here
}

// NewEndpointList returns an empty list.
func NewEndpointList() *EndpointList {
	return &EndpointList{endpoints: map[string]discovery.Endpoint{}}
}

// Position implements Mirror.
func (l *EndpointList) Position() (term, index uint64) {
	if !l.known {
		return l.term, 0
	}
	return l.term, uint64(l.index) + 1 // a list's index may be 0, a Position's 0 is none
}

// Snapshot implements Mirror.
func (l *EndpointList) Snapshot() []byte {
	if !l.known {
		return nil
	}
	return encodeEndpointUpdate(discovery.List{Index: l.index, Snapshot: true, Endpoints: l.List().Endpoints}, 0)
}

// List returns all endpoints, by name.
func (l *EndpointList) List() discovery.List {
	all := discovery.List{Index: l.index, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		all.Endpoints = append(all.Endpoints, l.endpoints[name])
	}
	return all
}

// Index is the list's version.
func (l *EndpointList) Index() int64 { return l.index }

// Known reports whether a complete list was received.
func (l *EndpointList) Known() bool { return l.known }

// Apply implements Mirror. An update that only says that the service answered is passed on where nothing is missing.
func (l *EndpointList) Apply(term uint64, data []byte) (news []byte, behind bool) {
	var update endpointUpdate
	if err := msgpack.Unmarshal(data, &update); err != nil || len(update.Endpoints) > maxEndpoints || update.Index < 0 {
		return nil, false
	}
	l.term = max(l.term, term)
	switch {
	case update.Complete && (!l.known || update.Index > l.index):
		l.endpoints = map[string]discovery.Endpoint{}
	case l.known && update.Index < l.index:
		l.StaleUpdates++
		return nil, false
	case !l.known || !update.Complete && update.After > l.index:
		return nil, true
	case update.Index == l.index:
		return l.EncodeHeartbeat(), false // no change, but the service answers
	}
	l.known, l.index = true, update.Index
	for _, e := range update.Endpoints {
		if routing.ServerState(e.State) == routing.Removed {
			delete(l.endpoints, e.Name)
			continue
		}
		l.endpoints[e.Name] = discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, ServerType: e.Kind, Group: e.Group,
			State: routing.ServerState(e.State), Weight: e.Weight, Primary: e.Primary, StartedAtMillis: e.Since}
	}
	return data, false
}

// EncodeUpdate encodes an answer of the discovery service, as changes since index after. The error is an OlderListError where the
// service returned an older list than is known.
func (l *EndpointList) EncodeUpdate(list discovery.List, after int64) ([]byte, error) {
	if l.known && list.Index < l.index {
		return nil, &OlderListError{Received: list.Index, Known: l.index}
	}
	return encodeEndpointUpdate(list, after), nil
}

// EncodeHeartbeat encodes an update that says only that the discovery service answered.
func (l *EndpointList) EncodeHeartbeat() []byte {
	return encodeEndpointUpdate(discovery.List{Index: l.index}, l.index)
}

// DecodeEndpointUpdate decodes an update; changed reports whether it says more than that the service answered.
func DecodeEndpointUpdate(data []byte) (list discovery.List, changed bool) {
	var update endpointUpdate
	if err := msgpack.Unmarshal(data, &update); err != nil {
		return list, false
	}
	list.Index, list.Snapshot = update.Index, update.Complete
	for _, e := range update.Endpoints {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, ServerType: e.Kind, Group: e.Group,
			State: routing.ServerState(e.State), Weight: e.Weight, Primary: e.Primary, StartedAtMillis: e.Since})
	}
	return list, update.Complete || len(update.Endpoints) > 0
}

func encodeEndpointUpdate(list discovery.List, after int64) []byte {
	update := endpointUpdate{Complete: list.Snapshot, After: after, Index: list.Index}
	for _, e := range list.Endpoints {
		update.Endpoints = append(update.Endpoints, encodedEndpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.ServerType, Group: e.Group,
			State: uint8(e.State), Weight: e.Weight, Primary: e.Primary, Since: e.StartedAtMillis})
	}
	b, err := msgpack.Marshal(&update)
	if err != nil {
		panic(fmt.Sprint("encode an endpoint update: ", err)) // our own types always encode
	}
	return b
}
