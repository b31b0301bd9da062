package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
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

// discovery is the endpoint service: the whole list, and a watch that tells changes, with an empty line every 2 s.
type discovery struct {
	mu      sync.Mutex
	index   int64
	entries []entry
	changes []change
	changed chan struct{}
	l       net.Listener
}

type change struct {
	index int64
	entry entry
}

func newDiscovery(groups ...*group) *discovery {
	d := &discovery{index: 10, changed: make(chan struct{})}
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

// setStatus changes the status of a store.
func (d *discovery) setStatus(name, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.entries {
		if d.entries[i].Name == name {
			d.entries[i].Status = status
			d.changes = append(d.changes, change{d.index, d.entries[i]})
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	if r.URL.Query().Get("watch") == "" {
		b := d.snapshot()
		d.mu.Unlock()
		_, _ = w.Write(b)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 10 || after > d.index {
		after = d.index
		b := d.snapshot()
		d.mu.Unlock()
		_, _ = w.Write(b)
		d.mu.Lock()
	}
	for {
		var fresh []entry
		for _, c := range d.changes {
			if c.index > after {
				fresh = append(fresh, c.entry)
			}
		}
		after = d.index
		index, changed := d.index, d.changed
		d.mu.Unlock()
		if len(fresh) > 0 {
			b, _ := json.Marshal(map[string]any{"index": index, "snapshot": false, "endpoints": fresh})
			if _, err := w.Write(append(b, '\n')); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		d.mu.Lock()
	}
}
