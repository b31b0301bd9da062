package sockets

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// write is a request that writes a row, and readOf one that reads it.
func write(key, wait string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '\\x00') RETURNING data /* id=%d,c=write,d=%s,cluster=2 */",
		key, ids.Add(1), wait))
}

func readOf(key, wait string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s' /* id=%d,c=read,d=%s,cluster=2 */", key, ids.Add(1), wait))
}

func reads(n int) (all []byte) {
	for range n {
		all = append(all, read("60000")...)
	}
	return all
}

// heldNothing checks that all shared room was given back.
func (g *rig) heldNothing() {
	g.eventually(func() bool { return g.server.bodies.held.Load() == 0 && g.server.answers.held.Load() == 0 })
}

// On the days of pipelining clients, what stood behind one slow request waited unread, one after the other, until its client
// was gone: 28 to 190 requests of a day had no answer.
func TestRequestsOfOneConnectionRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(reads(3)...)
	members := map[string]*peer{}
	for range 3 { // all three are out before any is answered
		m := g.memberUp()
		members[idOf(m.hear("Q"))] = m
	}
	var order []string
	for range 3 {
		<-g.d.begun
	}
	for id := range members {
		order = append(order, id)
	}
	last := ids.Load()
	for n := last; n > last-3; n-- { // the last first
		members[strconv.FormatInt(n, 10)].say(whole(strconv.FormatInt(n, 10))...)
		<-g.d.ended
	}
	for n := last - 2; n <= last; n++ {
		c.hear("T")
		assert.Equal(t, strconv.FormatInt(n, 10), string(c.hear("D")[6:]))
		c.hear("CZ")
	}
	assert.Len(t, order, 3)
	g.heldNothing()
}

func idOf(query []byte) string {
	_, after, _ := bytes.Cut(query, []byte("id="))
	id, _, _ := bytes.Cut(after, []byte(","))
	return string(id)
}

func TestARequestBehindAWriteOfItsRowWaitsForIt(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(bytes.Join([][]byte{write("a", "60000"), readOf("a", "60000"), readOf("b", "60000")}, nil)...)
	first, other := g.memberUp(), g.memberUp()
	heard := []string{string(first.hear("Q")), string(other.hear("Q"))}
	if strings.HasPrefix(heard[1], "INSERT") {
		first, other = other, first
	}
	assert.Contains(t, strings.Join(heard, ""), "'b'", "another row's read need not wait")
	other.say(whole("b")...)
	assert.Equal(t, routing.Succeeded, (<-g.d.ended).Result)
	assert.Len(t, g.d.begun, 2, "the read of the row that is written has not begun")
	first.say(whole("written")...)
	c.hear("TDCZ")
	first.hear("Q") // over the connection idle last
	first.say(whole("a")...)
	c.hear("T")
	assert.Equal(t, "a", string(c.hear("D")[6:]))
	c.hear("CZT")
	assert.Equal(t, "b", string(c.hear("D")[6:]))
}

func TestARequestWhoseTimeEndsBehindAnotherIsRejectedAtItsTurn(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(append(write("a", "60000"), readOf("a", "20")...)...)
	m := g.memberUp()
	m.hear("Q")
	<-g.d.begun
	time.Sleep(25 * time.Millisecond) // the second one's time, which runs since it was read
	m.say(whole("written")...)
	c.hear("TDCZ")
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTooManyConnections)
	assert.Empty(t, g.d.begun, "nothing of it is sent on")
}

func TestReadAheadIsBoundedByCount(t *testing.T) {
	g := newRig(t, 100)
	c := g.client()
	c.say(reads(maxPipelined + 3)...)
	members := map[string]*peer{}
	for range maxPipelined {
		m := g.memberUp()
		members[idOf(m.hear("Q"))] = m
		<-g.d.begun
	}
	g.eventually(func() bool { return g.waitingClients(func(c *client) bool { return !c.readsAhead() }) })
	assert.Empty(t, g.d.begun)
	first := ids.Load() - maxPipelined - 2
	m := members[strconv.FormatInt(first, 10)]
	m.say(whole("v")...)
	c.hear("TDCZ")
	<-g.d.begun // one is answered, one more is read
	m.hear("Q")
	assert.Empty(t, g.d.begun)
}

// waitingClients looks at the connections while none of them can go on: their goroutines wait.
func (g *rig) waitingClients(look func(*client) bool) bool {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	for c := range g.server.clients {
		if !look(c) {
			return false
		}
	}
	return true
}

// What is read ahead takes its room among the long messages, however short it is: without room the client waits.
func TestReadAheadFindsNoRoomAndWaits(t *testing.T) {
	g := newRig(t, 100)
	g.server.bodies.most = int64(2*len(read("60000")) + 10) // beside the first: two messages
	c := g.client()
	c.say(reads(5)...)
	var members []*peer
	for range 3 {
		m := g.memberUp()
		m.hear("Q")
		members = append(members, m)
		<-g.d.begun
	}
	assert.Empty(t, g.d.begun)
	for _, m := range members {
		m.say(whole("v")...)
	}
	for range 3 {
		c.hear("TDCZ")
	}
	for _, m := range members {
		go func() {
			for {
				if _, _, err := m.r.Next(); err != nil {
					return
				}
				m.Write(whole("v"))
			}
		}()
	}
	c.hear("TDCZTDCZ")
	g.heldNothing()
}

