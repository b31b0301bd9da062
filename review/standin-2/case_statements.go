package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	cases["parenthesized-join"] = parenthesizedJoin
}

// classing is a site with one front that classifies statements, before one group of three stores.
func (r *run) classing(form string) (*front, *group, error) {
	s := site{zones: []string{"thapathali"}, fronts: 1}
	g, err := startGroup(r.rec, 0, 3, s.zones, 20*time.Millisecond)
	if err != nil {
		return nil, nil, err
	}
	d := newDiscovery(r.rec, g)
	a, err := d.startAgent("n0", 0)
	if err != nil {
		return nil, nil, err
	}
	f, err := r.addFront("n0", "thapathali", s, 0, a.address(), d.snapshot())
	if err != nil {
		return nil, nil, err
	}
	if err := f.setFile(form); err != nil {
		return nil, nil, err
	}
	return f, g, f.start()
}

// resetEveryFourth resets the connection of the first run of every fourth request, once the store has run it.
func (r *run) resetEveryFourth(g *group) {
	seen := 0
	for _, s := range g.stores {
		s.after = func(_ string, run int) verdict {
			if run != 1 {
				return answers
			}
			if seen++; r.trouble && seen%4 == 0 {
				return resets
			}
			return answers
		}
	}
}

// askAndCheck sends requests one after the other, and checks that none took effect twice and that none was declined that took effect.
func (r *run) askAndCheck(f *front, g *group, requests int, statement func(id string) string) error {
	served := 0
	for i := range requests {
		id := fmt.Sprintf("%016x", 0x1b1f03aa5c000000+i)
		a := ask(r.rec, f, id, statement(id), time.Second)
		switch {
		case a.err == nil && a.code == "":
			served++
		case (a.code == "53300" || a.code == "57P03") && g.timesApplied(id) > 0:
			r.breaks("request %s was declined with %s, which promises that it had no effect, and took effect %d times", id, a.code, g.timesApplied(id))
		}
	}
	if served < requests/2 {
		return fmt.Errorf("only %d of %d requests were served", served, requests)
	}
	for _, id := range g.appliedMoreThanOnce() {
		r.breaks("request %s took effect %d times", id, g.timesApplied(id))
	}
	r.say("%d requests, %d served, %d took effect more than once", requests, served, len(g.appliedMoreThanOnce()))
	return nil
}

// parenthesizedJoin asks for a view that writes, which the operator's file lists as writing, within a join in parentheses.
func parenthesizedJoin(r *run) error {
	f, g, err := r.classing(`(classing (functions (writes busy_view)) (undeclared-writes once-only))`)
	if err != nil {
		return err
	}
	for _, s := range g.stores {
		s.effectOf = func(sql string) effect {
			if strings.Contains(sql, "busy_view") {
				return writes // the view calls a function that writes
			}
			return plainEffect(sql)
		}
	}
	r.resetEveryFourth(g)
	return r.askAndCheck(f, g, 20, func(id string) string {
		return fmt.Sprintf("SELECT b.seat FROM (slots s JOIN busy_view b ON s.id = b.slot) WHERE s.house = '7f3a9c21e0b4d655'"+
			" /* id=%s,c=slot-browse,d=1000,cluster=0 */", id)
	})
}
