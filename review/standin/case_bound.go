package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["bound"] = boundCase }

// boundCase: a version is published that tightens the bound of slot-browse from 3 s to 1 s. Once it is in force at all fronts, the replicas
// apply the log more slowly for a while. No read that came in afterwards may be answered from data older than 1 s when it is sent.
func boundCase(s *setup) int {
	const (
		fronts   = 3
		bound    = time.Second
		slack    = 300 * time.Millisecond // 0.15 s for a front that is held up, 50 ms on sockets, 100 ms until an answer counts as known
		quiet    = 5 * time.Second
		slow     = 16 * time.Second // the log is applied more slowly for so long
		after    = 8 * time.Second
		growth   = 0.45 // a second of lag for each second: 4.3 times slower, at a thread that is busy a third of the time
		catchUp  = 2.0
		baseline = 8 * time.Millisecond
	)
	rec := s.rec
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	g := newGroup(rec, 2, []string{"s-0", "s-1", "s-2", "s-3"}, zones, 2*time.Second)
	g.positions = true
	g.bound["slot-browse"] = 3 * time.Second // what the site's stores enforce
	d := newDiscovery(g)
	all, err := fleetOf(s, d, fronts, 3, 2*time.Second, func(dir string) string {
		return fmt.Sprintf("(roll (right 12s) (when-alone serve) (dir %q))\n(audit (dir %q) (budget 64MiB))\n", filepath.Join(dir, "roll"), filepath.Join(dir, "audit"))
	})
	for _, f := range all {
		defer f.kill()
	}
	if err == nil {
		_, err = settled(all, 20*time.Second)
	}
	if err != nil {
		rec.say("%v", err)
		return cannot
	}
	rules := filepath.Join(s.dir, "tighter.sexp")
	must(os.WriteFile(rules, []byte("(rules (bound slot-browse 1s))\n"), 0o600))
	out, err := all[0].program("fleet", "publish", rules, "--control", all[0].control(), "--waves", "100%", "--watch", "1s", "--must")
	rec.say("publish: %s", strings.TrimSpace(out))
	if err != nil {
		return cannot
	}
	inForce := false
	for until := time.Now().Add(25 * time.Second); !inForce && time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		inForce = true
		for _, f := range all {
			st, err := f.rollStatus()
			inForce = inForce && err == nil && st.Base == 1 && st.Next == 0 && st.Acts == 1
		}
	}
	if !inForce {
		rec.say("the version did not come into force")
		return cannot
	}
	since := time.Now()
	rec.say("version 1 (bound slot-browse 1s) is in force at all fronts")
	var mu sync.Mutex
	var slowFrom time.Time
	g.mu.Lock()
	g.lag = func(now time.Time) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if slowFrom.IsZero() || now.Before(slowFrom) {
			return baseline
		}
		lag := baseline + time.Duration(growth*float64(min(now.Sub(slowFrom), slow)))
		if past := now.Sub(slowFrom) - slow; past > 0 {
			lag = max(baseline, lag-time.Duration(catchUp*float64(past)))
		}
		return lag
	}
	g.mu.Unlock()
	if s.trouble {
		mu.Lock()
		slowFrom = since.Add(quiet)
		mu.Unlock()
		rec.logAt(slowFrom, "from here on the replicas apply the log more slowly, for %v", slow)
	}
	load := newLoad(rec)
	for n := 0; time.Since(since) < quiet+slow+after; n++ {
		f := all[n%fronts]
		load.read(f.listen, "slot-browse", 2, time.Second)
		if n%6 == 0 {
			load.write(f.listen, 2, 2*time.Second)
		}
		time.Sleep(30 * time.Millisecond)
	}
	load.wait()
	load.report()
	sentAfter := map[string]*request{}
	for _, q := range load.all {
		if q.class == "slot-browse" && q.answer.status == "served" {
			sentAfter[q.id] = q
		}
	}
	stale, within, worst := 0, 0, time.Duration(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.sends {
		q := sentAfter[e.id]
		if q == nil || !e.served || q.answer.value != "pos="+itoa(e.position.UnixMilli()) {
			continue // not the answer that the client got
		}
		age := e.at.Sub(e.position)
		worst = max(worst, age)
		switch {
		case age > bound+slack:
			if stale++; stale <= 5 {
				rec.say("BROKEN: read %s was sent to %s and answered from data %d ms old, where %d are allowed", e.id, e.store, age.Milliseconds(), bound.Milliseconds())
			}
		case age > bound:
			within++
		}
	}
	rec.say("reads served from data older than the bound and its slack: %d; within the slack: %d; the oldest: %d ms", stale, within, worst.Milliseconds())
	alive := true
	for _, f := range all {
		alive = alive && f.alive()
	}
	switch {
	case stale > 0:
		return broken
	case !alive || load.count("read", "served") == 0:
		rec.say("the case did not run as intended")
		return cannot
	}
	return held
}
