package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry is a store on the list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
	Role    string  `json:"role,omitempty"`
}

// list is what discovery sends.
type list struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// discovery is the list and its versions. Agents serve it to fronts.
type discovery struct {
	rec *record

	mu      sync.Mutex // guards the fields below
	index   int64
	entries []entry
	changes []list
	life    int           // rises when the service is set up anew
	changed chan struct{} // closed and replaced at each change
}

// setUpAnew ends all watches, as a service that is replaced by a new one with the same list, which counts its versions from its own start.
func (d *discovery) setUpAnew() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index, d.changes = 1, nil
	d.life++
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.printf("discovery is set up anew and has index %d", d.index)
}

func newDiscovery(rec *record, groups ...*group) *discovery {
	d := &discovery{rec: rec, index: 41, changed: make(chan struct{})}
	for id, g := range groups {
		for _, s := range g.stores {
			role := "replica"
			if s.primary {
				role = "primary"
			}
			d.entries = append(d.entries, entry{Name: s.name, Address: s.address(), Zone: s.zone, Type: "std-3core", Group: id, Status: "up", Weight: 1, Role: role})
		}
	}
	return d
}

// snapshot returns the complete list.
func (d *discovery) snapshot() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.index, true, append([]entry{}, d.entries...)}
}

// setStatus changes the status of a store and returns when discovery had the change.
func (d *discovery) setStatus(name, status string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.entries {
		if d.entries[i].Name == name {
			d.entries[i].Status = status
			d.changes = append(d.changes, list{d.index, false, []entry{d.entries[i]}})
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.printf("discovery has index %d: %s is %s", d.index, name, status)
	return time.Now()
}

// agent serves the list to one front, on the front's own machine.
type agent struct {
	name     string
	d        *discovery
	listener net.Listener
	delay    time.Duration // before the first byte of each answer
}

func (d *discovery) startAgent(name string, delay time.Duration) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{name: name, d: d, listener: l, delay: delay}
	go func() { _ = http.Serve(l, a) }()
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// ServeHTTP answers a call for the list, or keeps a watch open.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.d.rec.printf("agent of %s is asked %s", a.name, r.URL.RequestURI())
	select {
	case <-time.After(a.delay):
	case <-r.Context().Done():
		a.d.rec.printf("agent of %s: the call was given up before its answer", a.name)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(a.d.snapshot())
		a.d.rec.printf("agent of %s has sent the whole list", a.name)
		return
	}
	flusher := w.(http.Flusher)
	var after int64
	if json.Unmarshal([]byte(r.URL.Query().Get("after")), &after) != nil {
		after = 0
	}
	a.d.mu.Lock()
	life := a.d.life
	a.d.mu.Unlock()
	for {
		a.d.mu.Lock()
		changed := a.d.changed
		if life != a.d.life {
			a.d.mu.Unlock()
			return
		}
		var due []list
		if after > a.d.index { // a version of an earlier service: the whole list
			due = append(due, list{a.d.index, true, append([]entry{}, a.d.entries...)})
		}
		for _, c := range a.d.changes {
			if c.Index > after {
				due = append(due, c)
			}
		}
		a.d.mu.Unlock()
		for _, c := range due {
			if json.NewEncoder(w).Encode(c) != nil {
				return
			}
			after = c.Index
			a.d.rec.printf("agent of %s has sent index %d on a watch", a.name, after)
		}
		if len(due) == 0 {
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
