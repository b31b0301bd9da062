// Package conntest has what tests of the client and server connections share: a router core without decisions, the two ends of a
// connection, and messages.
package conntest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/monotonic"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// answering has the member answer whatever it is asked, and counts it.
func (g *Rig) AnswerAll() *atomic.Int64 {
	var asked atomic.Int64
	go func() {
		for {
			c, err := g.Upstream.Accept()
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
					if _, err := c.Write(RowResponse("v")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return &asked
}

// events takes what the direct module tells, so that nothing waits for the test.
func (g *Rig) DiscardEvents() {
	go func() {
		for {
			select {
			case <-g.Router.Received:
			case <-g.Router.Finished:
			case <-g.Router.Gone:
			case <-g.T.Context().Done():
				return
			}
		}
	}()
}

func Within(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(15 * time.Second):
		require.Fail(t, what)
	}
}

// inPieces sends each byte by itself.
func (p *Peer) SendBytewise(b []byte) {
	for i := range b {
		p.Send(b[i])
	}
}

// recorded reads a file of recorded bytes: a name and a quoted string on each line, parted by a tab.
func recorded(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	all := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, quoted, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		require.True(t, ok, line)
		all[name], err = strconv.Unquote(quoted)
		require.NoError(t, err, line)
	}
	return all
}

// assertRecorded compares what was sent under a name with what the file has for it.
func AssertRecorded(t *testing.T, file, name, got string) {
	t.Helper()
	want, ok := recorded(t, file)[name]
	assert.True(t, ok && want == got, "%s: recorded %q\nsent:\n%s\t%q", name, want, name, got)
}

// write is a request that writes a row, and readOf one that reads it.
func WriteQuery(key, wait string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '\\x00') RETURNING data /* id=%d,c=write,d=%s,cluster=2 */",
		key, IDs.Add(1), wait))
}

func ReadQueryOf(key, wait string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s' /* id=%d,c=read,d=%s,cluster=2 */", key, IDs.Add(1), wait))
}

func ReadQueries(n int) (all []byte) {
	for range n {
		all = append(all, ReadQuery("60000")...)
	}
	return all
}

func IDOf(query []byte) string {
	_, after, _ := bytes.Cut(query, []byte("id="))
	id, _, _ := bytes.Cut(after, []byte(","))
	return string(id)
}

// Router sends every request to member 0 and rolls back what does not commit. It tells what it hears.
type Router struct {
	routing.Host
	Received chan routing.Request
	Finished chan routing.AttemptOutcome
	Gone     chan routing.RequestRef
	out      []routing.RequestRef
}

func (d *Router) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }

func (d *Router) EndpointsChanged(time.Duration, routing.UpdateKind, int64, []routing.Endpoint) {}

func (d *Router) RequestReceived(_ time.Duration, t routing.Request) {
	d.out = append(d.out, t.Ref)
	d.Received <- t
}

func (d *Router) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	if !o.RequestFinished {
		d.Fail(o.Ref)
	}
	d.Finished <- o
}

func (d *Router) ClientGone(_ time.Duration, r routing.RequestRef) { // as the module does: what left in the batch in which it came goes nowhere
	d.out = slices.DeleteFunc(d.out, func(begun routing.RequestRef) bool { return begun == r })
	d.Gone <- r
}

func (d *Router) ClockCorrected(time.Duration, time.Duration) {}

func (d *Router) GossipReceived(time.Duration, int, []byte) {}

func (d *Router) TimerFired(time.Duration) {}

func (d *Router) Reconcile(time.Duration) {
	for _, r := range d.out {
		d.StartAttempt(r, 0, 0)
	}
	d.out = d.out[:0]
}

func (d *Router) HealthCheckFinished(time.Duration, int, routing.AttemptResult, time.Duration, routing.LoadReport) {
}

type noEndpointSource struct{}

func (noEndpointSource) Watch(bool) {}

func (noEndpointSource) Fetch() {}

func Listen(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

func (g *Rig) List(address string, since int64) {
	g.Core.Post(front.EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: address, Zone: "a", Group: 2, StartedAtMillis: since}}}})
}

// peer is one end of a connection, as the test plays it.
type Peer struct {
	t *testing.T
	net.Conn
	Reader *pgwire.Reader
}

func NewPeer(t *testing.T, c net.Conn) *Peer {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second)) // only so that a failing test ends
	return &Peer{t, c, pgwire.NewReader(c, 4096, 1<<20)}
}

func (p *Peer) Send(b ...byte) { _, err := p.Write(b); require.NoError(p.t, err) }

