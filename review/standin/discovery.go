package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// entry is an entry of the endpoint list.
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

// discovery is the endpoint service: the whole list, and a watch with an empty line every 2 s. No case changes the list.
type discovery struct {
	index   int64
	entries []entry
	l       net.Listener
}

func newDiscovery(groups ...*group) *discovery {
	d := &discovery{index: 10}
	for _, g := range groups {
		for _, s := range g.stores {
			role := "replica"
			if s.index == g.primary {
				role = "primary"
			}
			d.entries = append(d.entries, entry{s.name, s.address(), s.zone, "std-3core", g.id, "up", 1, 0, role})
		}
	}
	var err error
	if d.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err)
	}
	go http.Serve(d.l, http.HandlerFunc(d.serve))
	return d
}

func (d *discovery) address() string { return d.l.Addr().String() }

func (d *discovery) snapshot() []byte {
	b, _ := json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.entries})
	return append(b, '\n')
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	watch := r.URL.Query().Get("watch") != ""
	if !watch || err != nil || after != d.index {
		_, _ = w.Write(d.snapshot())
	}
	for watch {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		if _, err := w.Write([]byte("\n")); err != nil {
			return
		}
	}
}
