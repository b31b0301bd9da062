package main

import (
	"syscall"
	"time"
)

func init() { cases["drain"] = drainCase }

// drainCase plays a fleet of four fronts, three of them voters, whose settings are those of a front that gets its list pushed. The front
// that holds the lease "list" is killed, and just then a replica begins to drain: discovery writes that to every watch that is open, and
// has it for every front. The rule: nothing new goes to the replica later than the grace after that.
func drainCase(s *setup) int {
	const (
		grace = 2*time.Second + 50*time.Millisecond
		slack = 50 * time.Millisecond // for the way of a statement from the front's socket to the store's reading
	)
	g := newGroup(s.rec, 1, []string{"s-1", "s-2", "s-3"}, []string{"thapathali", "baneshwor", "lalitpur"}, 2*time.Second)
	d := newDiscovery(g)
	fronts, err := fleetOf(s, d, 4, 3, 2*time.Second, nil)
	defer func() {
		for _, f := range fronts {
			f.kill()
		}
	}()
	if err != nil {
		s.rec.say("the case could not run: %v", err)
		return cannot
	}
	holder, err := settled(fronts, 30*time.Second)
	if err != nil {
		s.rec.say("the case could not run: %v", err)
		return cannot
	}
	s.rec.say("the fleet has settled; %s holds the lease of the list", holder)
	l := newLoad(s.rec)
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			if f := fronts[i%len(fronts)]; f.alive() {
				l.read(f.listen, "slot-browse", 1, time.Second)
			}
		}
	}()
	time.Sleep(4 * time.Second)
	if s.trouble {
		for _, f := range fronts {
			if f.name == holder {
				f.signal(syscall.SIGKILL)
				<-f.done
				s.rec.say("%s, which holds the lease of the list, is killed", holder)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	told := d.set("s-3", "draining")
	s.rec.say("discovery lists s-3 as draining, and has it for every front")
	time.Sleep(9 * time.Second)
	close(stop)
	l.wait()
	l.report()
	late, last, before := 0, time.Duration(0), 0
	g.mu.Lock()
	for _, e := range g.sends {
		if e.store != "s-3" {
			continue
		}
		after := e.at.Sub(told)
		if after < 0 {
			before++
			continue
		}
		last = max(last, after)
		if after > grace+slack {
			late++
		}
	}
	g.mu.Unlock()
	s.rec.say("s-3 got %d statements before the drain; after it the last one came at %d ms; %d came later than the grace of 2,000 ms, its 50 ms and %d ms more",
		before, last.Milliseconds(), late, slack.Milliseconds())
	if before < 20 {
		s.rec.say("the case could not run: too few statements went to s-3")
		return cannot
	}
	if late > 0 {
		s.rec.say("BROKEN: new work went to a server that drains, later than the grace")
		return broken
	}
	return held
}
