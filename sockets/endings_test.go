package sockets

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// answering has the member answer whatever it is asked, and counts it.
func (g *rig) answering() *atomic.Int64 {
	var asked atomic.Int64
	go func() {
		for {
			c, err := g.member.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := pgwire.NewReader(c, 4096, 1<<20)
				if _, err := r.ReadStartup(); err != nil {
					return
				}
				c.Write(pgwire.AppendGreeting(nil))
				for {
					if _, _, err := r.Next(); err != nil {
						return
					}
					asked.Add(1)
					if _, err := c.Write(whole("v")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return &asked
}

// events takes what the direct module tells, so that nothing waits for the test.
func (g *rig) events() {
	go func() {
		for {
			select {
			case <-g.d.begun:
			case <-g.d.ended:
			case <-g.d.left:
			case <-g.t.Context().Done():
				return
			}
		}
	}()
}

func within(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(15 * time.Second):
		require.Fail(t, what)
	}
}

// hungUpAt waits until the front's half of a connection has ended, without reading what came before.
func hungUpAt(t *testing.T, p *peer) {
	done := make(chan struct{})
	go func() { defer close(done); awaitHangup(p.Conn.(*net.TCPConn)) }()
	within(t, "the front's half does not end", done)
}

// Short days, ten seeds of twelve: clients send their next request with the answer to the last, so none was ever let go after
// a stop, and what was out when the front was ended by force was lost.
func TestAClientThatAlwaysHasMoreIsLetGoAfterAStop(t *testing.T) {
	g := newRig(t, 40)
	g.events()
	asked := g.answering()
	c := g.client()
	c.SetDeadline(time.Now().Add(time.Minute))
	gone := make(chan struct{})
	go func() { // sends without end, and never pauses
		defer close(gone)
		for {
			if _, err := c.Write(read("4000")); err != nil {
				return
			}
		}
	}()
	served, refused := int64(0), int64(0)
	hear := func() bool {
		typ, body, err := c.r.Next()
		if err != nil {
			assert.ErrorIs(t, err, io.EOF, "no reset takes an answer with it")
			return false
		}
		switch typ {
		case 'D':
			served++
		case 'E':
			assert.Contains(t, string(body), pgwire.CodeCannotConnectNow)
			refused++
		}
		return true
	}
	for served < 50 {
		require.True(t, hear())
	}
	g.server.Drain(g.listen)
	for hear() {
	}
	assert.Equal(t, asked.Load(), served, "whatever a member was asked is answered")
	assert.Equal(t, g.server.RejectedWhileDraining(), refused, "and so is what was read and not sent on")
	c.Close()
	within(t, "the client writes on", gone)
	require.NoError(t, <-g.served)
	assert.True(t, g.server.Wait(10*time.Second))
	g.served <- nil
}

// What crosses the front's goodbye is neither taken nor answered with a reset, which could overtake the last answer.
func TestWhatCrossesTheGoodbyeIsNotTaken(t *testing.T) {
	for name, end := range map[string]func(g *rig){
		"stop":     func(g *rig) { g.server.Drain(g.listen) },
		"eviction": func(g *rig) { g.server.evictIdle() },
		"rest":     func(g *rig) { g.server.SetStandby(true, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 40)
			c, _ := g.serve()
			<-g.d.begun
			g.resting()
			end(g)
			hungUpAt(t, c)
			c.say(read("4000")...)
			c.ends() // again and again: no reset
			c.say(read("4000")...)
			c.ends()
			c.Close()
			require.True(t, g.server.Wait(10*time.Second))
			assert.Empty(t, g.d.begun, "nothing of it is sent on")
		})
	}
}

func TestTheLastAnswerArrivesThoughItsClientWritesOn(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	g.server.Drain(g.listen)
	m.say(whole("the last")...)
	hungUpAt(t, c)
	c.say(read("4000")...)
	c.hear("T")
	assert.Equal(t, "the last", string(c.hear("D")[6:]))
	c.hear("CZ")
	c.ends()
}

// The client chosen to make way may be sending just then: what has come in when its connection would end is served first. So
// it is where the client has rested for too long.
func TestAClientThatWasSendingWhenItWouldBeLetGoIsServed(t *testing.T) {
	for name, end := range map[string]func(*client){
		"eviction": func(c *client) { c.evicted.Store(true) },
		"idle":     func(c *client) { c.sv.idle = 0 },
		"stop":     func(c *client) { c.sv.stage.Store(draining) },
	} {
		t.Run(name, func(t *testing.T) { sending(t, end) })
	}
}

// pair is a client and the front's side of its connection, which no goroutine serves.
func (g *rig) pair() (*peer, *client) {
	l := listen(g.t)
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(g.t, err)
	in, err := l.AcceptTCP()
	require.NoError(g.t, err)
	g.t.Cleanup(func() { in.Close() })
	return newPeer(g.t, out), &client{sv: g.server, conn: in, until: time.Now().Add(time.Minute), r: g.server.reader(in, clientBuffer)}
}

func sending(t *testing.T, end func(*client)) {
	g := newRig(t, 40)
	p, c := g.pair()
	c.answered = true
	p.say(read("4000")...)
	g.eventually(func() bool { return peek(c.conn) > 0 }) // and nobody has read it
	end(c)
	require.NoError(t, c.awaitMessage(), "it is served")
	typ, _, err := c.next()
	assert.True(t, err == nil && typ == 'Q')
	assert.ErrorIs(t, c.awaitMessage(), errLeaving, "and then it goes")
}

// Of a client that had sent more than is read ahead nobody saw that it was gone, and its requests went on.
func TestAClientThatSendsMuchAndLeavesIsNoticed(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(bytes.Repeat(read("4000"), 3*clientBuffer/len(read("4000")))...)
	g.memberUp().hear("Q")
	c.Close()
	select {
	case left := <-g.d.left:
		assert.Equal(t, (<-g.d.begun).Ref, left)
	case <-time.After(10 * time.Second):
		require.Fail(t, "its departure is not noticed")
	}
	require.True(t, g.eventuallyGone())
	assert.Empty(t, g.d.begun, "what it sent behind is not taken")
}

func (g *rig) eventuallyGone() bool {
	g.eventually(func() bool { clients, _, _ := g.room.InUse(); return clients == 0 })
	return true
}

// A member's connection that comes up late must not carry a request whose client has left meanwhile, also where the site lets
// nothing be taken back; nor while the core is at something else.
func TestNothingIsSentForAClientThatLeftWhileAConnectionCameUp(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("4000")...)
	m := g.accept() // no welcome yet
	<-g.d.begun
	c.Close()
	<-g.d.left // which takes nothing back
	m.say(pgwire.AppendGreeting(nil)...)
	assert.Equal(t, routing.NotSent, (<-g.d.ended).Result)
	g.settled(1) // the connection is kept for others
	c = g.client()
	c.say(read("4000")...)
	second := <-g.d.begun
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	assert.Equal(t, second.Ref, (<-g.d.ended).Ref, "the first word that the member got is another client's")
}

// Eight newcomers that said nothing held up all others for as long as they were waited for.
func TestSlowNewcomersKeepNobodyWaiting(t *testing.T) {
	g := newRig(t, 40)
	g.server.linger = time.Hour
	g.room.mu.Lock()
	g.room.mostClients, g.room.share, g.room.closing = 1, 1, 0
	g.room.mu.Unlock()
	g.client().say(read("4000")...)
	<-g.d.begun
	var slow []*peer
	for range 3 * maxRejecting {
		slow = append(slow, g.dial())
	}
	c := g.dial()
	c.say(append(pgwire.AppendStartup(nil, "portal", "crm"), read("4000")...)...)
	assert.Contains(t, string(c.hear("RSSSSZE")), pgwire.CodeTooManyConnections)
	slow[0].Read(make([]byte, 1)) // cut off
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	assert.LessOrEqual(t, len(g.server.rejected), maxRejecting+1, "they hold a bounded number of descriptors")
}

// What was read is owed an answer: so is a second request that came with the first of a newcomer for whom there is no room.
func TestANewcomerWithoutRoomIsToldOfEachRequestThatCameWithIt(t *testing.T) {
	g := newRig(t, 40)
	g.room.mu.Lock()
	g.room.mostClients, g.room.share, g.room.closing = 1, 1, 0
	g.room.mu.Unlock()
	g.client().say(read("4000")...)
	<-g.d.begun
	c := g.dial()
	part := read("4000")[:9] // the beginning of one more, whose rest never comes
	c.say(bytes.Join([][]byte{pgwire.AppendStartup(nil, "portal", "crm"), read("4000"), read("3000"), part}, nil)...)
	c.hear("RSSSSZEE")
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "it ends in an ordinary way")
}

