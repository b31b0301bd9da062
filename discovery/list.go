// Package discovery reads the endpoint list from the discovery service: snapshots, and the changes that a watch receives.
//
// Client makes the calls and owns the version read last. Watcher decides which calls are made, owns the running watch, and
// delivers updates in order. Any part of a list that cannot be read is recovered by a snapshot before any later change is
// delivered.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"dapplerouter/routing"
)

// Endpoint is a server as described by the endpoint list.
type Endpoint struct {
	Name, Address, Zone, ServerType string
	Group                           int64
	State                           routing.ServerState
	Weight                          float64
	Primary                         bool
	StartedAtMillis                 int64 // Unix milliseconds of the last start, 0 if the list has no start time
}

// List is one object of the discovery service: a snapshot of the endpoint list, or the changes since the previous version.
type List struct {
	Index     int64 // version
	Snapshot  bool  // the list is complete; otherwise it has only the changed endpoints
	Endpoints []Endpoint
}

// ErrNoIndex means that a list has no index (version).
var ErrNoIndex = errors.New("a list without index")

// EndpointError is the reason why an endpoint of a list was skipped.
type EndpointError struct {
	Name    string // empty if the endpoint has no name
	Problem string
}

// Error implements error.
func (e *EndpointError) Error() string {
	if e.Name == "" {
		return "an entry without name"
	}
	return "entry " + e.Name + ": " + e.Problem
}

// statesByStatus maps the status of an endpoint, as the service writes it, to a server state.
var statesByStatus = map[string]routing.ServerState{"up": routing.Serving, "draining": routing.Draining, "removed": routing.Removed}

// encodedList is a list as the service encodes it in JSON.
type encodedList struct {
	Index     *int64
	Snapshot  bool
	Endpoints []encodedEndpoint
}

// encodedEndpoint is an endpoint as the service encodes it in JSON. The pointers are nil where a field is missing.
type encodedEndpoint struct {
	Name, Address, Zone, Type, Status, Role string
	Group                                   *int64
	Weight                                  *float64
	Since                                   int64 `json:"since_ms"`
}

// Decode reads one JSON object. Endpoints that cannot be used are left out of the list and returned as skipped, each as an
// *EndpointError. err means that the whole object cannot be used.
func Decode(data []byte) (l List, skipped []error, err error) {
	var raw encodedList
	if err := json.Unmarshal(data, &raw); err != nil {
		return l, nil, fmt.Errorf("a list that is no JSON: %w", err)
	}
	if raw.Index == nil {
		return l, nil, ErrNoIndex
	}
	l.Index, l.Snapshot = *raw.Index, raw.Snapshot
	for _, e := range raw.Endpoints {
		endpoint, err := e.decode()
		if err != nil {
			skipped = append(skipped, err)
			continue
		}
		l.Endpoints = append(l.Endpoints, endpoint)
	}
	return l, skipped, nil
}

// decode validates an endpoint and sets defaults for missing fields. The error is an *EndpointError.
func (e *encodedEndpoint) decode() (Endpoint, error) {
	state, known := statesByStatus[e.Status]
	problem := ""
	switch {
	case e.Name == "":
		problem = "no name"
	case !known:
		problem = fmt.Sprintf("unknown status %q", e.Status)
	case e.Address == "" && state != routing.Removed:
		problem = "no address"
	case e.Group == nil:
		problem = "no group"
	}
	if problem != "" {
		return Endpoint{}, &EndpointError{Name: e.Name, Problem: problem}
	}
	weight := 1.0
	if e.Weight != nil {
		weight = *e.Weight
	}
	return Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, ServerType: e.Type, Group: *e.Group, State: state, Weight: weight,
		Primary: e.Role == "primary", StartedAtMillis: e.Since}, nil
}
