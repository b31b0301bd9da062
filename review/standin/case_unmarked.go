package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["unmarked"] = unmarkedCase }

// classing is an operator's file as docs/operate/classing.md has it: clients do not name a class, and rules do.
const classing = `(classing
  (functions (reads seat_name) (writes next_seat))
  (undeclared-writes once-only)
  (types
    (book-table (class write))
    (slot-browse (class read))))
`

// unmarkedCase plays a front with statement classification. Its clients name no class and send no mark: their comments have id, d and
// cluster, as docs/operate/classing.md asks. The primary resets connections under requests that have begun. The rule: what carries no mark
// by which a repeat is known is not sent again once it may have run, and no effect happens twice.
func unmarkedCase(s *setup) int {
	zones := []string{"thapathali", "baneshwor", "lalitpur"}
	g := newGroup(s.rec, 1, []string{"s-1", "s-2", "s-3"}, zones, 2*time.Second)
	withoutReport = true
	var mu sync.Mutex
	seen := map[string]bool{}
	begun := 0
	if s.trouble {
		g.resetID = func(id string) bool { // one in four of the first attempts
			mu.Lock()
			defer mu.Unlock()
			if seen[id] {
				return false
			}
			seen[id] = true
			begun++
			return begun%4 == 0
		}
	}
	d := newDiscovery(g)
	listen := freeAddress()
	f := newFront(s.root, s.run, "", s.dir, "n1", listen, configuration("n1", listen, d, site{zones: zones, zone: zones[0], size: 1, window: 2 * time.Second}), classing)
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
	for i := range 200 {
		q := &request{kind: "write", front: listen, patience: 2 * time.Second, code: fmt.Sprintf("%016x", 1<<48+i)}
		l.start(q, func(q *request) string {
			return fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '\\x9f03') RETURNING data /* id=%s,d=2000,cluster=1 */", q.code, q.id)
		})
		time.Sleep(25 * time.Millisecond)
	}
	l.wait()
	l.report()
	g.mu.Lock()
	defer g.mu.Unlock()
	ran := map[string]int{}
	for _, r := range g.runs {
		ran[r.id]++
	}
	twice := 0
	for id, n := range ran {
		if n > 1 {
			twice++
			s.rec.log("id=%s, which carries no mark, ran %d times", id, n)
		}
	}
	s.rec.say("%d requests ran, %d of them more than once; %d connections were reset under a request", len(ran), twice, begun/4)
	if len(ran) < 100 {
		s.rec.say("the case could not run: too few writes reached the primary")
		return cannot
	}
	if twice > 0 {
		s.rec.say("BROKEN: a request that carries no mark was sent again after it may have run, and ran twice")
		return broken
	}
	return held
}
