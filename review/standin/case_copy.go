package main

import (
	"math/rand/v2"
	"time"
)

func init() { cases["copy"] = copyCase }

// copyCase plays a front whose group has its replicas in the other data centres, a millisecond away. Some answers are followed by a second
// copy, in a write of its own, right after and only where the store has received nothing more on the connection. The rule: a client is
// served with nothing but the value that a store made for its request.
func copyCase(s *setup) int {
	const (
		oneWay = time.Millisecond // between data centres
		spoilt = 100              // one answer in so many
		rate   = 250              // requests a second
		length = 25 * time.Second
		pause  = 100 * time.Microsecond // from the answer to its copy
	)
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	g := newGroup(s.rec, 1, []string{"s-1", "s-2", "s-3"}, zones, 2*time.Second)
	withoutReport = true
	random := rand.New(rand.NewPCG(1, 1))
	if s.trouble {
		g.copies = func() (bool, time.Duration) { return random.IntN(spoilt) == 0, pause }
	}
	d := newDiscovery(g)
	for i := range d.entries {
		if d.entries[i].Zone != zones[0] {
			d.entries[i].Address = newHop(d.entries[i].Address, oneWay).address()
		}
	}
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
	arrivals := rand.New(rand.NewPCG(1, 2))
	for began, at := time.Now(), time.Duration(0); at < length; at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(began.Add(at)))
		l.read(listen, "slot-browse", 1, time.Second)
	}
	l.wait()
	l.report()
	served, foreign := 0, 0
	for _, q := range l.all {
		if q.answer.status != "served" {
			continue
		}
		served++
		if q.answer.value != "v:"+q.code {
			if foreign++; foreign <= 3 {
				s.rec.say("the client of code %s was served %q", q.code, q.answer.value)
			}
		}
	}
	g.mu.Lock()
	copied := g.copied
	g.mu.Unlock()
	s.rec.say("%d requests were served, after %d answers a second copy came; %d were served with the value of another request", served, copied, foreign)
	if served < 2000 || s.trouble && copied < 10 {
		s.rec.say("the case could not run: too few requests were served")
		return cannot
	}
	if foreign > 0 {
		s.rec.say("BROKEN: clients were served with what no store made for their requests")
		return broken
	}
	return held
}
