package sockets

import (
	"bytes"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// direct sends every request to member 0 and rolls back what does not commit. It tells what it hears.
type direct struct {
	routing.Host
	begun chan routing.Request
	ended chan routing.AttemptOutcome
	left  chan routing.RequestRef
	out   []routing.RequestRef
}

func (d *direct) RequiredPosition(routing.RequestRef) (time.Duration, bool)                     { return 0, false }
func (d *direct) EndpointsChanged(time.Duration, routing.UpdateKind, int64, []routing.Endpoint) {}
func (d *direct) RequestReceived(_ time.Duration, t routing.Request) {
	d.out = append(d.out, t.Ref)
	d.begun <- t
}
func (d *direct) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	if !o.RequestFinished {
		d.Fail(o.Ref)
	}
	d.ended <- o
}
func (d *direct) ClientGone(_ time.Duration, r routing.RequestRef) { // as the module does: what left in the batch in which it came goes nowhere
	d.out = slices.DeleteFunc(d.out, func(begun routing.RequestRef) bool { return begun == r })
	d.left <- r
}
func (d *direct) ClockCorrected(time.Duration, time.Duration) {}
func (d *direct) GossipReceived(time.Duration, int, []byte)   {}
func (d *direct) TimerFired(time.Duration)                    {}
func (d *direct) Reconcile(time.Duration) {
	for _, r := range d.out {
		d.StartAttempt(r, 0, 0)
	}
	d.out = d.out[:0]
}
func (d *direct) HealthCheckFinished(time.Duration, int, routing.AttemptResult, time.Duration, routing.LoadReport) {
}

type nobody struct{}

func (nobody) Watch(bool) {}
func (nobody) Fetch()     {}

// rig is a front between a stand-in member and the test's clients.
type rig struct {
	t      *testing.T
	d      *direct
	core   *front.Core
	links  *Pools
	server *Server
	room   *Descriptors
	listen *net.TCPListener
	member *net.TCPListener
	served chan error
}

func newRig(t *testing.T, descriptors int) *rig {
	g := &rig{t: t, d: &direct{begun: make(chan routing.Request, 100), ended: make(chan routing.AttemptOutcome, 100),
		left: make(chan routing.RequestRef, 100)}, room: NewDescriptors(descriptors, 0), served: make(chan error, 1)}
	g.listen, g.member = listen(t), listen(t)
	clock := NewClock()
	post := func(e front.Event) { g.core.Post(e) }
	g.links = NewPools(post, g.room, "portal", "crm", 5*time.Second, time.Minute, 32<<20)
	s := &deployment.Settings{TypeNames: []string{"read", "write"}, ZoneNames: []string{"a"},
		RequestTypes: []routing.RequestType{{Deadline: time.Minute}, {Deadline: time.Minute, Consistency: routing.Write}},
		Limits:       routing.Limits{MaxAttempts: 9, DialTimeout: 5 * time.Second}}
	g.core = front.NewCore(front.Options{StartedAt: clock.StartedAt, Seed: 1, Settings: s, Pools: g.links, Endpoints: nobody{}, NewRouter: func(h routing.Host, _ routing.Options) routing.Router {
		g.d.Host = h
		return g.d
	}})
	g.list(g.member.Addr().String(), 0)
	g.server = NewServer(post, g.room, clock, 5*time.Second, 32<<20)
	g.server.idle = time.Minute
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { g.core.Run(clock, stop) })
	running.Go(func() { g.served <- g.server.Serve(g.listen) })
	t.Cleanup(func() {
		g.listen.Close()
		close(stop)
		running.Wait()
	})
	return g
}

func listen(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

func (g *rig) list(address string, since int64) {
	g.core.Post(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: address, Zone: "a", Group: 2, StartedAtMillis: since}}}})
}

// peer is one end of a connection, as the test plays it.
type peer struct {
	t *testing.T
	net.Conn
	r *pgwire.Reader
}

