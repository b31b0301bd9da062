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
	ID              int // as endpoint lists have it
	Data            *Data
	DurationPerRow  time.Duration // time that a touched row takes
	MinDuration     time.Duration // time that a statement takes at least
	Cores           int           // statements that a server runs at once; more wait
	Servers         []*Server
	ForeignServers  []*Server    // servers of other groups that this group's endpoint list names too
	Primary         atomic.Int64 // index of the primary
	ReplicaLag      atomic.Int64 // nanoseconds by which replicas are behind
	WallClockOffset atomic.Int64 // nanoseconds by which the servers' wall clocks are ahead of this process's

	HealthChecks atomic.Int64 // health checks received
	Unanswered   atomic.Int64 // statements that a hanging server received

	DedupWindow time.Duration // how long an idempotency key is remembered

	mu         sync.Mutex           // guards what follows
	committed  map[string]int       // by id: changes that took effect
	keysSeenAt map[string]time.Time // by idempotency key (k): when its statement came
}

// Statement is a statement that reached a server, recorded before it is run.
type Statement struct {
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
	RawResponse []byte // respond with these bytes in place of the result
}

// Server is one server of a group.
type Server struct {
	Name     string
	group    *Group
	index    int
	listener net.Listener
	cores    chan struct{}

	mu            sync.Mutex // guards what follows
	seen          []Statement
	fault         func(n int, sql string) Fault
	conns         map[net.Conn]struct{}
	closed        bool
	hangs         bool
	greetingDelay time.Duration // delay of the greeting of a new connection
	goroutines    sync.WaitGroup
}

// Start starts a group on loopback whose first server is the primary. Each server runs cores statements at once; a statement takes minDuration,
// and durationPerRow for each row that it touches. The error is that of a listener.
func Start(d *Data, servers, cores int, minDuration, durationPerRow time.Duration) (*Group, error) {
	g := &Group{Data: d, MinDuration: minDuration, DurationPerRow: durationPerRow, Cores: cores, committed: map[string]int{},
		keysSeenAt: map[string]time.Time{}, DedupWindow: 2 * time.Second}
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		s := &Server{Name: fmt.Sprintf("s-%d", i), group: g, index: i, listener: l, cores: make(chan struct{}, cores), conns: map[net.Conn]struct{}{}}
		g.Servers = append(g.Servers, s)
		s.goroutines.Go(s.accept)
	}
	return g, nil
}

// Close closes the servers and their connections and waits for their goroutines.
func (g *Group) Close() {
	for _, m := range g.Servers {
		_ = m.listener.Close()
		m.mu.Lock()
		m.closed = true
		for c := range m.conns {
			_ = c.Close()
		}
		m.mu.Unlock()
		m.goroutines.Wait()
	}
}

// ExecutionCount returns how often the change of an id took effect.
func (g *Group) ExecutionCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.committed[id]
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Statements returns the statements that have reached the server.
func (s *Server) Statements() []Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Statement{}, s.seen...)
}

// Hang makes the server accept connections and respond to nothing while it is on; switching it off closes its connections.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs = on
	if !on {
		for c := range s.conns {
			_ = c.Close()
		}
	}
}

// DelayGreeting delays the greeting of new connections.
func (s *Server) DelayGreeting(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.greetingDelay = delay
}

func (s *Server) welcomeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.greetingDelay
}

func (s *Server) hung() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hangs
}

// SetFault sets the fault of each statement from now on; n counts the server's statements from 0.
func (s *Server) SetFault(f func(n int, sql string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Server) primary() bool { return s.group.Primary.Load() == int64(s.index) }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.goroutines.Go(func() {
			defer func() {
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
			s.serve(c)
		})
	}
}

