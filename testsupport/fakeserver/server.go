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
	ID      int // as endpoint lists have it
	Data    *Data
	PerRow  time.Duration // time that a touched row takes
	Each    time.Duration // time that a statement takes at least
	Cores   int           // statements that a server runs at once; more wait
	Members []*Member
	Guests  []*Member    // servers of other groups that this group's endpoint list names too
	Primary atomic.Int64 // index of the primary
	Lag     atomic.Int64 // nanoseconds by which replicas are behind
	Wall    atomic.Int64 // nanoseconds by which the servers' wall clocks are ahead of this process's

	Probes    atomic.Int64 // health checks received
	Swallowed atomic.Int64 // statements that a hanging server received

	Window time.Duration // how long an idempotency key is remembered

	mu        sync.Mutex           // guards what follows
	committed map[string]int       // by id: changes that took effect
	marks     map[string]time.Time // by idempotency key (k): when its statement came
}

// Seen is a statement that reached a server, recorded before it is run.
type Seen struct {
	ID, SQL string
	Primary bool // the server was the primary then
	At      time.Time
}

// Fault is what goes wrong with a statement; the zero value is no fault.
type Fault struct {
	Code        string // respond with this code, run nothing
	BreakBefore bool   // close the connection, run nothing
	BreakAfter  bool   // run it and close the connection without a response
	Delay       time.Duration
	Raw         []byte // respond with these bytes in place of the result
}

// Member is one server of a group.
type Member struct {
	Name string
	g    *Group
	at   int
	l    net.Listener
	work chan struct{}

	mu     sync.Mutex // guards what follows
	seen   []Seen
	fault  func(n int, sql string) Fault
	conns  map[net.Conn]struct{}
	closed bool
	hangs  bool
	greets time.Duration // delay of the greeting of a new connection
	done   sync.WaitGroup
}

// Start starts a group on loopback whose first server is the primary. Each server runs cores statements at once; a statement takes each,
// and perRow for each row that it touches. The error is that of a listener.
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

// Close closes the servers and their connections and waits for their goroutines.
func (g *Group) Close() {
	for _, m := range g.Members {
		_ = m.l.Close()
		m.mu.Lock()
		m.closed = true
		for c := range m.conns {
			_ = c.Close()
		}
		m.mu.Unlock()
		m.done.Wait()
	}
}

// Succeeded returns how often the change of an id took effect.
func (g *Group) Succeeded(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.committed[id]
}

// Address returns the host and port that the server listens on.
func (m *Member) Address() string { return m.l.Addr().String() }

// Seen returns the statements that have reached the server.
func (m *Member) Seen() []Seen {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Seen{}, m.seen...)
}

// Hang makes the server accept connections and respond to nothing while it is on; switching it off closes its connections.
func (m *Member) Hang(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hangs = on
	if !on {
		for c := range m.conns {
			_ = c.Close()
		}
	}
}

// WelcomeAfter delays the greeting of new connections.
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

// Break sets the fault of each statement from now on; n counts the server's statements from 0.
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
			_ = c.Close()
			return
		}
		m.conns[c] = struct{}{}
		m.mu.Unlock()
		m.done.Go(func() {
			defer func() {
				_ = c.Close()
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
		if _, err := c.Write([]byte{'N'}); err != nil {
			return
		}
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
			if isHealthCheck(string(body[:len(body)-1])) {
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

// Now returns the servers' wall clock.
func (g *Group) Now() time.Time { return time.Now().Add(time.Duration(g.Wall.Load())) }

// applied is the log position in Unix milliseconds: the time up to which all changes are applied here.
func (m *Member) applied(now time.Time) int64 {
	now = now.Add(time.Duration(m.g.Wall.Load()))
	if m.primary() {
		return now.UnixMilli()
	}
	return now.Add(-time.Duration(m.g.Lag.Load())).UnixMilli()
}

// answer runs a statement and returns the response; without ok the connection is closed in its place.
func (m *Member) answer(sql string) (response []byte, ok bool) {
	now := time.Now()
	if isHealthCheck(sql) {
		m.g.Probes.Add(1)
		return m.loadReport(now), true
	}
	id := ""
	if f := idWord.FindAllStringSubmatch(sql, -1); f != nil { // the last comment is the client's own
		id = f[len(f)-1][1]
	}
	primary := m.primary()
	fault := m.record(Seen{id, sql, primary, now})
	time.Sleep(fault.Delay)
	switch {
	case fault.BreakBefore:
		return nil, false
	case fault.Code != "":
		return m.refuse(fault.Code, "scripted"), true
	case !primary && plainMark.MatchString(sql):
		return m.refuse(pgwire.CodeReadOnlyTransaction, "cannot execute a change in a read-only transaction"), true
	case !primary && m.isBehind(sql, now):
		return m.refuse(pgwire.CodeSnapshotTooOld, "too far behind"), true
	}
	return m.execute(sql, id, primary, now, fault)
}

func isHealthCheck(sql string) bool {
	plain := strings.TrimSpace(sql)
	return plain == "SELECT 1" || plain == "SHOW load"
}

// loadReport is the response to a health check.
func (m *Member) loadReport(now time.Time) []byte {
	primary, role := m.primary(), 0
	if primary {
		role = 1
	}
	report := fmt.Sprintf("x0=%.3f,x1=%d,inflight=0", float64(m.applied(now))/1e3, role)
	return m.end(rows(nil, [][]string{{report}}, "SHOW"), primary, now)
}

// record notes a statement and returns the fault that is set for it.
func (m *Member) record(s Seen) (f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.seen)
	m.seen = append(m.seen, s)
	if m.fault != nil {
		f = m.fault(n, s.SQL)
	}
	return f
}

// isBehind reports whether the position that a statement asks for is not applied here yet.
func (m *Member) isBehind(sql string, now time.Time) bool {
	f := afterWord.FindStringSubmatch(sql)
	if f == nil {
		return false
	}
	after, _ := strconv.ParseInt(f[1], 10, 64) // digits; one too long is the greatest
	return after > m.applied(now)
}

// execute runs a statement once one of the server's cores is free, and takes as long as its work does.
func (m *Member) execute(sql, id string, primary bool, received time.Time, fault Fault) (response []byte, ok bool) {
	m.work <- struct{}{}
	began := time.Now()
	if m.known(primary, sql, received) { // a repeat: answered as before, without an effect
		<-m.work
		return m.end(rows(nil, [][]string{{id}}, "INSERT 0 1"), primary, time.Now()), true
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
	if strings.Contains(sql, "age_of_data") { // what the client may compare the answer with
		res.Rows = [][]string{{strconv.FormatInt(snapshot, 10)}}
	}
	if fault.BreakAfter {
		return nil, false
	}
	if fault.Raw != nil {
		return fault.Raw, true
	}
	return m.end(encodeResult(res, sql, id), primary, time.Now()), true
}

// encodeResult is a result as messages; a change returns its id where it asks for RETURNING.
func encodeResult(res Result, sql, id string) []byte {
	if res.Changed && !strings.Contains(strings.ToLower(sql), "returning") {
		return complete(nil, "UPDATE 1")
	}
	if res.Changed {
		res.Rows = [][]string{{id}}
	}
	return rows(nil, res.Rows, "SELECT "+strconv.Itoa(len(res.Rows)))
}

// known reports whether a statement with the same idempotency key came within the window before, and records the first. The window
// begins when a statement comes, however long it waits to be run.
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
	return m.end(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: what}), m.primary(), time.Now())
}

// end appends role and position, as servers report them, and that the connection is ready.
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

// rows appends a result of text columns.
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