func newPeer(t *testing.T, c net.Conn) *peer {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second)) // only so that a failing test ends
	return &peer{t, c, pgwire.NewReader(c, 4096, 1<<20)}
}

func (p *peer) say(b ...byte) { _, err := p.Write(b); require.NoError(p.t, err) }

func (p *peer) hear(types string) (last []byte) {
	p.t.Helper()
	for _, want := range types {
		typ, body, err := p.r.Next()
		require.NoError(p.t, err)
		require.Equal(p.t, string(want), string(typ), "%q", body)
		if typ != 'Z' {
			last = append(last[:0], body...)
		}
	}
	return last
}

func (p *peer) ends() {
	p.t.Helper()
	_, _, err := p.r.Next()
	require.ErrorIs(p.t, err, io.EOF)
}

func (g *rig) accept() *peer {
	c, err := g.member.Accept()
	require.NoError(g.t, err)
	p := newPeer(g.t, c)
	_, err = p.r.ReadStartup()
	require.NoError(g.t, err)
	return p
}

func (g *rig) memberUp() *peer {
	p := g.accept()
	p.say(pgwire.AppendGreeting(nil)...)
	return p
}

func (g *rig) dial() *peer {
	c, err := net.Dial("tcp", g.listen.Addr().String())
	require.NoError(g.t, err)
	return newPeer(g.t, c)
}

func (g *rig) client() *peer {
	p := g.dial()
	p.say(pgwire.AppendStartup(nil, "portal", "crm")...)
	p.hear("RSSSSZ")
	return p
}

var ids atomic.Int64

func read(wait string) []byte {
	return pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = 'k' /* id="+strconv.FormatInt(ids.Add(1), 10)+",c=read,d="+wait+",cluster=2 */")
}

func message(typ byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{typ, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

func row(value string) []byte {
	n := len(value)
	return bytes.Join([][]byte{message('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"),
		message('D', "\x00\x01"+string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+value),
		message('C', "SELECT 1\x00")}, nil)
}

func whole(value string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(row(value), "role", "replica"))
}

func TestATxnPassesThroughWithItsStartupInOneWrite(t *testing.T) {
	g := newRig(t, 40)
	c := g.dial()
	c.say(append(pgwire.AppendStartup(nil, "portal", "crm"), read("4000")...)...)
	m := g.memberUp()
	assert.Regexp(t, `SELECT data FROM facts WHERE code = 'k' /\* id=\d+,c=read,d=\d+,cluster=2 \*/`, string(m.hear("Q")))
	value := string(bytes.Repeat([]byte{0, 255}, 200<<10)) // the day of slow clients has values of 400 KB
	m.say(whole(value)...)
	c.hear("RSSSSZT")
	assert.Equal(t, value, string(c.hear("D")[6:]))
	c.hear("CZ")
	o := <-g.d.ended
	assert.True(t, o.Result == routing.Succeeded && o.RequestFinished && o.Role == routing.Replica)
	c.say(read("4000")...)
	m.hear("Q") // over the same connection
	m.say(whole("v")...)
	c.hear("TDCZ")
	c.say(message('X', "")...)
	c.ends()
}

func TestWhatIsNoSimpleQuery(t *testing.T) {
	g := newRig(t, 40)
	c := g.dial()
	c.say(0, 0, 0, 8, 4, 210, 22, 47)
	n := []byte{0}
	_, err := io.ReadFull(c, n)
	require.True(t, err == nil && n[0] == 'N')
	c.say(pgwire.AppendStartup(nil, "portal", "crm")...)
	c.hear("RSSSSZ")
	c.say(pgwire.AppendQuery(nil, "")...)
	c.hear("IZ")
	c.say(bytes.Join([][]byte{message('P', "x"), message('B', "x"), message('S', "")}, nil)...)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeFeatureNotSupported)
	c.say(pgwire.AppendQuery(nil, "SELECT 1")...)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeSyntaxError)
	c.say(message('?', "")...)
	assert.Contains(t, string(c.hear("E")), pgwire.CodeProtocolViolation)
	c.ends()
	for _, bad := range [][]byte{{0, 0, 0, 3, 1}, {0, 0, 0, 8, 0, 2, 0, 0}} {
		c := g.dial()
		c.say(bad...)
		assert.Contains(t, string(c.hear("E")), pgwire.CodeProtocolViolation)
		c.ends()
	}
	c = g.dial()
	c.say(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)...)...)
	c.ends()
}