// An answer that has to wait for the one before it takes room as well. A read that finds none may be tried again.
func TestAnAnswerThatFindsNoRoomBehindAnotherIsDropped(t *testing.T) {
	g := newRig(t, 100)
	g.server.answers.most = 8 << 10
	c := g.client()
	c.say(append(readOf("a", "60000"), readOf("b", "60000")...)...)
	first, second := g.memberUp(), g.memberUp()
	if strings.Contains(string(first.hear("Q")), "'b'") {
		first, second = second, first
		first.hear("Q")
	} else {
		second.hear("Q")
	}
	second.say(whole(strings.Repeat("v", 20<<10))...)
	assert.Equal(t, routing.Succeeded, (<-g.d.ended).Result)
	first.say(whole("v")...)
	c.hear("TDCZ")
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeTooManyConnections)
	g.heldNothing()
}

// A client that leaves takes all its requests with it: those that are out are told, the others never begin.
func TestAClientThatLeavesTakesAllItsRequestsWithIt(t *testing.T) {
	g := newRig(t, 100)
	c := g.client()
	c.say(append(bytes.Join([][]byte{write("a", "60000"), readOf("a", "60000")}, nil), reads(2*maxPipelined)...)...)
	begun := map[routing.RequestRef]bool{}
	for range maxPipelined - 1 { // all but the read behind the write
		begun[(<-g.d.begun).Ref] = true
	}
	c.Close()
	for range maxPipelined - 1 {
		select {
		case left := <-g.d.left:
			assert.True(t, begun[left])
		case <-time.After(10 * time.Second):
			require.Fail(t, "its departure is not noticed")
		}
	}
	require.True(t, g.eventuallyGone())
	assert.Empty(t, g.d.begun)
	g.heldNothing()
}

// Behind what ends a connection nothing is taken, but all that came before it is answered first.
func TestAViolationBehindRequestsIsToldInItsTurn(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(bytes.Join([][]byte{read("60000"), pgwire.AppendQuery(nil, "SELECT 1"), message('P', "x"), message('S', ""), message('?', ""), read("60000")}, nil)...)
	m := g.memberUp()
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeSyntaxError)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeFeatureNotSupported)
	assert.Contains(t, string(c.hear("E")), pgwire.CodeProtocolViolation)
	c.ends()
	<-g.d.begun
	assert.Empty(t, g.d.begun)
}

// A client that has taken its leave is still owed what it asked before.
func TestALeaveBehindRequestsWaitsForTheirAnswers(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(append(read("60000"), message(pgwire.TypeTerminate, "")...)...)
	m := g.memberUp()
	m.hear("Q")
	m.say(whole("v")...)
	c.hear("TDCZ")
	c.ends()
}

// A client whose requests are out is bound to end the message that it has begun, as any other.
func TestHalfAMessageBehindRequestsIsToldInItsTurn(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(append(read("60000"), read("60000")[:20]...)...)
	m := g.memberUp()
	m.hear("Q")
	time.Sleep(messageTimeout) // which runs out behind the request
	m.say(whole("v")...)
	c.hear("TDCZ")
	assert.Contains(t, string(c.hear("E")), pgwire.CodeIdleSessionTimeout)
	c.ends()
}

// What was read ahead when the server refuses is answered, and the connection ends behind it whatever its client sends.
func TestAStopAnswersWhatWasReadAhead(t *testing.T) {
	g := newRig(t, 40)
	c := g.client()
	c.say(reads(3)...)
	var members []*peer
	for range 3 {
		m := g.memberUp()
		m.hear("Q")
		members = append(members, m)
	}
	g.server.Drain(g.listen)
	require.NoError(t, <-g.served)
	g.served <- nil
	c.say(reads(2)...) // refused where it is read, else the client finds its connection closed
	for _, m := range members {
		m.say(whole("v")...)
	}
	c.hear("TDCZTDCZTDCZ")
	for {
		typ, body, err := c.r.Next()
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "no reset takes an answer with it")
			break
		}
		require.True(t, typ == 'Z' || typ == 'E' && strings.Contains(string(body), pgwire.CodeCannotConnectNow), "%q %q", typ, body)
	}
	for range 3 {
		<-g.d.begun
	}
	assert.Empty(t, g.d.begun)
	assert.True(t, g.server.Wait(10*time.Second))
}

// A fault of ours while a message is taken in: what had been read, and the message itself, get an answer before the connection ends.
func TestAPanicLeavesNoRequestWithoutAnAnswer(t *testing.T) {
	g := newRig(t, 40)
	g.events()
	g.server.SetParser(func(body []byte) (pgwire.Statement, error) {
		if bytes.Contains(body, []byte("d=4999")) {
			panic("a fault")
		}
		return pgwire.ParseStatement(body)
	})
	c := g.client()
	c.say(read("4000")...)
	m := g.memberUp()
	m.hear("Q") // and says nothing
	c.say(read("4999")...)
	assert.Contains(t, string(c.hear("EZ")), pgwire.CodeInternalError)
	assert.Contains(t, string(c.hear("E")), pgwire.CodeInternalError)
	c.ends()
}