func (s *Server) serve(c net.Conn) {
	r := pgwire.NewReader(c, 4096, 1<<20)
	for {
		startup, err := r.ReadStartup()
		if err != nil || startup.CancelRequest {
			return
		}
		if !startup.EncryptionRequest {
			break
		}
		if _, err := c.Write([]byte{'N'}); err != nil {
			return
		}
	}
	time.Sleep(s.welcomeDelay())
	if _, err := c.Write(pgwire.AppendGreeting(nil)); err != nil {
		return
	}
	for {
		typ, body, err := r.Next()
		if err != nil || typ != 'Q' || len(body) == 0 {
			return
		}
		if s.hung() {
			if isHealthCheck(string(body[:len(body)-1])) {
				s.group.HealthChecks.Add(1)
			} else {
				s.group.Unanswered.Add(1)
			}
			continue
		}
		answer, ok := s.answer(string(body[:len(body)-1]))
		if !ok {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

var (
	requestIDPattern      = regexp.MustCompile(`/\*\s*id=([^ ,*]+)`)
	idempotencyKeyPattern = regexp.MustCompile(`[ ,]k=([^ ,*]+)`)
	minPositionPattern    = regexp.MustCompile(`after=(\d+)`)
	writePattern          = regexp.MustCompile(`(?is)^\s*(/\*.*?\*/\s*)*(insert|update|delete|merge|truncate)\b`)
)

// Now returns the servers' wall clock.
func (g *Group) Now() time.Time { return time.Now().Add(time.Duration(g.WallClockOffset.Load())) }

// applied is the log position in Unix milliseconds: the time up to which all changes are applied here.
func (s *Server) applied(now time.Time) int64 {
	now = now.Add(time.Duration(s.group.WallClockOffset.Load()))
	if s.primary() {
		return now.UnixMilli()
	}
	return now.Add(-time.Duration(s.group.ReplicaLag.Load())).UnixMilli()
}

// answer runs a statement and returns the response; without ok the connection is closed in its place.
func (s *Server) answer(sql string) (response []byte, ok bool) {
	now := time.Now()
	if isHealthCheck(sql) {
		s.group.HealthChecks.Add(1)
		return s.loadReport(now), true
	}
	id := ""
	if f := requestIDPattern.FindAllStringSubmatch(sql, -1); f != nil { // the last comment is the client's own
		id = f[len(f)-1][1]
	}
	primary := s.primary()
	fault := s.record(Statement{id, sql, primary, now})
	time.Sleep(fault.Delay)
	switch {
	case fault.BreakBefore:
		return nil, false
	case fault.Code != "":
		return s.errorResponse(fault.Code, "scripted"), true
	case !primary && writePattern.MatchString(sql):
		return s.errorResponse(pgwire.CodeReadOnlyTransaction, "cannot execute a change in a read-only transaction"), true
	case !primary && s.isBehind(sql, now):
		return s.errorResponse(pgwire.CodeSnapshotTooOld, "too far behind"), true
	}
	return s.execute(sql, id, primary, now, fault)
}

func isHealthCheck(sql string) bool {
	plain := strings.TrimSpace(sql)
	return plain == "SELECT 1" || plain == "SHOW load"
}

// loadReport is the response to a health check.
func (s *Server) loadReport(now time.Time) []byte {
	primary, role := s.primary(), 0
	if primary {
		role = 1
	}
	report := fmt.Sprintf("x0=%.3f,x1=%d,inflight=0", float64(s.applied(now))/1e3, role)
	return s.appendStatus(rows(nil, [][]string{{report}}, "SHOW"), primary, now)
}

// record notes a statement and returns the fault that is set for it.
func (s *Server) record(statement Statement) (f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.seen)
	s.seen = append(s.seen, statement)
	if s.fault != nil {
		f = s.fault(n, statement.SQL)
	}
	return f
}

// isBehind reports whether the position that a statement asks for is not applied here yet.
func (s *Server) isBehind(sql string, now time.Time) bool {
	f := minPositionPattern.FindStringSubmatch(sql)
	if f == nil {
		return false
	}
	after, _ := strconv.ParseInt(f[1], 10, 64) // digits; one too long is the greatest
	return after > s.applied(now)
}

// execute runs a statement once one of the server's cores is free, and takes as long as its work does.
func (s *Server) execute(sql, id string, primary bool, received time.Time, fault Fault) (response []byte, ok bool) {
	s.cores <- struct{}{}
	began := time.Now()
	if s.isRepeat(primary, sql, received) { // a repeat: answered as before, without an effect
		<-s.cores
		return s.appendStatus(rows(nil, [][]string{{id}}, "INSERT 0 1"), primary, time.Now()), true
	}
	snapshot := s.applied(time.Now())
	res := s.group.Data.Run(sql)
	took := s.group.MinDuration + time.Duration(res.RowsTouched)*s.group.DurationPerRow
	time.Sleep(took - time.Since(began))
	<-s.cores
	if primary && (res.Changed || writePattern.MatchString(sql)) {
		s.group.mu.Lock()
		s.group.committed[id]++
		s.group.mu.Unlock()
	}
	if strings.Contains(sql, "age_of_data") { // what the client may compare the answer with
		res.Rows = [][]string{{strconv.FormatInt(snapshot, 10)}}
	}
	if fault.BreakAfter {
		return nil, false
	}
	if fault.RawResponse != nil {
		return fault.RawResponse, true
	}
	return s.appendStatus(encodeResult(res, sql, id), primary, time.Now()), true
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

// isRepeat reports whether a statement with the same idempotency key came within the window before, and records the first. The window
// begins when a statement comes, however long it waits to be run.
func (s *Server) isRepeat(primary bool, sql string, came time.Time) bool {
	f := idempotencyKeyPattern.FindStringSubmatch(sql)
	if f == nil || !primary || !writePattern.MatchString(sql) {
		return false
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if at, ok := s.group.keysSeenAt[f[1]]; ok && came.Sub(at) < s.group.DedupWindow {
		return true
	}
	s.group.keysSeenAt[f[1]] = came
	return false
}

func (s *Server) errorResponse(code, what string) []byte {
	return s.appendStatus(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: what}), s.primary(), time.Now())
}

// appendStatus appends role and position, as servers report them, and that the connection is ready.
func (s *Server) appendStatus(b []byte, primary bool, now time.Time) []byte {
	role := "replica"
	if primary {
		role = "primary"
	}
	b = pgwire.AppendParameterStatus(b, "role", role)
	b = pgwire.AppendParameterStatus(b, "applied_ms", strconv.FormatInt(s.applied(now), 10))
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