// The process must not end over a newcomer's first request, nor over its final answer.
func TestANewcomerOfAfterTheStopIsToldToGoElsewhere(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	g.server.Drain(g.listen)
	require.NoError(t, <-g.served) // newcomers are over, and the server refuses
	g.served <- nil
	c.say(read("4000")...)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeCannotConnectNow)
	c.ends()
	c.Close()
	assert.True(t, g.server.Wait(10*time.Second))
	assert.Empty(t, g.d.begun)
}

func TestAClosedServerEndsWhatIsOwedNothing(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "half a request": string(read("4000")[:20])} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 40)
			g.server.linger = 0
			c := g.client()
			c.say([]byte(sent)...)
			g.server.Drain(g.listen)
			require.NoError(t, <-g.served)
			g.served <- nil
			g.server.Close()
			c.ends()
			assert.True(t, g.server.Wait(10*time.Second))
		})
	}
}

// Of a request that was read in half when its connection would end, the rest is in the system or on its way: it is owed an answer.
func TestARequestThatCameInHalfBeforeTheCloseIsTaken(t *testing.T) {
	g := newRig(t, 40)
	p, c := g.pair()
	q := read("4000")
	p.say(q[:20]...)
	_, err := c.r.WaitForInput()
	require.NoError(t, err)
	p.say(q[20:]...)
	g.eventually(func() bool { return peek(c.conn) > 0 })
	g.server.stage.Store(closing)
	typ, _, err := c.next()
	assert.True(t, err == nil && typ == 'Q', "%v", err)
	c.answered = true
	p.say(q[:20]...)
	g.eventually(func() bool { return peek(c.conn) > 0 })
	_, _, err = c.next()
	assert.ErrorIs(t, err, errLeaving, "of one that was not read the client knows that it was not taken")
	c = &client{sv: g.server, conn: c.conn, answered: true, r: g.server.reader(c.conn, clientBuffer)}
	c.conn.SetReadDeadline(time.Time{})
	_, err = c.r.WaitForInput()
	require.NoError(t, err)
	g.server.linger = 0
	_, _, err = c.next()
	assert.ErrorIs(t, err, errLeaving, "the rest is waited for, but not long")
}

