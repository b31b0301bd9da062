package fakeserver

import (
	"encoding/binary"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
)

// Group is a primary and its replicas over the same data.
type Group struct {
	ID      int // of the group, as lists have it
	Data    *Data
	PerRow  time.Duration // a row touched takes so long
	Each    time.Duration // and a statement at least so long
	Cores   int           // statements that run at once at a member; more wait
	Members []*Member
	Guests  []*Member    // of other groups, that this group's list tells of too
	Primary atomic.Int64 // index of the primary
	Lag     atomic.Int64 // nanoseconds by which replicas are behind
	Wall    atomic.Int64 // nanoseconds by which the members' wall clocks are ahead of this process's

	Probes    atomic.Int64 // questions after a member's load
	Swallowed atomic.Int64 // statements that a member which hangs took

	mu        sync.Mutex
	committed map[string]int       // by id: changes that took effect
	marks     map[string]time.Time // by mark (k): when its change took effect
	Window    time.Duration        // for which a mark is remembered
}

// Seen is a statement that reached a member, noted before anything is done about it.
type Seen struct {
	ID, SQL string
	Primary bool // what the member was then
	At      time.Time
}

// Fault is what is to go wrong with a statement.
type Fault struct {
	Code        string // answer with this code, nothing runs
	BreakBefore bool   // close the connection, nothing runs
	BreakAfter  bool   // run it and close the connection without an answer
	Delay       time.Duration
	Raw         []byte // answer with these bytes in place of the result
}

// Member is one listener.
type Member struct {
	Name string
	g    *Group
	at   int
	l    net.Listener
	work chan struct{}

	mu     sync.Mutex
	seen   []Seen
	fault  func(n int, sql string) Fault
	conns  map[net.Conn]struct{}
	closed bool
	hangs  bool
	greets time.Duration // after which a new connection is welcomed
	done   sync.WaitGroup
}

// Start starts a group of so many members on loopback; the first is the primary.
func Start(d *Data, members, cores int, each, perRow time.Duration) (*Group, error) {
	g := &Group{Data: d, Each: each, PerRow: perRow, Cores: cores, committed: map[string]int{},
		marks: map[string]time.Time{}, Window: 2 * time.Second}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		m := &Member{Name: fmt.Sprintf("s-%d", i), g: g, at: i, l: l, work: make(chan struct{}, cores), conns: map[net.Conn]struct{}{}}
		g.Members = append(g.Members, m)
		m.done.Go(m.accept)
	}
	return g, nil
}

// Close ends the members and their connections.
func (g *Group) Close() {
	for _, m := range g.Members {
		m.l.Close()
		m.mu.Lock()
		m.closed = true
		for c := range m.conns {
			c.Close()
		}
		m.mu.Unlock()
		m.done.Wait()
	}
}

// Committed says how often the change of an id took effect.
func (g *Group) Succeeded(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.committed[id]
}

// Address is where the member listens.
func (m *Member) Address() string { return m.l.Addr().String() }

// Seen gives what reached the member so far.
func (m *Member) Seen() []Seen {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Seen{}, m.seen...)
}

// Hang makes it take connections and say nothing, until it is called off; what it was at is never answered.
func (m *Member) Hang(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hangs = on
	if !on {
		for c := range m.conns {
			c.Close()
		}
	}
}

// WelcomeAfter has it welcome new connections so much later.
func (m *Member) WelcomeAfter(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.greets = delay
}

func (m *Member) welcomeDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.greets
}

func (m *Member) hung() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hangs
}

// Break sets what goes wrong from now on; n counts the member's statements from 0.
func (m *Member) Break(f func(n int, sql string) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

func (m *Member) primary() bool { return m.g.Primary.Load() == int64(m.at) }

func (m *Member) accept() {
	for {
		c, err := m.l.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			c.Close()
			return
		}
		m.conns[c] = struct{}{}
		m.mu.Unlock()
		m.done.Go(func() {
			defer func() {
				c.Close()
				m.mu.Lock()
				delete(m.conns, c)
				m.mu.Unlock()
			}()
			m.serve(c)
		})
	}
}

