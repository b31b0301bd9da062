// Package discovery reads the endpoint list from the discovery service: snapshots, and changes as a watch brings them.
//
// Client makes the calls and owns the version read last; Watcher decides which calls are made, owns the watch that runs, and passes
// updates on in order. A list that cannot be read in whole is never passed over: a snapshot comes before any later change.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"dapplerouter/routing"
)

// Endpoint is a server as the endpoint list has it.
type Endpoint struct {
	Name, Address, Zone, ServerType string
	Group                           int64
	State                           routing.ServerState
	Weight                          float64
	Primary                         bool
	StartedAtMillis                 int64 // Unix milliseconds of the last start, 0 for long ago
}

// List is an object of the discovery service: a snapshot of the endpoint list, or what has changed since the version before.
type List struct {
	Index     int64 // version
	Snapshot  bool
	Endpoints []Endpoint
}

// ErrNoIndex says that a list has no version.
var ErrNoIndex = errors.New("a list without index")

// EndpointError says why an endpoint of a list cannot be used.
type EndpointError struct {
	Name    string // "" where that is what is missing
	Problem string
}

// Error implements error.
func (e *EndpointError) Error() string {
	if e.Name == "" {
		return "an entry without name"
	}
	return "entry " + e.Name + ": " + e.Problem
}

var states = map[string]routing.ServerState{"up": routing.Serving, "draining": routing.Draining, "removed": routing.Removed}

// encodedList is a list as the service encodes it.
type encodedList struct {
	Index     *int64
	Snapshot  bool
	Endpoints []encodedEndpoint
}

type encodedEndpoint struct {
	Name, Address, Zone, Type, Status, Role string
	Group                                   *int64
	Weight                                  *float64
	Since                                   int64 `json:"since_ms"`
}

// Decode reads one object. Endpoints that cannot be used are left out and returned as skipped, each an *EndpointError; err means that
// the object as a whole cannot be used.
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

// decode checks an endpoint and fills in what it does not name.
func (e *encodedEndpoint) decode() (Endpoint, error) {
	state, known := states[e.Status]
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