// A front that can no longer accept clients answers those that it has.
func TestAListenerThatFailsLeavesNoTxnWithoutItsAnswer(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	g.listen.Close()
	require.ErrorIs(t, <-g.served, net.ErrClosed)
	g.served <- nil
	g.server.Drain(g.listen)
	m.say(whole("v")...)
	c.hear("TDCZ")
	c.ends()
	c.Close()
	assert.True(t, g.server.Wait(10*time.Second))
}

// A member's connection that comes up behind its request's end carries nothing of it, and is kept for others.
func TestAConnectionThatComesUpTooLateCarriesNothing(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("60")...)
	m := g.accept()
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTransactionRollback)
	m.say(pgwire.AppendGreeting(nil)...)
	g.settled(1)
	c.say(read("4000")...)
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	assert.Equal(t, 1, g.idle(), "one connection, used by the second alone")
}

// A shutdown gives what is still out its answer at once, and takes back what a member has of it.
func TestAShutdownAnswersWhatIsOut(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	g.core.Post(front.Shutdown{})
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTooManyConnections)
	m.ends()
	c.say(read("4000")...)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTooManyConnections, "nothing is taken any more")
}

// Long messages share a part of the memory. One that finds none is told so and comes again; what was held is given back, however its
// connection ends.
func TestALongMessageThatFindsNoRoomIsToldSo(t *testing.T) {
	g := newRig(t, 60)
	g.events()
	g.answering()
	g.server.bodies.most = 300 << 10
	held := func() int64 { return g.server.bodies.held.Load() }
	long := pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = '"+strings.Repeat("k", 200<<10)+"' /* id=long,c=read,d=4000,cluster=2 */")
	first, second, small := g.client(), g.client(), g.client()
	first.say(long[:len(long)-1]...)
	g.eventually(func() bool { return held() > 200<<10 })
	second.say(long...)
	assert.Contains(t, string(second.hear("E")), pgwire.CodeTooManyConnections)
	second.ends()
	small.say(read("4000")...)
	small.hear("TDCZ")
	first.say(long[len(long)-1])
	first.hear("TDCZ")
	g.eventually(func() bool { return held() == 0 })
	third := g.client()
	third.say(long[:len(long)-1]...)
	g.eventually(func() bool { return held() > 200<<10 })
	third.Close()
	g.eventually(func() bool { return held() == 0 })
}

