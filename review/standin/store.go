package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// group is a primary and its replicas, which hold the same data. It drops repeats of a key within the window, as a whole.
type group struct {
	id              int
	rec             *record
	window          time.Duration            // how long a key is remembered, from when its first attempt came
	bound           map[string]time.Duration // by class: the age of data beyond which a replica turns a read away, after a wait
	hold            time.Duration            // that wait
	work, writeWork time.Duration
	stores          []*store
	workOf          map[string]time.Duration // by class, in place of work
	ship            time.Duration            // from when a write has run until it is answered: a replica has it by then

	mu        sync.Mutex
	primary   int
	keys      map[string]time.Time // when the first attempt with a key came
	runs      []run
	sends     []send
	lag       func(now time.Time) time.Duration // of replicas
	reset     func(key string, nth int) (reset bool, after time.Duration)
	copies    func() (copies bool, pause time.Duration) // whether a second copy follows an answer, where nothing else is waiting
	copied    int                                       // answers that a second copy followed
	resetID   func(id string) bool                      // whether the connection is reset after a write was run, in place of its answer
	nth       map[string]int                            // attempts by key
	positions bool                                      // a read is answered with the position of its data, in place of the value
}

// run is an execution of a write, not counting repeats that were dropped.
type run struct {
	key, id string
	at      time.Time
}

// send is an attempt that came to a store.
type send struct {
	id, key, class, store string
	at                    time.Time
	position              time.Time // of the data that answered a read
	served                bool
}

// store is one server of a group.
type store struct {
	group   *group
	index   int
	name    string
	zone    string
	l       net.Listener
	mu      sync.Mutex // guards holding
	holding int
	cores   chan struct{}
	conns   map[net.Conn]struct{}
	dead    bool
}

func newGroup(rec *record, id int, names []string, zones []string, window time.Duration) *group {
	g := &group{id: id, rec: rec, window: window, bound: map[string]time.Duration{}, hold: 50 * time.Millisecond, work: 20 * time.Millisecond, writeWork: 60 * time.Millisecond,
		keys: map[string]time.Time{}, nth: map[string]int{}, lag: func(time.Time) time.Duration { return 8 * time.Millisecond }}
	for i, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		s := &store{group: g, index: i, name: name, zone: zones[i%len(zones)], l: l}
		g.stores = append(g.stores, s)
		go s.accept()
	}
	return g
}

func (s *store) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.dead {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			s.mu.Unlock()
			return
		}
		if s.conns == nil {
			s.conns = map[net.Conn]struct{}{}
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(c)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// die ends the store as the end of its process does: its connections are reset, and new ones are refused.
func (s *store) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	_ = s.l.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *store) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// copies says whether a second copy follows the answer that was just written.
func (s *store) copies() (copies bool, pause time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.copies()
}

// become makes the store the primary of its group.
func (s *store) become() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.primary = s.index
}

func (s *store) isPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.primary == s.index
}

// position is the time up to which the store has applied all commits.
func (s *store) position(now time.Time) time.Time {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.group.primary == s.index {
		return now
	}
	return now.Add(-s.group.lag(now))
}

func (s *store) status() []byte {
	role := "replica"
	if s.isPrimary() {
		role = "primary"
	}
	b := parameter("role", role)
	b = append(b, parameter("applied_ms", itoa(s.position(time.Now()).UnixMilli()))...)
	return append(b, ready()...)
}

func (s *store) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if readStartup(r) != nil {
		return
	}
	if _, err := c.Write(greeting()); err != nil {
		return
	}
	for {
		typ, body, err := readMessage(r)
		if err != nil || typ != 'Q' || len(body) == 0 {
			return
		}
		reply, keep := s.respond(string(body[:len(body)-1]), time.Now())
		if !keep {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
		if s.group.copies == nil {
			continue
		}
		if copies, pause := s.copies(); copies {
			_ = c.SetReadDeadline(time.Now().Add(pause))
			_, err := r.Peek(1)
			_ = c.SetReadDeadline(time.Time{})
			if err == nil { // the next request is waiting: no copy
				continue
			}
			if _, err := c.Write(reply); err != nil {
				return
			}
			s.group.mu.Lock()
			s.group.copied++
			s.group.mu.Unlock()
			s.group.rec.log("%s has sent a second copy of its last answer", s.name)
		}
	}
}

