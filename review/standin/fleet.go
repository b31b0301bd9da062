package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// fleetOf starts fronts that know one another. The first voters of them are voters.
func fleetOf(s *setup, d *discovery, fronts, voters int, window time.Duration, forms func(dir string) string) ([]*front, error) {
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	mesh := make([]string, fronts)
	var names []string
	for i := range fronts {
		mesh[i] = freeAddress()
		if i < voters {
			names = append(names, fmt.Sprintf("(n%d %q)", i+1, mesh[i]))
		}
	}
	var all []*front
	for i := range fronts {
		name := fmt.Sprintf("n%d", i+1)
		dir := filepath.Join(s.dir, name)
		operator := fmt.Sprintf("(fleet (id \"57f4fae48e0bb236\") (listen %q) (voters %s) (plain loopback) (control %q)", mesh[i], strings.Join(names, " "),
			filepath.Join(dir, "ctl"))
		if i < voters {
			operator += fmt.Sprintf(" (voter %q)", filepath.Join(dir, "fleet.db"))
		}
		operator += ")\n"
		if forms != nil {
			operator += forms(dir)
		}
		listen := freeAddress()
		f := newFront(s.root, s.run, "", s.dir, name, listen, configuration(name, listen, d, site{zones, zones[i%3], fronts, i, window}), operator)
		all = append(all, f)
		if err := f.start(); err != nil {
			return all, err
		}
	}
	for _, f := range all {
		if err := f.ready(15 * time.Second); err != nil {
			return all, err
		}
	}
	return all, nil
}

func (f *front) control() string { return filepath.Join(f.dir, "ctl") }

// fleetStatus is what `fleet status --json` says, as far as the cases need it.
type fleetStatus struct {
	Alone  bool   `json:"alone"`
	Leader string `json:"gives"`
	Fronts []struct {
		Name string `json:"name"`
	} `json:"fronts"`
	Duties []struct {
		Duty   string `json:"duty"`
		Holder string `json:"holder"`
	} `json:"duties"`
	Leans bool `json:"leans"`
}

func (st *fleetStatus) holder(lease string) string {
	for _, d := range st.Duties {
		if d.Duty == lease {
			return d.Holder
		}
	}
	return ""
}

func (f *front) status() (st fleetStatus, err error) {
	out, err := f.program("fleet", "status", "--json", "--control", f.control())
	if err == nil {
		err = json.Unmarshal([]byte(out), &st)
	}
	return st, err
}

// rollStatus is what `fleet roll status --json` says, as far as the cases need it.
type rollStatus struct {
	Phase string `json:"phase"`
	Base  uint64 `json:"base"`
	Next  uint64 `json:"next"`
	Acts  uint64 `json:"acts"`
}

func (f *front) rollStatus() (st rollStatus, err error) {
	out, err := f.program("fleet", "roll", "status", "--json", "--control", f.control())
	if err == nil {
		err = json.Unmarshal([]byte(out), &st)
	}
	return st, err
}

// settled waits until all fronts name each other and the lease of the list has a holder, from whom all others take the list.
func settled(all []*front, within time.Duration) (holder string, err error) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		holder = ""
		ok := true
		for _, f := range all {
			st, err := f.status()
			if err != nil || st.Alone || len(st.Fronts) != len(all) || st.holder("list") == "" || !st.Leans {
				ok = false
				break
			}
			holder = st.holder("list")
		}
		if ok {
			return holder, nil
		}
	}
	return "", fmt.Errorf("the fleet did not settle")
}
