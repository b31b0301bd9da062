package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["stuck"] = stuckCase }

// stuckCase plays a fleet of three fronts, all voters, with versions. A version is published to all in one stage. Right after, two of the
// three are killed at once and start again, and 1.5 s later the third. From 30 s after its start, which is longer than any lease, clients
// are to be served again: a front that gets all that it is sent rejected for 4 s on end counts as broken.
func stuckCase(s *setup) int {
	g := newGroup(s.rec, 1, []string{"s-1", "s-2", "s-3"}, []string{"thapathali", "baneshwor", "lalitpur"}, 2*time.Second)
	d := newDiscovery(g)
	fronts, err := fleetOf(s, d, 3, 3, 2*time.Second, func(dir string) string {
		return fmt.Sprintf("(roll (right 12s) (when-alone serve) (dir %q))\n", filepath.Join(dir, "roll"))
	})
	defer func() {
		for _, f := range fronts {
			f.kill()
		}
	}()
	if err == nil {
		_, err = settled(fronts, 30*time.Second)
	}
	if err != nil {
		s.rec.say("the case could not run: %v", err)
		return cannot
	}
	rules := filepath.Join(s.dir, "rules.sexp")
	must(os.WriteFile(rules, []byte("(rules (bound slot-browse 2s))\n"), 0o600))
	out, err := fronts[0].program("fleet", "publish", rules, "--waves", "100%", "--watch", "0s", "--control", fronts[0].control())
	if err != nil {
		s.rec.say("the case could not run: %v %s", err, out)
		return cannot
	}
	s.rec.say("a version is published: %s", out)
	time.Sleep(600 * time.Millisecond)
	if s.trouble {
		for _, batch := range [][]*front{fronts[:2], fronts[2:]} {
			for _, f := range batch {
				f.kill()
			}
			s.rec.say("%d of 3 fronts are killed, and start again", len(batch))
			for _, f := range batch {
				must(f.start())
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(30 * time.Second)
	l := newLoad(s.rec)
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(250 * time.Millisecond) {
		for _, f := range fronts {
			l.read(f.listen, "slot-browse", 1, time.Second)
		}
	}
	l.wait()
	l.report()
	for _, f := range fronts {
		st, err := f.rollStatus()
		s.rec.say("%s: phase %s, base %d, next %d, acts on %d %v", f.name, st.Phase, st.Base, st.Next, st.Acts, err)
	}
	if s.trouble {
		out, err := fronts[0].program("fleet", "roll", "back", "--why", "nothing is served", "--control", fronts[0].control())
		s.rec.say("fleet roll back: %v %s", err, out)
	}
	if l.count("read", "served") == 0 && l.count("read", "refused") > 45 {
		s.rec.say("BROKEN: every front rejects all that it gets, for 20 s on end, and the rollout does not end")
		return broken
	}
	return held
}