// respond runs a statement. keep is false where the connection is reset in place of an answer.
func (s *store) respond(sql string, at time.Time) (reply []byte, keep bool) {
	switch strings.TrimSpace(sql) {
	case "SELECT 1":
		return append(row("1", "SELECT 1"), s.status()...), true
	case "SHOW load":
		x1 := 0
		if s.isPrimary() {
			x1 = 1
		}
		s.mu.Lock()
		report := fmt.Sprintf("x0=%.3f,x1=%d,inflight=%d", float64(s.position(time.Now()).UnixMilli())/1000, x1, s.holding)
		s.mu.Unlock()
		return append(row(report, "SHOW"), s.status()...), true
	case "":
		return append(message('I', nil), ready()...), true
	}
	s.mu.Lock()
	s.holding++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.holding--
		s.mu.Unlock()
	}()
	if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(sql)), "INSERT") {
		return s.write(sql, at)
	}
	return s.read(sql, at), true
}

func (s *store) read(sql string, at time.Time) []byte {
	g, id, class := s.group, field(sql, "id"), field(sql, "c")
	entry := send{id: id, class: class, store: s.name, at: at}
	if bound, ok := g.bound[class]; ok {
		for until := time.Now().Add(g.hold); time.Since(s.position(time.Now())) > bound; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				g.note(entry)
				g.rec.logAt(at, "%s turns read %s away (too far behind)", s.name, id)
				return append(errorMessage("72000", "too far behind"), s.status()...)
			}
		}
	}
	entry.position, entry.served = s.position(time.Now()), true
	work, ok := g.workOf[class]
	if !ok {
		work = g.work
	}
	s.occupy(work)
	g.note(entry)
	g.rec.logAt(at, "%s runs read %s c=%s d=%s on data %d ms old", s.name, id, class, field(sql, "d"), at.Sub(entry.position).Milliseconds())
	value := "v:" + literal(sql)
	if g.positions {
		value = "pos=" + itoa(entry.position.UnixMilli())
	}
	return append(row(value, "SELECT 1"), s.status()...)
}

// literal returns the first quoted text of a statement, which is the key of its row.
func literal(sql string) string {
	_, rest, _ := strings.Cut(sql, "'")
	key, _, _ := strings.Cut(rest, "'")
	return key
}

// limit lets each store run only so many statements at a time.
func (g *group) limit(cores int) {
	for _, s := range g.stores {
		s.cores = make(chan struct{}, cores)
	}
}

// occupy takes one of the store's cores for the work, where their number is limited.
func (s *store) occupy(work time.Duration) {
	if s.cores != nil {
		s.cores <- struct{}{}
		defer func() { <-s.cores }()
	}
	time.Sleep(work)
}

func (g *group) note(e send) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sends = append(g.sends, e)
}

func (s *store) write(sql string, at time.Time) ([]byte, bool) {
	g, id, key := s.group, field(sql, "id"), field(sql, "k")
	g.mu.Lock()
	if g.primary != s.index {
		g.mu.Unlock()
		g.rec.logAt(at, "%s turns write %s away (no primary)", s.name, id)
		return append(errorMessage("25006", "read-only"), s.status()...), true
	}
	g.sends = append(g.sends, send{id: id, key: key, class: field(sql, "c"), store: s.name, at: at})
	g.nth[key]++
	nth := g.nth[key]
	first, known := g.keys[key]
	repeat := key != "" && known && at.Sub(first) < g.window
	if !repeat {
		g.keys[key] = at
	}
	reset, resetID := g.reset, g.resetID
	g.mu.Unlock()
	s.occupy(g.writeWork)
	if s.isDead() {
		return nil, false
	}
	if repeat {
		g.rec.logAt(at, "%s drops write %s k=%s d=%s as a repeat, %d ms after the first", s.name, id, key, field(sql, "d"), at.Sub(first).Milliseconds())
	} else {
		g.mu.Lock()
		g.runs = append(g.runs, run{key, id, at})
		g.mu.Unlock()
		g.rec.logAt(at, "%s RUNS write %s k=%s d=%s", s.name, id, key, field(sql, "d"))
	}
	if reset != nil {
		if yes, after := reset(key, nth); yes {
			time.Sleep(after)
			g.rec.log("%s resets the connection of write %s, %d ms after it came", s.name, id, time.Since(at).Milliseconds())
			return nil, false
		}
	}
	if resetID != nil && resetID(id) {
		g.rec.log("%s resets the connection of write %s after it ran", s.name, id)
		return nil, false
	}
	time.Sleep(g.ship)
	return append(row("done "+id, "INSERT 0 1"), s.status()...), true
}

func (s *store) address() string { return s.l.Addr().String() }
