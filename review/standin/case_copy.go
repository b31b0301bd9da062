package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["copy"] = copyCase }

// copyCase plays a front at a group that is fully used: 40 clients each ask for the next row as soon as they have the last. Some answers are
// followed by a second copy, in a write of its own, right after and with no pause. The rule: a client is served with nothing but the value
// that a store made for its request.
func copyCase(s *setup) int {
	const (
		clients = 40
		work    = 45 * time.Millisecond
		cores   = 3
		spoilt  = 20 // one answer in so many
		length  = 25 * time.Second
	)
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	g := newGroup(s.rec, 1, []string{"s-1", "s-2", "s-3"}, zones, 2*time.Second)
	g.work, withoutReport = work, true
	g.limit(cores)
	if s.trouble {
		random := rand.New(rand.NewPCG(1, 1))
		g.copies = func() bool { return random.IntN(spoilt) == 0 }
	}
	d := newDiscovery(g)
	listen := freeAddress()
	f := newFront(s.root, s.run, "", s.dir, "n1", listen, configuration("n1", listen, d, site{zones: zones, zone: zones[0], size: 1, window: 2 * time.Second}), "")
	defer f.kill()
	if err := f.start(); err != nil {
		s.rec.say("the case could not run: %v", err)
		return cannot
	}
	if err := f.ready(15 * time.Second); err != nil {
		s.rec.say("the case could not run: %v", err)
		return cannot
	}
	l := newLoad(s.rec)
	var all sync.WaitGroup
	for end, i := time.Now().Add(length), 0; i < clients; i++ {
		all.Go(func() {
			for time.Now().Before(end) {
				if l.ask(listen, "slot-browse", 1, time.Second).status != "served" {
					time.Sleep(80 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	l.report()
	served, foreign := 0, 0
	for _, q := range l.all {
		if q.answer.status != "served" {
			continue
		}
		served++
		if q.answer.value != "v:"+q.code {
			if foreign++; foreign <= 3 {
				s.rec.say("the client of request %s asked for code %s and was served %q", q.id, q.code, q.answer.value)
			}
		}
	}
	g.mu.Lock()
	copied := g.copied
	g.mu.Unlock()
	s.rec.say("%d requests were served, after %d answers a second copy came; %d were served with the value of another request", served, copied, foreign)
	if served < 2000 || s.trouble && copied < 50 {
		s.rec.say("the case could not run: too few requests were served")
		return cannot
	}
	if foreign > 0 {
		s.rec.say("BROKEN: clients were served with what no store made for their requests")
		return broken
	}
	return held
}