func TestAClientThatClosesIsNoticedWhileItsTxnIsOut(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("4000")...)
	g.memberUp().hear("Q")
	c.Close()
	assert.Equal(t, (<-g.d.begun).Ref, <-g.d.left)
}

func TestWhatIsGivenUpIsCutAtTheMember(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("60")...)
	m := g.memberUp()
	m.hear("Q")
	m.ends()
	assert.Equal(t, routing.TimedOut, (<-g.d.ended).Result)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTransactionRollback)
	c.say(read("4000")...)
	m = g.memberUp()
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
}

func TestHowFarASubmissionHadCome(t *testing.T) {
	for name, x := range map[string]struct {
		act  func(g *rig)
		want routing.AttemptResult
	}{
		"refused":                      {func(g *rig) { g.member.Close() }, routing.Unreachable},
		"closed before welcome":        {func(g *rig) { g.accept().Close() }, routing.Unreachable},
		"no sense as welcome":          {func(g *rig) { g.accept().say(message('?', "")...) }, routing.Unreachable},
		"an answer with the welcome":   {func(g *rig) { g.accept().say(append(pgwire.AppendGreeting(nil), whole("v")...)...) }, routing.Unreachable},
		"half a line with the welcome": {func(g *rig) { g.accept().say(append(pgwire.AppendGreeting(nil), row("v")[:20]...)...) }, routing.Unreachable},
		"the end with the welcome": {func(g *rig) { // in one piece, however busy the machine is
			m := g.accept()
			raw, err := m.Conn.(*net.TCPConn).SyscallConn()
			require.NoError(g.t, err)
			raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
			require.NoError(g.t, err)
			m.say(pgwire.AppendGreeting(nil)...)
			m.Close()
		}, routing.Unreachable},
		"turned away at welcome": {func(g *rig) { g.accept().say(pgwire.AppendErrorResponse(nil, "FATAL", "53300", "full", "")...) }, routing.Overloaded},
		"closed after the query": {func(g *rig) { m := g.memberUp(); m.hear("Q"); m.Close() }, routing.ConnectionLost},
		"closed within the row":  {func(g *rig) { m := g.memberUp(); m.hear("Q"); m.say(row("v")[:40]...); m.Close() }, routing.ConnectionLost},
		"two rows":               {func(g *rig) { m := g.memberUp(); m.hear("Q"); m.say(append(row("v"), whole("w")...)...) }, routing.ServerError},
		"a row's wrong length, the rest never sent": {func(g *rig) {
			m := g.memberUp()
			m.hear("Q")
			m.say(row("v")[:len(row(""))-25]...)
			m.say('D', 0, 0, 9, 0, 0, 1, 0, 0, 0, 1)
		}, routing.ServerError},
		"noise":     {func(g *rig) { m := g.memberUp(); m.hear("Q"); m.say([]byte("zzzz\x00")...) }, routing.ServerError},
		"oversized": {func(g *rig) { m := g.memberUp(); m.hear("Q"); m.say('D', 127, 0, 0, 0) }, routing.ServerError},
		"a fatal error": {func(g *rig) {
			m := g.memberUp()
			m.hear("Q")
			m.say(pgwire.AppendErrorResponse(nil, "FATAL", "72000", "behind", "")...)
			m.Close()
		}, routing.Misrouted},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 40)
			c := g.client()
			if x.want == routing.Unreachable && name == "refused" {
				x.act(g)
				c.say(read("4000")...)
			} else {
				c.say(read("4000")...)
				x.act(g)
			}
			assert.Equal(t, x.want, (<-g.d.ended).Result)
			assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTransactionRollback, "no part of a value reaches the client")
		})
	}
}

