package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["slow-discovery"] = slowDiscovery
}

// Figures of the rule on drains.
const (
	drainGrace = 2 * time.Second        // the brief
	slack      = 50 * time.Millisecond  // by which the protocol page lengthens each time limit
	silentTold = 6 * time.Second        // after which a change counts as told at the latest
	holdUp     = 150 * time.Millisecond // for which this process may be late itself
)

// browser sends reads to a front, one each interval, until stop is closed.
func (r *run) browser(f *front, interval time.Duration, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		var err error
		if c == nil {
			if c, err = dial(r.rec, f); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s%012x", f.name, i)
		sql := fmt.Sprintf("SELECT data FROM facts WHERE code = '%016x' /* id=%s,c=slot-browse,d=1000,cluster=0 */", i%97, id)
		if a := c.ask(id, sql, time.Second); a.err != nil {
			_ = c.conn.Close()
			c = nil
		}
	}
}

// watchDrained notes the statements that reach a store later than the given time after from.
func (r *run) watchDrained(s *store, from func() (time.Time, bool), grace time.Duration) (late func() (n int, latest time.Duration)) {
	var mu sync.Mutex
	n, latest := 0, time.Duration(0)
	s.received = func(id, _ string, at time.Time) {
		told, draining := from()
		if !draining || at.Sub(told) <= grace {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		n++
		latest = max(latest, at.Sub(told))
		r.rec.printf("late: id=%s reaches the draining store %s %v after the change", id, s.name, at.Sub(told).Round(time.Millisecond))
	}
	return func() (int, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return n, latest
	}
}

// drained is the time at which discovery had the change.
type drained struct {
	mu sync.Mutex
	at time.Time
}

func (d *drained) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
}

func (d *drained) get() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at, !d.at.IsZero()
}

// slowDiscovery drains a store while discovery begins each of its answers late.
func slowDiscovery(r *run) error {
	s := site{zones: []string{"thapathali"}, fronts: 1}
	g, err := startGroup(r.rec, 0, 4, s.zones, 20*time.Millisecond)
	if err != nil {
		return err
	}
	d := newDiscovery(r.rec, g)
	delay := time.Duration(0)
	if r.trouble {
		delay = 1250 * time.Millisecond
	}
	a, err := d.startAgent("n0", delay)
	if err != nil {
		return err
	}
	f, err := r.addFront("n0", "thapathali", s, 0, a.address(), d.snapshot())
	if err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	var change drained
	late := r.watchDrained(g.stores[1], change.get, silentTold+drainGrace+slack+holdUp)
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	for range 4 {
		done.Add(1)
		go r.browser(f, 10*time.Millisecond, stop, done)
	}
	time.Sleep(5 * time.Second)
	change.set(d.setStatus(g.stores[1].name, "draining"))
	time.Sleep(20 * time.Second)
	close(stop)
	done.Wait()
	n, latest := late()
	r.say("%d statements reached the draining store late, the last one %v after discovery had the change", n, latest.Round(time.Millisecond))
	if n > 0 {
		r.breaks("%d statements were sent to a draining store more than %v after discovery had the change, the last one after %v", n,
			silentTold+drainGrace+slack, latest.Round(time.Millisecond))
	}
	return nil
}
