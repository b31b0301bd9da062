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

// discovery is the endpoint service: the whole list, and a watch with an empty line every 2 s. A change is written to every open watch at
// once.
type discovery struct {
	mu      sync.Mutex // guards the fields below
	index   int64
	entries []entry
	changes []change
	changed chan struct{} // closed and replaced at each change
	l       net.Listener
}

// change is the new state of one entry, and the version of the list that has it.
type change struct {
	index int64
	entry entry
}

// set changes the status of an entry and returns the time from which all watches are written the change.
func (d *discovery) set(name, status string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.entries {
		if d.entries[i].Name == name {
			d.entries[i].Status = status
			d.index++
			d.changes = append(d.changes, change{d.index, d.entries[i]})
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return time.Now()
}

// after returns the line of the changes after a version, nil for none, and the version that it leads to.
func (d *discovery) after(index int64) (line []byte, now int64, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []entry
	for _, c := range d.changes {
		if c.index > index {
			entries = append(entries, c.entry)
		}
	}
	if entries != nil {
		line, _ = json.Marshal(map[string]any{"index": d.index, "snapshot": false, "endpoints": entries})
		line = append(line, '\n')
	}
	return line, d.index, d.changed
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
	d.mu.Lock()
	defer d.mu.Unlock()
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
	if !watch || err != nil || after < 10 {
		snapshot := d.snapshot()
		if _, after, _ = d.after(0); !watch {
			_, _ = w.Write(snapshot)
			return
		}
		_, _ = w.Write(snapshot)
	}
	for {
		w.(http.Flusher).Flush()
		line, now, changed := d.after(after)
		if line == nil {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				continue
			case <-time.After(2 * time.Second):
				line = []byte("\n")
			}
		}
		if _, err := w.Write(line); err != nil {
			return
		}
		after = now
	}
}
