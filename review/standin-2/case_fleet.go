package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["discovery-anew"] = discoveryAnew }

// fleet is a site of fronts that are a fleet.
type fleet struct {
	*run
	site    site
	groups  []*group
	d       *discovery
	fronts  []*front
	meshes  []string
	control []string
}

// fleetOptions describe a fleet.
type fleetOptions struct {
	fronts, voters int
	leaseDuration  time.Duration
	forms          func(name string, dir string) string // further forms of a front's file
}

// startFleet starts a fleet before the given groups and waits until one front holds the lease of the endpoint list.
func (r *run) startFleet(s site, groups []*group, o fleetOptions) (*fleet, error) {
	fl := &fleet{run: r, site: s, groups: groups, d: newDiscovery(r.rec, groups...)}
	for i := range o.fronts {
		name := fmt.Sprintf("n%d", i)
		a, err := fl.d.startAgent(name, 0)
		if err != nil {
			return nil, err
		}
		f, err := r.addFront(name, s.zones[i%len(s.zones)], s, i, a.address(), fl.d.snapshot())
		if err != nil {
			return nil, err
		}
		mesh, err := freeAddress()
		if err != nil {
			return nil, err
		}
		fl.fronts, fl.meshes, fl.control = append(fl.fronts, f), append(fl.meshes, mesh), append(fl.control, filepath.Join(f.dir, "ctl"))
	}
	var voters strings.Builder
	for i := range o.voters {
		fmt.Fprintf(&voters, " (n%d %q)", i, fl.meshes[i])
	}
	for i, f := range fl.fronts {
		voter := ""
		if i < o.voters {
			voter = fmt.Sprintf("(voter %q)", filepath.Join(f.dir, "fleet.db"))
		}
		form := fmt.Sprintf("(fleet (id \"57f4fae48e0bb236\") (listen %q) (lease-duration %v) (plain loopback) (control %q) (voters%s) %s)\n",
			fl.meshes[i], o.leaseDuration, fl.control[i], voters.String(), voter)
		if o.forms != nil {
			form += o.forms(f.name, f.dir)
		}
		if err := f.setFile(form); err != nil {
			return nil, err
		}
	}
	errs := make(chan error, len(fl.fronts))
	for _, f := range fl.fronts {
		go func() { errs <- f.start() }()
	}
	for range fl.fronts {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if fl.holder("list", 0) != nil {
			return fl, nil
		}
	}
	return nil, fmt.Errorf("no front holds the lease list")
}

// command runs an operator's command at a front and returns what it printed.
func (fl *fleet) command(at int, arguments ...string) (string, error) {
	out, err := exec.Command("bin/dapplerouter", append(arguments, "--control", fl.control[at])...).CombinedOutput()
	return string(out), err
}

// holder returns the front that holds a lease, as the front at knows it.
func (fl *fleet) holder(lease string, at int) *front {
	out, _ := fl.command(at, "fleet", "leases", "--json")
	for line := range strings.Lines(out) {
		var l map[string]any
		if json.Unmarshal([]byte(line), &l) != nil {
			continue
		}
		values := map[string]string{}
		for k, v := range l {
			values[strings.ToLower(k)] = fmt.Sprint(v)
		}
		if values["lease"] != lease && values["duty"] != lease && values["name"] != lease {
			continue
		}
		for _, f := range fl.fronts {
			if values["leaseholder"] == f.name || values["holder"] == f.name {
				return f
			}
		}
	}
	return nil
}

// discoveryAnew replaces discovery by one that counts its versions from its own start, and drains a store later.
func discoveryAnew(r *run) error {
	s := site{zones: []string{"thapathali"}, fronts: 5}
	g, err := startGroup(r.rec, 0, 4, s.zones, 20*time.Millisecond)
	if err != nil {
		return err
	}
	fl, err := r.startFleet(s, []*group{g}, fleetOptions{fronts: 5, voters: 3, leaseDuration: 3 * time.Second})
	if err != nil {
		return err
	}
	var change drained
	late := r.watchDrained(g.stores[1], change.get, silentTold+drainGrace+slack+holdUp)
	time.Sleep(4 * time.Second) // a quiet time, in which all fronts take the list from its leaseholder
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	for _, f := range fl.fronts {
		for range 4 { // one client at a time would leave all of a front's reads at one replica
			done.Add(1)
			go r.browser(f, 15*time.Millisecond, stop, done)
		}
	}
	time.Sleep(time.Second)
	if r.trouble {
		fl.d.setUpAnew()
	}
	time.Sleep(3 * time.Second)
	change.set(fl.d.setStatus(g.stores[1].name, "draining"))
	time.Sleep(30 * time.Second)
	close(stop)
	done.Wait()
	n, latest := late()
	r.say("%d statements reached the draining store late, the last one %v after discovery had the change", n, latest.Round(time.Millisecond))
	if n > 0 {
		r.breaks("%d statements were sent to a draining store more than %v after discovery had the change, the last one after %v", n,
			silentTold+drainGrace+slack, latest.Round(time.Millisecond))
	}
	return nil
}
