package fakeserver

import (
	"cmp"
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

// Group is a primary and its replicas, which serve the same data.
type Group struct {
	ID              int // number of the group in endpoint lists
	Data            *Data
	DurationPerRow  time.Duration // execution time for each touched row
	MinDuration     time.Duration // execution time of a statement that touches no row
	Cores           int           // statements that a server runs concurrently; others wait
	Servers         []*Server
	ForeignServers  []*Server    // servers of other groups that this group's endpoint list also contains
	PrimaryIndex    atomic.Int64 // index of the primary in Servers
	ReplicaLag      atomic.Int64 // nanoseconds by which replicas lag behind the primary
	WallClockOffset atomic.Int64 // nanoseconds by which the servers' wall clocks are ahead of this process's

	HealthChecks atomic.Int64 // health checks received
	Unanswered   atomic.Int64 // statements that hanging servers received

	DedupWindow time.Duration // how long an idempotency key is remembered

	mu        sync.Mutex           // guards the fields below
	committed map[string]int       // number of executed changes by request id
	keys      map[string]keyRecord // by idempotency key (k)
}

// keyRecord is what a group remembers of the first write with an idempotency key.
type keyRecord struct {
	seenAt          time.Time // when it was received
	committedMillis int64     // log position of its commit, in Unix milliseconds; 0 while it runs
}

// Statement is a statement that reached a server. It is recorded before it is run.
type Statement struct {
	ID, SQL string
	Primary bool // the server was the primary at that time
	At      time.Time
}

// Fault is a fault injected into a statement. The zero value is no fault.
type Fault struct {
	Code        string        // respond with this error code and do not run the statement
	BreakBefore bool          // close the connection and do not run the statement
	BreakAfter  bool          // run the statement and close the connection without a response
	Delay       time.Duration // wait before the statement is run or the fault takes effect
	RawResponse []byte        // respond with these bytes instead of the result
}

// Server is one server of a group.
type Server struct {
	Name     string
	group    *Group
	index    int
	listener net.Listener
	cores    chan struct{}

	mu            sync.Mutex // guards the fields below
	statements    []Statement
	fault         func(n int, sql string) Fault
	conns         map[net.Conn]struct{}
	closed        bool
	hanging       bool
	greetingDelay time.Duration // delay before the greeting of a new connection
	stoppedMillis int64         // log position at which a replica stands, in Unix milliseconds; 0 if it follows the primary
	heldReport    string        // load report that health checks get; "" for the present one
	goroutines    sync.WaitGroup
}

// Start starts a group on loopback whose first server is the primary. Each server runs up to cores statements concurrently. A
// statement takes minDuration plus durationPerRow for each row that it touches. The error is that of a listener.
func Start(d *Data, servers, cores int, minDuration, durationPerRow time.Duration) (*Group, error) {
	g := &Group{Data: d, MinDuration: minDuration, DurationPerRow: durationPerRow, Cores: cores, committed: map[string]int{},
		keys: map[string]keyRecord{}, DedupWindow: 2 * time.Second}
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		s := &Server{Name: fmt.Sprintf("s-%d", i), group: g, index: i, listener: l, cores: make(chan struct{}, cores),
			conns: map[net.Conn]struct{}{}}
		g.Servers = append(g.Servers, s)
		s.goroutines.Go(s.accept)
	}
	return g, nil
}

// Close closes the servers and their connections, and waits for their goroutines.
func (g *Group) Close() {
	for _, s := range g.Servers {
		_ = s.listener.Close()
		s.mu.Lock()
		s.closed = true
		for c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.goroutines.Wait()
	}
}

// ExecutionCount returns how often the change with a request id was executed.
func (g *Group) ExecutionCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.committed[id]
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Statements returns the statements that reached the server, in order.
func (s *Server) Statements() []Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Statement{}, s.statements...)
}

// Hang makes the server accept connections but respond to no statement while on is true. Switching it off closes all
// connections of the server.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging = on
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

func (s *Server) currentGreetingDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.greetingDelay
}

func (s *Server) isHanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging
}