func (g *rig) idle() int {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	return len(g.links.pool(0).idle)
}

// serve takes one request through and leaves its connections idle.
func (g *rig) serve() (c, m *peer) {
	c = g.client()
	c.say(read("4000")...)
	m = g.memberUp()
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	<-g.d.ended
	require.Equal(g.t, 1, g.idle())
	return c, m
}

// resting waits until a client's connection has nothing to do.
func (g *rig) resting() {
	g.eventually(func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		for c := range g.server.clients {
			if c.idle.Load() > 0 {
				return true
			}
		}
		return false
	})
}

func (g *rig) address() string {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	return g.links.pool(0).address
}

// settled waits until so many links are idle.
func (g *rig) settled(idle int) { g.eventually(func() bool { return g.idle() == idle }) }

func (g *rig) eventually(what func() bool) {
	require.Eventually(g.t, what, 10*time.Second, time.Millisecond)
}

func TestAnIdleConnectionThatEndedIsNotUsed(t *testing.T) {
	g := newRig(t, 40)
	c, m := g.serve()
	m.Close()
	g.eventually(func() bool { return g.idle() == 0 })
	c.say(read("4000")...)
	m = g.memberUp()
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	assert.Equal(t, routing.Succeeded, (<-g.d.ended).Result)
}

// The day of bad members: what came unasked answered the next attempt of the link, and so on, 416 times.
func TestSurplusBytesSpoilTheLinkAndNothingElse(t *testing.T) {
	for name, after := range map[string]func(g *rig, m *peer){
		"with the answer": func(g *rig, m *peer) { m.say(append(whole("v"), whole("stale")...)...) },
		"on an idle link": func(g *rig, m *peer) { m.say(whole("v")...); g.settled(1); m.say(whole("stale")...) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 40)
			c := g.client()
			c.say(read("4000")...)
			m := g.memberUp()
			m.hear("Q")
			after(g, m)
			c.hear("TDCZ")
			g.settled(0)
			c.say(read("4000")...)
			m = g.memberUp()
			m.hear("Q")
			m.say(whole("w")...)
			c.hear("T")
			assert.Equal(t, "w", string(c.hear("D")[6:]))
		})
	}
}

// A link that was taken just as its member spoke or ended is left unused: nothing of the attempt was sent.
func TestASubmissionOnASpoiltLinkTakesAnother(t *testing.T) {
	for name, spoil := range map[string]func(m *peer){
		"bytes": func(m *peer) { m.say(whole("stale")...) },
		"end":   func(m *peer) { m.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 40)
			ended := make(chan front.Event, 1)
			g.links.post = func(e front.Event) { ended <- e }
			g.eventually(func() bool { return g.address() != "" })
			conn, err := net.Dial("tcp", g.member.Addr().String())
			require.NoError(t, err)
			l := &memberConn{ls: g.links, pool: g.links.pool(0), address: g.address(), conn: conn.(*net.TCPConn), job: make(chan *front.Attempt, 1),
				r: pgwire.NewReader(conn, 4096, 4096)}
			c, err := g.member.Accept()
			require.NoError(t, err)
			spoil(newPeer(t, c))
			g.eventually(func() bool { return peek(l.conn) >= 0 })
			s := front.NewHealthCheck(pgwire.AppendQuery(nil, "SELECT 2"))
			l.job <- s
			assert.Nil(t, l.awaitJob())
			m := g.memberUp()
			m.hear("Q")
			m.say(whole("w")...)
			assert.Nil(t, (<-ended).(*front.AttemptFinished).Err)
		})
	}
}

