package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["foreign"] = foreignCase }

// foreignCase: two sites with a gateway between them. The instance of the site whose clients ask is killed while some of its requests run at
// the other site, and started again; its clients ask again. Each answer has to be the value made for its request.
func foreignCase(s *setup) int {
	const rounds = 10
	foreign, served := 0, 0
	for round := range rounds {
		f, n, err := s.foreignRound(round)
		if err != nil {
			s.rec.say("the case did not run as intended: %v", err)
			return cannot
		}
		foreign, served = foreign+f, served+n
	}
	s.rec.say("in all: served %d, with the value of another request %d", served, foreign)
	if foreign > 0 {
		return broken
	}
	return held
}

// foreignRound plays one kill, with fronts that are started for it.
func (s *setup) foreignRound(round int) (foreign, served int, err error) {
	const (
		every = 2 * time.Second        // from burst to burst
		size  = 12                     // of a burst of reports
		jump  = 28                     // of the last one, in which the front is killed: traffic jumps to 2.3 times the usual
		usual = 8.0                    // requests a second besides
		kill  = 150 * time.Millisecond // after the last burst
	)
	// How many bursts come, and how long clients wait before they retry (10 to 80 ms, says the site), differ from kill to kill.
	bursts, wait := 1, 80*time.Millisecond
	if round%5 == 1 {
		bursts, wait = 2, 40*time.Millisecond
	}
	rec := s.rec
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	home := newGroup(rec, 0, []string{"k-0", "k-1"}, zones, 2*time.Second)
	away := newGroup(rec, 3, []string{"p-0", "p-1", "p-2"}, zones, 2*time.Second)
	for _, g := range []*group{home, away} {
		g.bound["slot-browse"] = 3 * time.Second
		g.work = 50 * time.Millisecond
		g.workOf = map[string]time.Duration{"report": 300 * time.Millisecond}
		g.limit(3)
	}
	link := freeAddress()
	const terms = `(plain loopback) (heartbeat 200ms) (silence 700ms) (recover 1s) (retain 5s) (crossings 1024) (credit 1MiB) (kept 4MiB)`
	listA, listB := freeAddress(), freeAddress()
	dA, dB := newDiscovery(home), newDiscovery(away)
	dir := fmt.Sprintf("%s/round%d", s.dir, round+1)
	a := newFront(s.root, s.run, " gateway", dir, "kathmandu", listA, configuration("kathmandu", listA, dA, site{zones, "thapathali", 1, 0, 2 * time.Second}),
		fmt.Sprintf("(gateway (here kathmandu) (peer pokhara (address %q) (groups 3) %s))\n", link, terms))
	b := newFront(s.root, s.run, " gateway", dir, "pokhara", listB, configuration("pokhara", listB, dB, site{zones, "thapathali", 1, 0, 2 * time.Second}),
		fmt.Sprintf("(gateway (here pokhara) (peer kathmandu (listen %q) (groups 0) %s))\n", link, terms))
	for _, f := range []*front{b, a} {
		if err := f.start(); err != nil {
			return 0, 0, err
		}
		defer f.kill()
	}
	for _, f := range []*front{a, b} {
		if err := f.ready(10 * time.Second); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	load := newLoad(rec)
	load.retries, load.retryWait = 3, wait
	rnd := rand.New(rand.NewPCG(3, uint64(round)))
	steady := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); {
			time.Sleep(time.Duration(min(rnd.ExpFloat64(), 4) / usual * float64(time.Second)))
			load.read(listA, "slot-browse", 3*rnd.IntN(2), time.Second)
		}
	}
	steady(time.Second)
	for burst := range bursts {
		last := burst == bursts-1
		n := size
		if last {
			n = jump
		}
		for range n {
			load.read(listA, "report", 3, 3*time.Second)
		}
		if last && s.trouble {
			time.Sleep(kill)
			a.kill()
			rec.say("round %d: kathmandu is killed while reports run at pokhara, and started again", round+1)
			if err := a.start(); err != nil {
				return 0, 0, err
			}
		}
		steady(every)
	}
	load.wait()
	load.report()
	for _, q := range load.all {
		if q.answer.status != "served" {
			continue
		}
		served++
		if q.answer.value != "v:"+q.code {
			foreign++
			rec.say("BROKEN: %s %s asked for the value of %s and was served %s, the value of another request", q.kind, q.id, q.code, q.answer.value)
		}
	}
	if !a.alive() || !b.alive() || served == 0 {
		return 0, 0, fmt.Errorf("a front ended, or nothing was served")
	}
	return foreign, served, nil
}
