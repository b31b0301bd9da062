// Package discovery reads the list of members: whole when asked, and its changes as they come.
package discovery

import (
	"encoding/json"
	"fmt"

	"dapplerouter/routing"
)

// Endpoint is a line of the list, in the list's own names.
type Endpoint struct {
	Name, Address, Zone, ServerType string
	Group                           int64
	State                           routing.ServerState
	Weight                          float64
	Primary                         bool
	StartedAtMillis                 int64 // Unix milliseconds of the last start, 0 for long ago
}

// List is one object of the list's service.
type List struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

var states = map[string]routing.ServerState{"up": routing.Serving, "draining": routing.Draining, "removed": routing.Removed}

// Decode reads one object. Entries that say nothing usable are left out and returned as faults; err means
// that the object as a whole is none.
func Decode(data []byte) (l List, faults []error, err error) {
	var raw struct {
		Index     *int64
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Zone, Type, Status, Role string
			Group                                   *int64
			Weight                                  *float64
			Since                                   int64 `json:"since_ms"`
		}
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return l, nil, fmt.Errorf("a list that is no JSON: %w", err)
	}
	if raw.Index == nil {
		return l, nil, fmt.Errorf("a list without index")
	}
	l.Index, l.Snapshot = *raw.Index, raw.Snapshot
	for _, e := range raw.Endpoints {
		state, ok := states[e.Status]
		switch {
		case e.Name == "":
			faults = append(faults, fmt.Errorf("an entry without name"))
		case !ok:
			faults = append(faults, fmt.Errorf("entry %s: unknown status %q", e.Name, e.Status))
		case e.Address == "" && state != routing.Removed:
			faults = append(faults, fmt.Errorf("entry %s: no address", e.Name))
		case e.Group == nil:
			faults = append(faults, fmt.Errorf("entry %s: no group", e.Name))
		default:
			weight := 1.0
			if e.Weight != nil {
				weight = *e.Weight
			}
			l.Endpoints = append(l.Endpoints, Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, ServerType: e.Type,
				Group: *e.Group, State: state, Weight: weight, Primary: e.Role == "primary", StartedAtMillis: e.Since})
		}
	}
	return l, faults, nil
}