// What takes the place of a failed attempt must not be out beside it.
func TestALinkIsClosedBeforeItsFailureIsTold(t *testing.T) {
	g := newRig(t, 40)
	post, m, seen := g.links.post, make(chan *peer, 1), make(chan error, 1)
	g.links.post = func(e front.Event) {
		_, _, err := (<-m).r.Next()
		seen <- err
		post(e)
	}
	g.client().say(read("4000")...)
	up := g.memberUp()
	up.hear("Q")
	up.say(message('?', "")...)
	m <- up
	assert.ErrorIs(t, <-seen, io.EOF)
	assert.Equal(t, routing.ServerError, (<-g.d.ended).Result, "the member is there")
}

func TestConnectionsFromBeforeAMembersStartAreClosed(t *testing.T) {
	g := newRig(t, 40)
	_, m := g.serve()
	g.list(g.member.Addr().String(), time.Now().Add(time.Hour).UnixMilli())
	m.ends()
	g = newRig(t, 40)
	_, m = g.serve()
	g.list("127.0.0.1:1", 0)
	m.ends() // it moved
}

func TestAForgottenMembersLinksEndAndItsPlaceStartsAnew(t *testing.T) {
	g := newRig(t, 40)
	_, idle := g.serve()
	g.links.mu.Lock()
	l := g.links.pools[0].idle[0]
	g.links.mu.Unlock()
	g.links.Remove(0)
	idle.ends()
	g.links.SetAddress(0, g.member.Addr().String(), 0)
	l.release() // one that was at work meanwhile
	assert.Zero(t, g.idle(), "it is the old member's")
}

func TestIdleConnectionsMakeWay(t *testing.T) {
	g := newRig(t, 4) // three for clients
	g.room.mu.Lock()
	g.room.share = 3
	g.room.mu.Unlock()
	c, m := g.serve()
	g.resting()
	g.client()
	g.client()
	assert.True(t, g.room.admitMember(g.links.evictIdle), "a link for another member")
	m.ends()
	assert.True(t, g.room.admitMember(g.links.evictIdle), "no link is idle, but a client is")
	c.ends()
	g = newRig(t, 40)
	g.room.mu.Lock()
	g.room.mostClients, g.room.share = 3, 3
	g.room.mu.Unlock()
	silent := g.client()
	g.resting()
	for range 3 {
		g.client().say(read("4000")...)
		<-g.d.begun
	}
	assert.Contains(t, string(silent.hear("E")), pgwire.CodeTooManyConnections, "no request of it was taken")
	silent.ends()
	c = g.client()
	c.say(read("4000")...)
	assert.Contains(t, string(c.hear("E")), pgwire.CodeTooManyConnections, "all have a request out")
	c.ends()
}

// Whoever does not bring a whole message in time is told so and let go; a length that cannot be is told at once.
func TestClientsThatSayTooLittleAreTold(t *testing.T) {
	hello, half := slices.Clip(pgwire.AppendStartup(nil, "portal", "crm")), read("4000")[:40]
	for name, x := range map[string]struct {
		sent      []byte
		heard     string
		code      string
		withQuery bool
	}{
		"nothing":                {nil, "E", pgwire.CodeIdleSessionTimeout, false},
		"half a startup":         {hello[:9], "E", pgwire.CodeIdleSessionTimeout, false},
		"a startup alone":        {hello, "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"half a query":           {append(hello, half...), "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"half a second query":    {half, "E", pgwire.CodeIdleSessionTimeout, true},
		"only flushes":           {append(hello, message('H', "")...), "RSSSSZE", pgwire.CodeIdleSessionTimeout, false},
		"60 MB of a query":       {append(hello, 'Q', 3, 147, 135, 0, 'S'), "RSSSSZE", pgwire.CodeProtocolViolation, false},
		"a negative length":      {append(hello, 'Q', 255, 255, 255, 0, 'S'), "RSSSSZE", pgwire.CodeProtocolViolation, false},
		"a startup of 2 GB":      {[]byte{127, 0, 0, 0}, "E", pgwire.CodeProtocolViolation, false},
		"a length of too little": {append(hello, 'Q', 0, 0, 0, 3), "RSSSSZE", pgwire.CodeProtocolViolation, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 40)
			c := g.dial()
			if x.withQuery {
				c, _ = g.serve()
			}
			from := time.Now()
			c.say(x.sent...)
			assert.Contains(t, string(c.hear(x.heard)), x.code)
			c.ends()
			if x.code == pgwire.CodeProtocolViolation {
				assert.Less(t, time.Since(from), messageTimeout, "not kept for its silence")
			}
		})
	}
}

