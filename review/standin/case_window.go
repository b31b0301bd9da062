package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["window"] = windowCase }

// windowCase: two sites with a gateway between them. The connections of the remote group's primary are reset under a part of the writes
// that have begun, some at once and some long after. No write may take effect twice.
func windowCase(s *setup) int {
	const (
		window   = time.Second            // shorter than the deadline of 2 s
		slack    = 200 * time.Millisecond // 0.15 s for a front that is held up, 50 ms on sockets
		quiet    = 4 * time.Second        // before each time of trouble
		troubled = 20 * time.Second       // the length of each
		times    = 3
		share    = 0.5 // of the writes that come while the trouble lasts
	)
	rec := s.rec
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	home := newGroup(rec, 0, []string{"k-0", "k-1"}, zones, window)
	away := newGroup(rec, 3, []string{"p-0", "p-1", "p-2", "p-3", "p-4", "p-5"}, zones, window)
	for _, g := range []*group{home, away} {
		g.bound["slot-browse"] = 3 * time.Second
		g.writeWork = 130 * time.Millisecond
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	troubleOn := false
	plans := map[string]int{} // by key: how many attempts are reset at once, before one that is reset long after; -1 for none
	away.reset = func(key string, nth int) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		plan, known := plans[key]
		if !known {
			if plan = -1; troubleOn && rnd.Float64() < share {
				plan = 4 + rnd.IntN(3)
			}
			plans[key] = plan
		}
		switch {
		case nth <= plan:
			return true, time.Duration(rnd.IntN(10)) * time.Millisecond
		case nth == plan+1 && plan >= 0:
			return true, time.Duration(500+rnd.IntN(400)) * time.Millisecond
		}
		return false, 0
	}
	link := freeAddress()
	const terms = `(plain loopback) (heartbeat 200ms) (silence 700ms) (recover 1s) (retain 5s) (crossings 1024) (credit 1MiB) (kept 4MiB)`
	listA, listB := freeAddress(), freeAddress()
	dA, dB := newDiscovery(home), newDiscovery(away)
	a := newFront(s.root, s.run, " gateway", s.dir, "kathmandu", listA, configuration("kathmandu", listA, dA, site{zones, "thapathali", 1, 0, window}),
		fmt.Sprintf("(gateway (here kathmandu) (peer pokhara (address %q) (groups 3) %s))\n", link, terms))
	b := newFront(s.root, s.run, " gateway", s.dir, "pokhara", listB, configuration("pokhara", listB, dB, site{zones, "thapathali", 1, 0, window}),
		fmt.Sprintf("(gateway (here pokhara) (peer kathmandu (listen %q) (groups 0) %s))\n", link, terms))
	for _, f := range []*front{b, a} {
		if err := f.start(); err != nil {
			rec.say("cannot start: %v", err)
			return cannot
		}
		defer f.kill()
	}
	for _, f := range []*front{a, b} {
		if err := f.ready(10 * time.Second); err != nil {
			rec.say("%v", err)
			return cannot
		}
	}
	time.Sleep(time.Second)
	load := newLoad(rec)
	end := time.Now().Add(times * (quiet + troubled))
	set := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		troubleOn = on
		rec.log("trouble: connections of the primary p-0 are reset under writes: %v", on)
	}
	if s.trouble {
		go func() {
			for range times {
				time.Sleep(quiet)
				set(true)
				time.Sleep(troubled)
				set(false)
			}
		}()
	}
	for n := 0; time.Now().Before(end); n++ {
		load.read(a.listen, "slot-browse", 0, time.Second)
		load.read(b.listen, "slot-browse", 3, time.Second)
		if n%8 == 0 {
			load.write(a.listen, 3, 2*time.Second)
			load.read(a.listen, "slot-browse", 3, time.Second)
		}
		time.Sleep(30 * time.Millisecond)
	}
	load.wait()
	alive := a.alive() && b.alive()
	load.report()
	first := map[string]time.Time{}
	twice, late := 0, 0
	away.mu.Lock()
	defer away.mu.Unlock()
	for _, r := range away.runs {
		at, again := first[r.key]
		if !again {
			first[r.key] = r.at
			continue
		}
		gap := r.at.Sub(at)
		twice++
		if gap > window+slack {
			late++
			rec.say("BROKEN: write %s (k=%s) took effect twice: again %d ms after it was first sent to the group, which drops repeats for %d ms", r.id, r.key,
				gap.Milliseconds(), window.Milliseconds())
		}
	}
	rec.say("writes run %d, of them run twice %d, beyond the window and its slack %d; both fronts alive: %v", len(away.runs), twice, late, alive)
	served := load.count("write", "served")
	switch {
	case late > 0:
		return broken
	case !alive || served == 0:
		rec.say("the case did not run as intended")
		return cannot
	}
	return held
}
