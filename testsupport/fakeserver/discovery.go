package fakeserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"
)

// ServeEndpoints serves the endpoint list over HTTP like the discovery service: a snapshot, and a watch that stays open with a
// heartbeat each second. The caller must close the server.
func (g *Group) ServeEndpoints() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := w.Write(g.EndpointSnapshot()); err != nil {
			return // the client is gone
		}
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for {
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
			}
		}
	}))
}

// EndpointSnapshot returns a snapshot of the endpoint list in the JSON of the discovery service. It lists the servers of this
// group and the foreign servers.
func (g *Group) EndpointSnapshot() []byte {
	type entry struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		Since   int64   `json:"since_ms"`
		Role    string  `json:"role"`
	}
	var entries []entry
	for _, s := range append(append([]*Server{}, g.Servers...), g.ForeignServers...) {
		role := "replica"
		if s.isPrimary() {
			role = "primary"
		}
		name := s.Name
		if s.group != g { // servers of different groups have the same names
			name = fmt.Sprintf("guest-%d-%s", s.group.ID, name)
		}
		entries = append(entries, entry{name, s.Address(), "a", "m", s.group.ID, "up", 1, 0, role})
	}
	b, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": entries})
	if err != nil {
		panic(fmt.Sprint("encode the endpoint list: ", err))
	}
	return b
}
