package sockets

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
)

// terminate ends a client's connection behind all that it is owed.
var terminate = message(pgwire.TypeTerminate, "")

// TestBytesSentToClients compares all that a client's connection carries, from its first byte to its end.
func TestBytesSentToClients(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "portal", "crm")
	sends := func(parts ...[]byte) func(*rig) *peer {
		return func(g *rig) *peer {
			c := g.dial()
			c.say(bytes.Join(parts, nil)...)
			return c
		}
	}
	query := func(statement string) []byte { return pgwire.AppendQuery(nil, statement) }
	for name, session := range map[string]func(*rig) *peer{
		"encryption, greeting": sends([]byte{0, 0, 0, 8, 4, 210, 22, 47}, hello, terminate),
		"request to cancel":    sends([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)),
		"startup too short":    sends([]byte{0, 0, 0, 3, 1}),
		"startup of 2 GB":      sends([]byte{127, 0, 0, 0}),
		"other protocol":       sends([]byte{0, 0, 0, 8, 0, 2, 0, 0}),
		"empty query":          sends(hello, query(""), terminate),
		"extended protocol":    sends(hello, message('P', "x"), message('B', "x"), message('S', ""), terminate),
		"flush":                sends(hello, message('H', ""), terminate),
		"unknown message":      sends(hello, message('?', "")),
		"query of 60 MB":       sends(hello, []byte{'Q', 3, 147, 135, 0, 'S'}),
		"negative length":      sends(hello, []byte{'Q', 255, 255, 255, 0, 'S'}),
		"no comment":           sends(hello, query("SELECT 1"), terminate),
		"no deadline":          sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,cluster=2 */"), terminate),
		"deadline of 0":        sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,d=0,cluster=2 */"), terminate),
		"unknown type":         sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=other,d=60000,cluster=2 */"), terminate),
		"type of a write":      sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=write,d=60000,cluster=2 */"), terminate),
		"unknown group":        sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,d=60000,cluster=77 */"), terminate),
		"silent":               sends(hello),
		"served": func(g *rig) *peer {
			c := sends(hello, read("60000"))(g)
			m := g.memberUp()
			m.hear("Q")
			m.say(whole("a value")...)
			c.say(terminate...)
			return c
		},
		"failed": func(g *rig) *peer {
			c := sends(hello, read("60000"))(g)
			m := g.memberUp()
			m.hear("Q")
			m.Close()
			c.say(terminate...)
			return c
		},
		"shut down": func(g *rig) *peer {
			g.core.Post(front.Shutdown{})
			return sends(hello, read("60000"), terminate)(g)
		},
		"newcomer behind a stop": func(g *rig) *peer {
			c := sends(hello)(g)
			g.eventually(func() bool { clients, _, _ := g.room.InUse(); return clients == 1 })
			g.server.Drain(g.listen)
			require.NoError(t, <-g.served)
			g.served <- nil
			c.say(read("60000")...)
			return c
		},
		"no room for a client": func(g *rig) *peer {
			g.server.SetStandby(true, 0)
			return sends(hello, read("60000"))(g)
		},
		"evicted before its first request": func(g *rig) *peer {
			c := sends(hello)(g)
			g.resting()
			g.eventually(g.server.evictIdle)
			return c
		},
		"no room for a long message": func(g *rig) *peer {
			g.server.bodies.most = 100 << 10
			return sends(hello, query(strings.Repeat(" ", 200<<10)))(g)
		},
		"internal fault": func(g *rig) *peer {
			g.server.SetParser(func([]byte) (pgwire.Statement, error) { panic("a fault") })
			return sends(hello, read("60000"))(g)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, 40)
			g.events()
			c := session(g)
			sent, err := io.ReadAll(c.Conn)
			require.NoError(t, err)
			assertRecorded(t, "testdata/client_sessions.txt", name, string(sent))
		})
	}
}

// TestBytesOfAResponse compares each kind of the core's responses as a client gets it.
func TestBytesOfAResponse(t *testing.T) {
	for name, r := range map[string]front.Response{
		"response served":                   {Status: front.StatusSucceeded, Rows: row("v")},
		"response rejected":                 {Status: front.StatusRejected},
		"response rejected with a wait":     {Status: front.StatusRejected, RetryAfter: 1500*time.Millisecond + 1},
		"response rejected, may run":        {Status: front.StatusRejected, MayHaveRun: true},
		"response failed":                   {Status: front.StatusFailed},
		"response senseless":                {Status: front.StatusInvalid, Code: pgwire.CodeInvalidParameterValue, Reason: "a reason"},
		"response without room for a read":  withoutRows(front.Response{Status: front.StatusSucceeded, Rows: row("v")}, false),
		"response without room for a write": withoutRows(front.Response{Status: front.StatusSucceeded, Rows: row("v")}, true),
	} {
		assertRecorded(t, "testdata/client_sessions.txt", name, string(encode(&r)))
	}
}