// The recorded day: connections that had asked once held the third that clients may have, and no request came in.
func TestClientsAtRestMakeWayLongBeforeTheLimit(t *testing.T) {
	g := newRig(t, 40) // a quarter is 10
	c, _ := g.serve()
	g.resting()
	for range 9 {
		g.client().say(read("4000")...)
		<-g.d.begun
	}
	g.client()
	c.ends()
}

func TestAClientThatRestsTooLongIsLetGo(t *testing.T) {
	g := newRig(t, 40)
	g.server.mu.Lock()
	g.server.idle = time.Millisecond
	g.server.mu.Unlock()
	c, _ := g.serve()
	c.ends()
}

func TestAStopAnswersWhatWasTaken(t *testing.T) {
	g := newRig(t, 40)
	idle := g.client()
	idle.say(pgwire.AppendQuery(nil, "")...)
	idle.hear("IZ")
	g.resting()
	busy := g.client()
	busy.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	g.server.Drain(g.listen)
	idle.ends()
	idle.Close()
	late := g.client()
	late.say(read("4000")...)
	second := g.memberUp()
	second.hear("Q")
	busy.say(read("4000")...) // before the answer: it is taken, and served beside the one before
	besideBusy := g.memberUp()
	besideBusy.hear("Q")
	late.say(read("4000")...)
	besideLate := g.memberUp()
	besideLate.hear("Q")
	for _, x := range []struct{ c, first, beside *peer }{{busy, m, besideBusy}, {late, second, besideLate}} {
		x.first.say(whole("v")...)
		x.c.hear("TDCZ")
		x.beside.say(whole("v")...)
		x.c.hear("TDCZ")
		x.c.ends()
		x.c.Close()
	}
	require.NoError(t, <-g.served)
	assert.True(t, g.server.Wait(10*time.Second))
	g.served <- nil // for the clean-up
}

// A front that stands by lets clients go between requests and turns newcomers away; when it is back it takes more and more of them.
func TestAFrontThatStandsByLetsClientsGoAndComesBackAtAPace(t *testing.T) {
	g := newRig(t, 40)
	g.server.SetStandby(false, time.Hour) // it begins: nobody is spared
	idle := g.client()
	idle.say(pgwire.AppendQuery(nil, "")...)
	idle.hear("IZ")
	g.resting()
	busy := g.client()
	busy.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	g.server.SetStandby(true, 0)
	idle.ends()
	late := g.client()
	late.say(read("4000")...)
	assert.Contains(t, string(late.hear("E")), pgwire.CodeTooManyConnections)
	m.say(whole("v")...)
	busy.hear("TDCZ")
	busy.ends()
	g.server.SetStandby(false, time.Hour)
	turned := 0
	for range 80 {
		if g.server.rejects() {
			turned++
		}
	}
	assert.InDelta(t, 70, turned, 8, "every eighth at first")
	g.server.pace.Store(1)
	assert.False(t, g.server.rejects())
	assert.Zero(t, g.server.standby.Load(), "all again")
	g.client()
}