// SetFault sets the function that chooses the fault of each statement from now on; n counts the statements of the server from
// 0.
func (s *Server) SetFault(f func(n int, sql string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Server) isPrimary() bool { return s.group.PrimaryIndex.Load() == int64(s.index) }

// accept accepts connections and serves each in its own goroutine, until the listener is closed.
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

// serve handles the startup of a connection and then its statements, until the connection ends or is closed by a fault.
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
	time.Sleep(s.currentGreetingDelay())
	if _, err := c.Write(pgwire.AppendStartupResponse(nil)); err != nil {
		return
	}
	for {
		typ, body, err := r.Next()
		if err != nil || typ != 'Q' || len(body) == 0 {
			return
		}
		if s.isHanging() {
			s.countUnanswered(string(body[:len(body)-1]))
			continue
		}
		answer, ok := s.respond(string(body[:len(body)-1]))
		if !ok {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// countUnanswered counts a query that the hanging server received.
func (s *Server) countUnanswered(sql string) {
	switch {
	case isEmptyQuery(sql):
	case isHealthCheck(sql):
		s.group.HealthChecks.Add(1)
	default:
		s.group.Unanswered.Add(1)
	}
}

var (
	requestIDPattern      = regexp.MustCompile(`/\*\s*id=([^ ,*]+)`)
	idempotencyKeyPattern = regexp.MustCompile(`[ ,]k=([^ ,*]+)`)
	minPositionPattern    = regexp.MustCompile(`after=(\d+)`)
	writePattern          = regexp.MustCompile(`(?is)^\s*(/\*.*?\*/\s*)*(insert|update|delete|merge|truncate)\b`)
)

// respond runs a statement and returns the response. If ok is false, the connection must be closed without a response.
func (s *Server) respond(sql string) (response []byte, ok bool) {
	now := time.Now()
	if isEmptyQuery(sql) {
		return pgwire.AppendEmptyQueryResponse(nil), true
	}
	if isHealthCheck(sql) {
		s.group.HealthChecks.Add(1)
		return s.loadReport(now), true
	}
	id := ""
	if f := requestIDPattern.FindAllStringSubmatch(sql, -1); f != nil { // the last comment is that of the client
		id = f[len(f)-1][1]
	}
	primary := s.isPrimary()
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

// isEmptyQuery reports whether a query holds no statement.
func isEmptyQuery(sql string) bool { return strings.TrimSpace(sql) == "" }

// isHealthCheck reports whether a statement is one of the health checks of a router.
func isHealthCheck(sql string) bool {
	plain := strings.TrimSpace(sql)
	return plain == "SELECT 1" || plain == "SHOW load"
}

// record records a statement and returns the fault to inject into it.
func (s *Server) record(statement Statement) (f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.statements)
	s.statements = append(s.statements, statement)
	if s.fault != nil {
		f = s.fault(n, statement.SQL)
	}
	return f
}

// execute runs a statement as soon as one of the server's cores is free, and occupies the core for as long as the work takes.
// If ok is false, the connection must be closed without a response.
func (s *Server) execute(sql, id string, primary bool, received time.Time, fault Fault) (response []byte, ok bool) {
	s.cores <- struct{}{}
	startedAt := time.Now()
	if first, ok := s.firstOfKey(primary, sql, received); ok { // the same response as before, without another execution
		<-s.cores
		return s.appendStatus(appendResult(nil, [][]string{{id}}, "INSERT 0 1"), primary, cmp.Or(first.committedMillis, s.appliedMillis(time.Now()))), true
	}
	snapshot := s.appliedMillis(time.Now())
	result := s.group.Data.Run(sql)
	duration := s.group.MinDuration + time.Duration(result.RowsTouched)*s.group.DurationPerRow
	time.Sleep(duration - time.Since(startedAt))
	<-s.cores
	if primary && (result.Changed || writePattern.MatchString(sql)) {
		s.group.mu.Lock()
		s.group.committed[id]++
		s.recordCommit(sql)
		s.group.mu.Unlock()
	}
	if strings.Contains(sql, "age_of_data") { // lets the client check how old the data is
		result.Rows = [][]string{{strconv.FormatInt(snapshot, 10)}}
	}
	if fault.BreakAfter {
		return nil, false
	}
	if fault.RawResponse != nil {
		return fault.RawResponse, true
	}
	return s.appendStatus(encodeResult(result, sql, id), primary, s.appliedMillis(time.Now())), true
}

// encodeResult encodes a result as messages. A change with a RETURNING clause returns its request id.
func encodeResult(result Result, sql, id string) []byte {
	if result.Changed && !strings.Contains(strings.ToLower(sql), "returning") {
		return appendCommandComplete(nil, "UPDATE 1")
	}
	if result.Changed {
		result.Rows = [][]string{{id}}
	}
	return appendResult(nil, result.Rows, "SELECT "+strconv.Itoa(len(result.Rows)))
}

// firstOfKey returns what is remembered of the first write with the same idempotency key, if that was received within the window, and
// otherwise records this one. The window begins when a statement is received, however long the statement then waits to be run.
func (s *Server) firstOfKey(primary bool, sql string, received time.Time) (first keyRecord, ok bool) {
	key := idempotencyKey(sql)
	if key == "" || !primary {
		return keyRecord{}, false
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if first, ok = s.group.keys[key]; ok && received.Sub(first.seenAt) < s.group.DedupWindow {
		return first, true
	}
	s.group.keys[key] = keyRecord{seenAt: received}
	return keyRecord{}, false
}

// recordCommit records the position of the commit of a write with an idempotency key. The caller holds the group's lock.
func (s *Server) recordCommit(sql string) {
	if key := idempotencyKey(sql); key != "" {
		record := s.group.keys[key]
		record.committedMillis = s.appliedMillis(time.Now())
		s.group.keys[key] = record
	}
}

// idempotencyKey returns the idempotency key of a write, or "".
func idempotencyKey(sql string) string {
	f := idempotencyKeyPattern.FindStringSubmatch(sql)
	if f == nil || !writePattern.MatchString(sql) {
		return ""
	}
	return f[1]
}

// errorResponse returns an ErrorResponse with the status of the server and ReadyForQuery.
func (s *Server) errorResponse(code, text string) []byte {
	return s.appendStatus(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: code, Message: text}),
		s.isPrimary(), s.appliedMillis(time.Now()))
}

// appendStatus appends the role and a log position in Unix milliseconds, as servers report them, and ReadyForQuery.
func (s *Server) appendStatus(b []byte, primary bool, positionMillis int64) []byte {
	role := "replica"
	if primary {
		role = "primary"
	}
	b = pgwire.AppendParameterStatus(b, "role", role)
	b = pgwire.AppendParameterStatus(b, "applied_ms", strconv.FormatInt(positionMillis, 10))
	return pgwire.AppendReadyForQuery(b)
}

// appendMessage appends a message of a type.
func appendMessage(b []byte, typ byte, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(append(b, typ), uint32(len(body)+4))
	return append(b, body...)
}

// appendCommandComplete appends a CommandComplete message.
func appendCommandComplete(b []byte, tag string) []byte {
	return appendMessage(b, 'C', append([]byte(tag), 0))
}

// appendResult appends the messages of a result with text columns: RowDescription, a DataRow for each row, and CommandComplete.
func appendResult(b []byte, rows [][]string, tag string) []byte {
	width := 1
	if len(rows) > 0 {
		width = len(rows[0])
	}
	head := binary.BigEndian.AppendUint16(nil, uint16(width))
	for i := range width {
		head = append(append(head, fmt.Sprintf("c%d", i)...), 0)
		head = append(head, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	b = appendMessage(b, 'T', head)
	for _, r := range rows {
		d := binary.BigEndian.AppendUint16(nil, uint16(width))
		for _, v := range r {
			d = append(binary.BigEndian.AppendUint32(d, uint32(len(v))), v...)
		}
		b = appendMessage(b, 'D', d)
	}
	return appendCommandComplete(b, tag)
}
