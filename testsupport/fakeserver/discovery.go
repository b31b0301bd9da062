package fakeserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"
)

// ServeEndpoints serves the endpoint list over HTTP as the discovery service does: a snapshot, and a watch that stays open with a heartbeat
// each second. The caller closes the server.
func (g *Group) ServeEndpoints() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := w.Write(g.EndpointSnapshot()); err != nil {
			return // the client has gone
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

// EndpointSnapshot is the snapshot in the discovery service's JSON.
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
	var all []entry
	for _, m := range append(append([]*Server{}, g.Servers...), g.ForeignServers...) {
		role := "replica"
		if m.primary() {
			role = "primary"
		}
		name := m.Name
		if m.group != g { // servers of two groups have the same names
			name = fmt.Sprintf("guest-%d-%s", m.group.ID, name)
		}
		all = append(all, entry{name, m.Address(), "a", "m", m.group.ID, "up", 1, 0, role})
	}
	b, err := json.Marshal(map[string]any{"index": 1, "snapshot": true, "endpoints": all})
	if err != nil {
		panic(fmt.Sprint("encode the endpoint list: ", err))
	}
	return b
}
