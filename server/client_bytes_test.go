package server

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// terminate ends a client's connection behind all that it is owed.
var terminate = conntest.Message(pgwire.TypeTerminate, "")

// TestBytesSentToClients compares all that a client's connection carries, from its first byte to its end.
func TestBytesSentToClients(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "portal", "crm")
	sends := func(parts ...[]byte) func(*harness) *conntest.Peer {
		return func(g *harness) *conntest.Peer {
			c := g.Dial()
			c.Send(bytes.Join(parts, nil)...)
			return c
		}
	}
	query := func(statement string) []byte { return pgwire.AppendQuery(nil, statement) }
	for name, session := range map[string]func(*harness) *conntest.Peer{
		"encryption, greeting": sends([]byte{0, 0, 0, 8, 4, 210, 22, 47}, hello, terminate),
		"request to cancel":    sends([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)),
		"startup too short":    sends([]byte{0, 0, 0, 3, 1}),
		"startup of 2 GB":      sends([]byte{127, 0, 0, 0}),
		"other protocol":       sends([]byte{0, 0, 0, 8, 0, 2, 0, 0}),
		"empty query":          sends(hello, query(""), terminate),
		"extended protocol":    sends(hello, conntest.Message('P', "x"), conntest.Message('B', "x"), conntest.Message('S', ""), terminate),
		"flush":                sends(hello, conntest.Message('H', ""), terminate),
		"unknown message":      sends(hello, conntest.Message('?', "")),
		"query of 60 MB":       sends(hello, []byte{'Q', 3, 147, 135, 0, 'S'}),
		"negative length":      sends(hello, []byte{'Q', 255, 255, 255, 0, 'S'}),
		"no comment":           sends(hello, query("SELECT 1"), terminate),
		"no deadline":          sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,cluster=2 */"), terminate),
		"deadline of 0":        sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,d=0,cluster=2 */"), terminate),
		"unknown type":         sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=other,d=60000,cluster=2 */"), terminate),
		"type of a write":      sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=write,d=60000,cluster=2 */"), terminate),
		"unknown group":        sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,d=60000,cluster=77 */"), terminate),
		"silent":               sends(hello),
		"served": func(g *harness) *conntest.Peer {
			c := sends(hello, conntest.ReadQuery("60000"))(g)
			m := g.AcceptServer()
			m.Expect("Q")
			m.Send(conntest.RowResponse("a value")...)
			c.Send(terminate...)
			return c
		},
		"failed": func(g *harness) *conntest.Peer {
			c := sends(hello, conntest.ReadQuery("60000"))(g)
			m := g.AcceptServer()
			m.Expect("Q")
			m.Close()
			c.Send(terminate...)
			return c
		},
		"shut down": func(g *harness) *conntest.Peer {
			g.Core.Post(front.Shutdown{})
			return sends(hello, conntest.ReadQuery("60000"), terminate)(g)
		},
		"newcomer behind a stop": func(g *harness) *conntest.Peer {
			c := sends(hello)(g)
			g.Eventually(func() bool { clients, _, _ := g.Limiter.InUse(); return clients == 1 })
			g.server.Drain(g.Listener)
			require.NoError(t, <-g.Served)
			g.Served <- nil
			c.Send(conntest.ReadQuery("60000")...)
			return c
		},
		"no room for a client": func(g *harness) *conntest.Peer {
			g.server.SetStandby(true, 0)
			return sends(hello, conntest.ReadQuery("60000"))(g)
		},
		"evicted before its first request": func(g *harness) *conntest.Peer {
			c := sends(hello)(g)
			g.idleClient()
			g.Eventually(g.server.evictIdle)
			return c
		},
		"no room for a long message": func(g *harness) *conntest.Peer {
			return sends(hello, query(strings.Repeat(" ", 200<<10)))(g)
		},
		"internal fault": func(g *harness) *conntest.Peer {
			g.server.SetParser(func([]byte) (pgwire.Statement, error) { panic("a fault") })
			return sends(hello, conntest.ReadQuery("60000"))(g)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var limits []func(*Server)
			if name == "no room for a long message" {
				limits = append(limits, bodyLimit(100<<10))
			}
			g := newHarness(t, 40, limits...)
			g.DiscardEvents()
			c := session(g)
			sent, err := io.ReadAll(c.Conn)
			require.NoError(t, err)
			conntest.AssertRecorded(t, "testdata/client_sessions.txt", name, string(sent))
		})
	}
}

// TestBytesOfAResponse compares each kind of the core's responses as a client gets it.
func TestBytesOfAResponse(t *testing.T) {
	for name, r := range map[string]front.Response{
		"response served":                   {Status: front.StatusSucceeded, Rows: conntest.Row("v")},
		"response rejected":                 {Status: front.StatusRejected},
		"response rejected with a wait":     {Status: front.StatusRejected, RetryAfter: 1500*time.Millisecond + 1},
		"response rejected, may run":        {Status: front.StatusRejected, MayHaveRun: true},
		"response failed":                   {Status: front.StatusFailed},
		"response senseless":                {Status: front.StatusInvalid, Code: pgwire.CodeInvalidParameterValue, Reason: "a reason"},
		"response without room for a read":  withoutRows(false),
		"response without room for a write": withoutRows(true),
	} {
		conntest.AssertRecorded(t, "testdata/client_sessions.txt", name, string(encode(&r)))
	}
}
