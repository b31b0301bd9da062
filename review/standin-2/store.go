package main

import (
	"bufio"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"
)

// group is a primary and its replicas.
type group struct {
	rec    *record
	work   time.Duration // time that a statement takes
	window time.Duration // for which a mark (k) is remembered
	stores []*store

	mu      sync.Mutex // guards the fields below
	applied map[string]int
	marks   map[string]mark
}

// mark is what a group remembers of the first write with a mark.
type mark struct {
	at    time.Time
	value string
}

// effect says what a statement does to the data.
type effect uint8

const (
	reads effect = iota
	writes
)

// verdict says how a store treats a statement once it has run.
type verdict uint8

const (
	answers verdict = iota
	resets          // the connection is reset after the statement has run, before its answer
)

// store is a database server.
type store struct {
	name     string
	group    *group
	primary  bool
	listener net.Listener
	zone     string

	effectOf func(sql string) effect
	after    func(id string, run int) verdict // called when a statement has run; run counts its runs from 1
	received func(id, sql string, at time.Time)

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
}

var (
	idPattern   = regexp.MustCompile(`[ *,]id=([^ ,*]+)`)
	markPattern = regexp.MustCompile(`[ ,]k=([^ ,*]+)`)

	temporaryPattern = regexp.MustCompile(`(?i)^\s*CREATE TABLE pg_temp\.(\w+)`)
	insertPattern    = regexp.MustCompile(`(?i)^\s*INSERT INTO (\w+)`)
)

// session is what a store keeps of a connection: its temporary tables, which end with it. Their schema pg_temp is searched before all
// others, so a temporary table hides the table of the same name from the statements of its connection.
type session struct{ temporary map[string]bool }

// hides reports whether a statement inserts into a temporary table of its connection.
func (s *session) hides(sql string) bool {
	f := insertPattern.FindStringSubmatch(sql)
	return f != nil && s.temporary[strings.ToLower(f[1])]
}

// startGroup starts stores of a group on loopback. The first one is the primary.
func startGroup(rec *record, id, stores int, zones []string, work time.Duration) (*group, error) {
	g := &group{rec: rec, work: work, window: 2 * time.Second, applied: map[string]int{}, marks: map[string]mark{}}
	for i := range stores {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &store{name: fmt.Sprintf("s-%d-%d", id, i), group: g, primary: i == 0, listener: l, zone: zones[i%len(zones)],
			conns: map[net.Conn]struct{}{}, effectOf: plainEffect, after: func(string, int) verdict { return answers },
			received: func(string, string, time.Time) {}}
		g.stores = append(g.stores, s)
		go s.accept()
	}
	return g, nil
}

// plainEffect is the effect of the protocol's own two forms of statements.
func plainEffect(sql string) effect {
	if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(sql)), "SELECT") {
		return reads
	}
	return writes
}

func (s *store) address() string { return s.listener.Addr().String() }

// crash ends the store as a process that dies: connections are reset, new ones refused.
func (s *store) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		reset(c)
	}
}

func (s *store) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// serve answers the statements of a connection.
func (s *store) serve(c net.Conn) {
	r := bufio.NewReader(c)
	if readStartup(r) != nil {
		return
	}
	if _, err := c.Write(greeting()); err != nil {
		return
	}
	conn := &session{temporary: map[string]bool{}}
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now() // a send counts from its first byte
		typ, body, err := readMessage(r)
		if err != nil || typ != 'Q' || len(body) == 0 {
			return
		}
		answer, ok := s.respond(conn, string(body[:len(body)-1]), first)
		if !ok {
			reset(c)
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// status encodes what a store tells with each answer.
func (s *store) status() []byte {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return append(append(parameter("role", role), parameter("applied_ms", fmt.Sprint(time.Now().UnixMilli()))...), ready()...)
}

// respond runs a statement. ok is false if the connection is to be reset in place of an answer.
func (s *store) respond(conn *session, sql string, first time.Time) (answer []byte, ok bool) {
	switch strings.TrimSpace(sql) {
	case "":
		return append(message('I', nil), ready()...), true
	case "SELECT 1":
		return append(oneRow("1", "SELECT 1"), s.status()...), true
	case "SHOW load":
		x1 := 0
		if s.primary {
			x1 = 1
		}
		report := fmt.Sprintf("x0=%.3f,x1=%d,inflight=0", float64(time.Now().UnixMilli())/1000, x1)
		return append(oneRow(report, "SHOW"), s.status()...), true
	}
	id := ""
	if f := idPattern.FindStringSubmatch(sql); f != nil {
		id = f[1]
	}
	s.group.rec.printf("store %s receives id=%s: %s", s.name, id, sql)
	s.received(id, sql, first)
	change := s.effectOf(sql) == writes
	if change && !s.primary {
		s.group.rec.printf("store %s turns id=%s away: 25006", s.name, id)
		return append(errorResponse("25006", "cannot change data in a read-only transaction"), s.status()...), true
	}
	if change {
		if value, known := s.group.known(sql, first); known {
			s.group.rec.printf("store %s drops the repeat id=%s", s.name, id)
			return append(oneRow(value, "INSERT 0 1"), s.status()...), true
		}
	}
	time.Sleep(s.group.work)
	if f := temporaryPattern.FindStringSubmatch(sql); f != nil {
		conn.temporary[strings.ToLower(f[1])] = true
		s.group.rec.printf("store %s makes a temporary table %s on the connection of id=%s", s.name, f[1], id)
		return append(message('C', cstrings("CREATE TABLE")), s.status()...), true
	}
	run := 0
	switch {
	case change && conn.hides(sql):
		s.group.rec.printf("store %s puts the row of id=%s into a temporary table of its connection", s.name, id)
	case change:
		run = s.group.apply(id)
		s.group.rec.printf("store %s has applied id=%s (run %d)", s.name, id, run)
	}
	if s.after(id, run) == resets {
		s.group.rec.printf("store %s: the connection of id=%s is reset before the answer", s.name, id)
		return nil, false
	}
	return append(oneRow("v-"+id, "SELECT 1"), s.status()...), true
}

// known returns the answer to an earlier write with the same mark, if it came within the window, and else remembers this one.
func (g *group) known(sql string, at time.Time) (value string, ok bool) {
	f := markPattern.FindStringSubmatch(sql)
	if f == nil {
		return "", false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.marks[f[1]]; ok && at.Sub(m.at) < g.window {
		return m.value, true
	}
	g.marks[f[1]] = mark{at, "v-" + f[1]}
	return "", false
}

// apply counts a change that took effect and returns how often it has.
func (g *group) apply(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applied[id]++
	return g.applied[id]
}

// appliedMoreThanOnce returns the ids of changes that took effect more than once.
func (g *group) appliedMoreThanOnce() (ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, n := range g.applied {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// timesApplied returns how often a change took effect.
func (g *group) timesApplied(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied[id]
}