func (p *Peer) Expect(types string) (last []byte) {
	p.t.Helper()
	for _, want := range types {
		typ, body, err := p.Reader.Next()
		require.NoError(p.t, err)
		require.Equal(p.t, string(want), string(typ), "%q", body)
		if typ != 'Z' {
			last = append(last[:0], body...)
		}
	}
	return last
}

func (p *Peer) ExpectClosed() {
	p.t.Helper()
	_, _, err := p.Reader.Next()
	require.ErrorIs(p.t, err, io.EOF)
}

func (g *Rig) AcceptStartup() *Peer {
	c, err := g.Upstream.Accept()
	require.NoError(g.T, err)
	p := NewPeer(g.T, c)
	_, err = p.Reader.ReadStartup()
	require.NoError(g.T, err)
	return p
}

func (g *Rig) AcceptServer() *Peer {
	p := g.AcceptStartup()
	p.Send(pgwire.AppendGreeting(nil)...)
	return p
}

func (g *Rig) Dial() *Peer {
	c, err := net.Dial("tcp", g.Listener.Addr().String())
	require.NoError(g.T, err)
	return NewPeer(g.T, c)
}

func (g *Rig) Client() *Peer {
	p := g.Dial()
	p.Send(pgwire.AppendStartup(nil, "portal", "crm")...)
	p.Expect("RSSSSZ")
	return p
}

var IDs atomic.Int64

func ReadQuery(wait string) []byte {
	return pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = 'k' /* id="+strconv.FormatInt(IDs.Add(1), 10)+",c=read,d="+wait+",cluster=2 */")
}

func Message(typ byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{typ, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

func Row(value string) []byte {
	n := len(value)
	return bytes.Join([][]byte{Message('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"),
		Message('D', "\x00\x01"+string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+value),
		Message('C', "SELECT 1\x00")}, nil)
}

func RowResponse(value string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(Row(value), "role", "replica"))
}

func (g *Rig) Eventually(what func() bool) {
	require.Eventually(g.T, what, 10*time.Second, time.Millisecond)
}

// Rig is a router's core between the connections of a test's clients and of a fake server.
type Rig struct {
	T        *testing.T
	Router   *Router
	Core     *front.Core
	Clock    *monotonic.Clock
	Limiter  *limits.Descriptors
	Listener *net.TCPListener // where clients connect
	Upstream *net.TCPListener // where connections to the fake server arrive
	Served   chan error       // what the client server's Serve returned
}

// New makes a Rig that is not started.
func New(t *testing.T, limiter *limits.Descriptors) *Rig {
	return &Rig{T: t, Router: &Router{Received: make(chan routing.Request, 100), Finished: make(chan routing.AttemptOutcome, 100), Gone: make(chan routing.RequestRef, 100)},
		Clock: monotonic.NewClock(), Limiter: limiter, Listener: Listen(t), Upstream: Listen(t), Served: make(chan error, 1)}
}

// Post passes an event to the core.
func (g *Rig) Post(e front.Event) { g.Core.Post(e) }

// Start runs the core and serves clients until the test ends.
func (g *Rig) Start(pools front.Pools, serve func(*net.TCPListener) error) {
	s := &deployment.Settings{TypeNames: []string{"read", "write"}, ZoneNames: []string{"a"},
		RequestTypes: []routing.RequestType{{Deadline: time.Minute}, {Deadline: time.Minute, Consistency: routing.Write}},
		Limits:       routing.Limits{MaxAttempts: 9, DialTimeout: 5 * time.Second}}
	g.Core = front.NewCore(front.Options{
		StartedAt: g.Clock.StartedAt,
		Seed:      1,
		Settings:  s,
		Pools:     pools,
		Endpoints: noEndpointSource{},
		NewRouter: func(h routing.Host, _ routing.Options) routing.Router {
			g.Router.Host = h
			return g.Router
		},
	})
	g.List(g.Upstream.Addr().String(), 0)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { g.Core.Run(g.Clock, stop) })
	running.Go(func() { g.Served <- serve(g.Listener) })
	g.T.Cleanup(func() {
		g.Listener.Close()
		close(stop)
		running.Wait()
	})
}

// Serve takes one request through and returns the two connections, which are idle.
func (g *Rig) Serve() (client, server *Peer) {
	client = g.Client()
	client.Send(ReadQuery("4000")...)
	server = g.AcceptServer()
	server.Expect("Q")
	server.Send(RowResponse("v")...)
	client.Expect("TDCZ")
	<-g.Router.Finished
	return client, server
}
