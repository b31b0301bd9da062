package fleet

import (
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// EndpointListLease is the lease whose holder follows the discovery service for all fronts.
const EndpointListLease = "list"

// endpointUpdate is a broadcast under EndpointListLease: the complete list, the changes after index After, or without any endpoints
// only that the discovery service answered.
type endpointUpdate struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Complete  bool
	After     int64
	Index     int64
	Endpoints []encodedEndpoint
}

// encodedEndpoint is the encoded form of a discovery.Endpoint in an endpointUpdate.
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

// maxEndpoints is the number of endpoints that an update may have.
const maxEndpoints = 1 << 16

// EndpointList is the list of servers that the holder of EndpointListLease broadcasts. It is a Mirror of these broadcasts. An older
// list never replaces a newer one, whichever front sends it.
type EndpointList struct {
	term         uint64
	index        int64
	known        bool                          // a complete list was received
	endpoints    map[string]discovery.Endpoint // by name
	StaleUpdates int                           // the number of updates that were older than this list
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
	return l.term, uint64(l.index) + 1 // a list may have index 0, but in a Position 0 means an empty mirror
}

// Snapshot implements Mirror.
func (l *EndpointList) Snapshot() []byte {
	if !l.known {
		return nil
	}
	return encodeEndpointUpdate(discovery.List{Index: l.index, Snapshot: true, Endpoints: l.List().Endpoints}, 0)
}

// List returns all endpoints, sorted by name, as a complete list. It has no endpoints where none is known yet, see HasList.
func (l *EndpointList) List() discovery.List {
	all := discovery.List{Index: l.index, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		all.Endpoints = append(all.Endpoints, l.endpoints[name])
	}
	return all
}

// Index returns the index of the list, which is its version at the discovery service.
func (l *EndpointList) Index() int64 { return l.index }

// HasList reports whether a complete list was received.
func (l *EndpointList) HasList() bool { return l.known }

// Apply implements Mirror. Where the update changes the list, news is the update itself. Where it changes nothing and no earlier update is
// missing, news is a heartbeat: an update which says only that the discovery service answered. news is nil for an update that is invalid
// or older than the list, and where behind is true.
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
		return l.EncodeHeartbeat(), false // the list is unchanged, but the service answered
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

// EncodeUpdate encodes an answer of the discovery service as an update for a broadcast: the complete list where list is a snapshot, or
// otherwise the changes after index after. It does not apply the update. It returns an OlderListError where the answer is older than this
// list.
func (l *EndpointList) EncodeUpdate(list discovery.List, after int64) ([]byte, error) {
	if l.known && list.Index < l.index {
		return nil, &OlderListError{Received: list.Index, Known: l.index}
	}
	return encodeEndpointUpdate(list, after), nil
}

// EncodeHeartbeat encodes an update which says only that the discovery service answered.
func (l *EndpointList) EncodeHeartbeat() []byte {
	return encodeEndpointUpdate(discovery.List{Index: l.index}, l.index)
}

// DecodeEndpointUpdate decodes an update. changed is false for an update which says only that the discovery service answered, and for
// data that can't be decoded.
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

// encodeEndpointUpdate encodes a list as an update: complete if list is a snapshot, otherwise as the changes after index after.
func encodeEndpointUpdate(list discovery.List, after int64) []byte {
	update := endpointUpdate{Complete: list.Snapshot, After: after, Index: list.Index}
	for _, e := range list.Endpoints {
		update.Endpoints = append(update.Endpoints, encodedEndpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.ServerType, Group: e.Group,
			State: uint8(e.State), Weight: e.Weight, Primary: e.Primary, Since: e.StartedAtMillis})
	}
	b, err := msgpack.Marshal(&update)
	if err != nil {
		panic(fmt.Sprint("encode an endpoint update: ", err)) // the type is always encodable
	}
	return b
}