// So do members' long messages. One that finds no room counts as an answer that cannot be read.
func TestALongAnswerThatFindsNoRoomIsAnError(t *testing.T) {
	g := newRig(t, 60)
	held := func() int64 { return g.links.bodies.held.Load() }
	g.links.bodies.most = 300 << 10
	long := whole(strings.Repeat("v", 200<<10))
	first, second := g.client(), g.client()
	first.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	m.say(long[:len(long)-20]...)
	g.eventually(func() bool { return held() > 200<<10 })
	second.say(read("4000")...)
	n := g.memberUp()
	n.hear("Q")
	n.Write(long) // it may be cut off midway
	assert.Equal(t, routing.ServerError, (<-g.d.ended).Result)
	assert.Contains(t, string(second.hear("EZ")), pgwire.CodeTransactionRollback)
	m.say(long[len(long)-20:]...)
	first.hear("TDCZ")
	g.eventually(func() bool { return held() == 0 })
}

// The room of a long row is given back as well where its answer never ends.
func TestALongAnswerThatBreaksOffGivesItsRoomBack(t *testing.T) {
	g := newRig(t, 60)
	held := func() int64 { return g.links.bodies.held.Load() }
	long := whole(strings.Repeat("v", 200<<10))
	c := g.client()
	c.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q")
	m.say(long[:len(long)-20]...) // all of the row, nothing of its end
	g.eventually(func() bool { return held() > 200<<10 })
	m.Close()
	c.hear("EZ")
	g.eventually(func() bool { return held() == 0 })
}

// A fault at one client ends that one connection, whatever it is.
func TestBadInputEndsOneConnectionOnly(t *testing.T) {
	g := newRig(t, 60)
	g.events()
	g.answering()
	good := g.client()
	for i, bad := range [][]byte{
		append(pgwire.AppendStartup(nil, "portal", "crm"), 'Q', 127, 255, 255, 255),
		append(pgwire.AppendStartup(nil, "portal", "crm"), pgwire.AppendQuery(nil, "SELECT \x00 1")...),
		append(pgwire.AppendStartup(nil, "portal", "crm"), message('Z', "I")...),
		{0, 0, 40, 0}, {0, 0, 0, 4}, bytes.Repeat([]byte{'x'}, 9000),
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			b := g.dial()
			b.say(bad...)
			for {
				typ, body, err := b.r.Next()
				if err != nil {
					require.Fail(t, "it ends untold", err)
				}
				if typ == 'E' {
					assert.Contains(t, string(body), pgwire.CodeProtocolViolation)
					break
				}
			}
			b.ends()
			good.say(read("4000")...)
			good.hear("TDCZ")
		})
	}
}

// Whoever asks sees at once that a client has closed, though what it sent before lies unread and its connection is at something else.
func TestADepartureIsSeenBehindWhatNobodyHasRead(t *testing.T) {
	l := listen(t)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.AcceptTCP()
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	q := (&request{client: &client{conn: conn, presence: &presence{raw}}}).Connection()
	_, err = c.Write(read("4000"))
	require.NoError(t, err)
	assert.False(t, q.Disconnected())
	c.Close()
	require.Eventually(t, q.Disconnected, 5*time.Second, time.Millisecond)
	conn.Close()
	assert.True(t, q.Disconnected(), "one whose connection is closed here has left too")
}
