package main

import (
	"fmt"
	"time"
)

func init() { cases["gateway"] = gatewayCase }

// gatewayCase plays two sites with a gateway each. Group 3 lives at pokhara; clients of kathmandu write to it over the link. The primary of
// group 3 dies, and a replica takes over later. The rule: a referenced request that may have run is not sent again after the time for which
// its group drops a repeat.
func gatewayCase(s *setup) int {
	const (
		window   = 3 * time.Second // for which the group drops a repeat
		deadline = 5 * time.Second
		slack    = 50 * time.Millisecond
		takeover = 3220 * time.Millisecond // from the primary's end until a replica has taken over
	)
	writeDeadline, withoutReport = deadline, true
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	g1 := newGroup(s.rec, 1, []string{"k-1", "k-2"}, zones, window)
	g3 := newGroup(s.rec, 3, []string{"p-1", "p-2", "p-3", "k-3"}, zones, window)
	g3.writeWork, g3.ship = 45*time.Millisecond, 15*time.Millisecond
	dk, dp := newDiscovery(g1), newDiscovery(g3)
	dk.entries, dp.entries = append(dk.entries, dp.entries[3]), dp.entries[:3] // kathmandu's copy of group 3
	listenK, listenP, hop := freeAddress(), freeAddress(), freeAddress()
	at := site{zones: zones, zone: zones[0], size: 1, window: window}
	p := newFront(s.root, s.run, " gateway", s.dir, "pokhara", listenP, configuration("pokhara", listenP, dp, at),
		fmt.Sprintf("(gateway (here pokhara) (peer kathmandu (listen %q) (groups 1) (plain loopback)))\n", hop))
	k := newFront(s.root, s.run, " gateway", s.dir, "kathmandu", listenK, configuration("kathmandu", listenK, dk, at),
		fmt.Sprintf("(gateway (here kathmandu) (peer pokhara (address %q) (groups 3) (plain loopback)))\n", hop))
	defer p.kill()
	defer k.kill()
	for _, f := range []*front{p, k} {
		if err := f.start(); err != nil {
			s.rec.say("the case could not run: %v", err)
			return cannot
		}
	}
	for _, f := range []*front{p, k} {
		if err := f.ready(15 * time.Second); err != nil {
			s.rec.say("the case could not run: %v", err)
			return cannot
		}
	}
	time.Sleep(2 * time.Second)
	l := newLoad(s.rec)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			l.read(k.listen, "slot-browse", 3, time.Second)
		}
	}()
	pair := func() { // two diners book at nearly the same time
		l.write(k.listen, 3, deadline)
		time.Sleep(15 * time.Millisecond)
		l.write(k.listen, 3, deadline)
	}
	for range 20 {
		pair()
		time.Sleep(200 * time.Millisecond)
	}
	pair()
	time.Sleep(55 * time.Millisecond) // the primary has answered the first, and has run the second
	if s.trouble {
		g3.stores[0].die()
		s.rec.say("the primary p-1 dies; its connections are reset and new ones refused")
		time.Sleep(takeover)
		g3.stores[1].become()
		s.rec.say("p-2 has taken over")
	}
	time.Sleep(6 * time.Second)
	close(stop)
	l.wait()
	l.report()
	g3.mu.Lock()
	defer g3.mu.Unlock()
	first, ran := map[string]time.Time{}, map[string]int{}
	for _, r := range g3.runs {
		ran[r.key]++
	}
	late, twice := 0, 0
	for _, e := range g3.sends {
		if e.key == "" {
			continue
		}
		if at, known := first[e.key]; !known {
			first[e.key] = e.at
		} else if e.at.Sub(at) > window+slack {
			late++
			s.rec.say("k=%s was sent to %s again %d ms after it was first sent; the group drops repeats for %d ms; it ran %d times", e.key, e.store,
				e.at.Sub(at).Milliseconds(), window.Milliseconds(), ran[e.key])
		}
	}
	for key, n := range ran {
		if n > 1 {
			twice++
			s.rec.log("k=%s ran %d times", key, n)
		}
	}
	s.rec.say("%d keys were sent; %d were sent again after the window; %d ran twice", len(first), late, twice)
	if len(first) < 20 {
		s.rec.say("the case could not run: too few writes reached the primary")
		return cannot
	}
	if late > 0 {
		s.rec.say("BROKEN: a referenced request that may have run was sent again after the time for which its group drops repeats")
		return broken
	}
	return held
}