func (m *Member) serve(c net.Conn) {
	r := pgwire.NewReader(c, 4096, 1<<20)
	for {
		s, err := r.ReadStartup()
		if err != nil || s.CancelRequest {
			return
		}
		if !s.EncryptionRequest {
			break
		}
		c.Write([]byte{'N'})
	}
	time.Sleep(m.welcomeDelay())
	if _, err := c.Write(pgwire.AppendGreeting(nil)); err != nil {
		return
	}
	for {
		typ, body, err := r.Next()
		if err != nil || typ != 'Q' || len(body) == 0 {
			return
		}
		if m.hung() {
			if q := string(body[:len(body)-1]); q == "SELECT 1" || q == "SHOW load" {
				m.g.Probes.Add(1)
			} else {
				m.g.Swallowed.Add(1)
			}
			continue
		}
		answer, ok := m.answer(string(body[:len(body)-1]))
		if !ok {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

var (
	idWord    = regexp.MustCompile(`/\*\s*id=([^ ,*]+)`)
	markWord  = regexp.MustCompile(`[ ,]k=([^ ,*]+)`)
	afterWord = regexp.MustCompile(`after=(\d+)`)
	plainMark = regexp.MustCompile(`(?is)^\s*(/\*.*?\*/\s*)*(insert|update|delete|merge|truncate)\b`)
)

// Now is the members' wall clock.
func (g *Group) Now() time.Time { return time.Now().Add(time.Duration(g.Wall.Load())) }

// applied is the position in Unix milliseconds: the moment up to which all changes are here.
func (m *Member) applied(now time.Time) int64 {
	now = now.Add(time.Duration(m.g.Wall.Load()))
	if m.primary() {
		return now.UnixMilli()
	}
	return now.Add(-time.Duration(m.g.Lag.Load())).UnixMilli()
}

func (m *Member) answer(sql string) (b []byte, ok bool) {
	primary := m.primary()
	now := time.Now()
	if plain := strings.TrimSpace(sql); plain == "SELECT 1" || plain == "SHOW load" {
		m.g.Probes.Add(1)
		role := 0
		if primary {
			role = 1
		}
		return m.end(rows(b, [][]string{{fmt.Sprintf("x0=%.3f,x1=%d,inflight=0", float64(m.applied(now))/1e3, role)}}, "SHOW"), primary, now), true
	}
	id := ""
	if f := idWord.FindAllStringSubmatch(sql, -1); f != nil { // the last comment is the client's own
		id = f[len(f)-1][1]
	}
	m.mu.Lock()
	n := len(m.seen)
	m.seen = append(m.seen, Seen{id, sql, primary, now})
	var fault Fault
	if m.fault != nil {
		fault = m.fault(n, sql)
	}
	m.mu.Unlock()
	time.Sleep(fault.Delay)
	switch {
	case fault.BreakBefore:
		return nil, false
	case fault.Code != "":
		return m.refuse(fault.Code, "scripted"), true
	case !primary && plainMark.MatchString(sql):
		return m.refuse(pgwire.CodeReadOnlyTransaction, "cannot execute a change in a read-only transaction"), true
	}
	if f := afterWord.FindStringSubmatch(sql); f != nil && !primary {
		if after, _ := strconv.ParseInt(f[1], 10, 64); after > m.applied(now) {
			return m.refuse(pgwire.CodeSnapshotTooOld, "too far behind"), true
		}
	}
	m.work <- struct{}{}
	began := time.Now()
	if m.known(primary, sql, now) { // a repeat: answered as before, without an effect
		<-m.work
		return m.end(rows(b, [][]string{{id}}, "INSERT 0 1"), primary, time.Now()), true
	}
	snapshot := m.applied(time.Now())
	res := m.g.Data.Run(sql)
	took := m.g.Each + time.Duration(res.Touched)*m.g.PerRow
	time.Sleep(took - time.Since(began))
	<-m.work
	if primary && (res.Changed || plainMark.MatchString(sql)) {
		m.g.mu.Lock()
		m.g.committed[id]++
		m.g.mu.Unlock()
	}
	if strings.Contains(sql, "age_of_data") { // what the client may hold the answer against
		res.Rows = [][]string{{strconv.FormatInt(snapshot, 10)}}
	}
	if fault.BreakAfter {
		return nil, false
	}
	if fault.Raw != nil {
		return fault.Raw, true
	}
	if res.Changed && !strings.Contains(strings.ToLower(sql), "returning") {
		return m.end(complete(b, "UPDATE 1"), primary, time.Now()), true
	}
	if res.Changed {
		res.Rows = [][]string{{id}}
	}
	return m.end(rows(b, res.Rows, "SELECT "+strconv.Itoa(len(res.Rows))), primary, time.Now()), true
}

// known tells whether a mark's change came within the window before, and notes it where it is the first. A window runs from when a
// statement came, however long it had to wait for its turn.
func (m *Member) known(primary bool, sql string, came time.Time) bool {
	f := markWord.FindStringSubmatch(sql)
	if f == nil || !primary || !plainMark.MatchString(sql) {
		return false
	}
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if at, ok := m.g.marks[f[1]]; ok && came.Sub(at) < m.g.Window {
		return true
	}
	m.g.marks[f[1]] = came
	return false
}

func (m *Member) refuse(code, what string) []byte {
	return m.end(pgwire.AppendErrorResponse(nil, "ERROR", code, what, ""), m.primary(), time.Now())
}

// end tells role and position, as members do, and that the connection is ready.
func (m *Member) end(b []byte, primary bool, now time.Time) []byte {
	role := "replica"
	if primary {
		role = "primary"
	}
	b = pgwire.AppendParameterStatus(b, "role", role)
	b = pgwire.AppendParameterStatus(b, "applied_ms", strconv.FormatInt(m.applied(now), 10))
	return pgwire.AppendReadyForQuery(b)
}

func message(b []byte, typ byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, typ), uint32(len(body)+4))
	return append(b, body...)
}

func complete(b []byte, tag string) []byte { return message(b, 'C', append([]byte(tag), 0)) }

// rows is an answer of text columns.
func rows(b []byte, rows [][]string, tag string) []byte {
	width := 1
	if len(rows) > 0 {
		width = len(rows[0])
	}
	head := binary.BigEndian.AppendUint16(nil, uint16(width))
	for i := range width {
		head = append(append(head, fmt.Sprintf("c%d", i)...), 0)
		head = append(head, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	b = message(b, 'T', head)
	for _, r := range rows {
		d := binary.BigEndian.AppendUint16(nil, uint16(width))
		for _, v := range r {
			d = append(binary.BigEndian.AppendUint32(d, uint32(len(v))), v...)
		}
		b = message(b, 'D', d)
	}
	return complete(b, tag)
}
