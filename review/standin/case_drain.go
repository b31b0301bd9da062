package main

import (
	"slices"
	"syscall"
	"time"
)

func init() { cases["drain"] = drainCase }

// drainCase: the front that watches discovery for the fleet is killed together with a second voter, so that no other front can be given its
// lease. Half a second later a store begins to drain. The other fronts still reach discovery. Nothing new may go to the store once they
// count as told and the grace is over.
func drainCase(s *setup) int {
	const (
		fronts = 9
		voters = 3
		told   = 6 * time.Second // at the latest, whether it arrived or not
		grace  = 2 * time.Second
		slack  = 200 * time.Millisecond // 0.15 s for a front that is held up, 50 ms on sockets
		length = 25 * time.Second       // after the change of the list
	)
	rec := s.rec
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	g := newGroup(rec, 2, []string{"s-0", "s-1", "s-2", "s-3"}, zones, 2*time.Second)
	g.bound["slot-browse"] = 3 * time.Second
	d := newDiscovery(g)
	all, err := fleetOf(s, d, fronts, voters, 2*time.Second, nil)
	for _, f := range all {
		defer f.kill()
	}
	if err == nil {
		_, err = settled(all, 25*time.Second)
	}
	if err != nil {
		rec.say("%v", err)
		return cannot
	}
	load := newLoad(rec)
	begin := time.Now()
	var changed time.Time
	killed := false
	var down, up []*front
	for n := 0; changed.IsZero() || time.Since(changed) < length; n++ {
		if !killed && time.Since(begin) > 6*time.Second {
			killed = true
			down = holderAndMajority(all, voters)
			if len(down) == 0 {
				rec.say("the list's lease has no holder")
				return cannot
			}
			if s.trouble {
				for _, f := range down {
					f.signal(syscall.SIGKILL)
					rec.say("%s is killed", f.name)
				}
			}
		}
		if changed.IsZero() && killed && time.Since(begin) > 6500*time.Millisecond {
			changed = time.Now()
			g.setDraining("s-3")
			d.setStatus("s-3", "draining")
			rec.say("s-3 drains; discovery has it at once")
		}
		up = up[:0]
		for _, f := range all {
			if !slices.Contains(down, f) {
				up = append(up, f)
			}
		}
		f := up[n%len(up)]
		load.read(f.listen, "slot-browse", 2, time.Second)
		if n%6 == 0 {
			load.write(f.listen, 2, 2*time.Second)
		}
		time.Sleep(12 * time.Millisecond)
	}
	load.wait()
	load.report()
	by := map[string]*request{}
	for _, q := range load.all {
		by[q.id] = q
	}
	late := map[string]int{}
	last := map[string]time.Duration{}
	total, sent := 0, 0
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.sends {
		q := by[e.id]
		if e.store != "s-3" || q == nil {
			continue
		}
		since := e.at.Sub(changed)
		sent++
		last[q.front] = max(last[q.front], since)
		if since > told+grace+slack {
			late[q.front]++
			total++
		}
	}
	for _, f := range up {
		rec.say("%s: the last attempt to s-3 came %d ms after the change of the list; %d came later than allowed", f.name, last[f.listen].Milliseconds(), late[f.listen])
	}
	if total > 0 {
		rec.say("BROKEN: %d attempts were sent to s-3 more than %d ms after the list called it draining", total, (told + grace + slack).Milliseconds())
	}
	alive := true
	for _, f := range up {
		alive = alive && f.alive()
	}
	switch {
	case total > 0:
		return broken
	case !alive || sent == 0 || load.count("read", "served") == 0:
		rec.say("the case did not run as intended")
		return cannot
	}
	return held
}

// holderAndMajority returns the holder of the list's lease, and as many voters as leave the others without a majority, the leader among them.
func holderAndMajority(all []*front, voters int) (down []*front) {
	st, err := all[len(all)-1].status()
	if err != nil {
		return nil
	}
	add := func(f *front) {
		if !slices.Contains(down, f) {
			down = append(down, f)
		}
	}
	lost := func() (n int) {
		for _, f := range all[:voters] {
			if slices.Contains(down, f) {
				n++
			}
		}
		return n
	}
	for _, f := range all {
		if f.name == st.holder("list") {
			add(f)
		}
	}
	if len(down) == 0 {
		return nil
	}
	for _, f := range all[:voters] {
		if f.name == st.Leader {
			add(f)
		}
	}
	for _, f := range all[:voters] {
		if lost() <= voters/2 {
			add(f)
		}
	}
	return down
}

// setDraining makes a store turn new work away.
func (g *group) setDraining(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = name
}
